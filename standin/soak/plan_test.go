package soak

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// regressionSteps is the number of steps that the regression seeds were found with.
const regressionSteps = 24

// regressionDigests hold, by seed, the first digits of a digest of the steps that a regression seed was
// found with.
var regressionDigests = map[uint64]string{
	11:                  "f25bf5916b22",
	34:                  "a0ed2b945a14",
	56:                  "0ddf2c9f7485",
	1002:                "a3344eb7c15b",
	7001:                "5a7650731997",
	7002:                "c5fd1f469b38",
	7004:                "1afe66ad419a",
	9001:                "8b4751eeea4d",
	9002:                "61a158c92882",
	9036:                "9200af76e422",
	9102:                "357d239a03c7",
	20012:               "1e9e2e44c2a2",
	30003:               "470a2d75aefd",
	61003:               "8b307b279a6a",
	61007:               "01797f905638",
	501:                 "db348f1ecf41",
	47001:               "5e321d59d692",
	41002:               "4885a016b884",
	77001:               "420b59adaf49",
	88001:               "06df85a60434",
	88010:               "70fb543fd12b",
	99001:               "acfb1fc3514c",
	99003:               "7adaedfba8f5",
	99004:               "595b118e3109",
	1796260130301604318: "29a34059f1aa",
}

// digestOf returns the first digits of a digest of the steps that all seeds have had from the first.
func digestOf(seed uint64) string {
	sum := sha256.Sum256([]byte(fmt.Sprint(Plan(seed, regressionSteps), planWorkers(seed))))
	return hex.EncodeToString(sum[:6])
}

// TestTheStepsOfRegressionsStayTheSame: a kind that is added to the draw would give old seeds other steps.
func TestTheStepsOfRegressionsStayTheSame(t *testing.T) {
	for _, regression := range Regressions {
		assert.Equal(t, digestOf(regression.Seed), regressionDigests[regression.Seed], "seed %d", regression.Seed)
	}
}
