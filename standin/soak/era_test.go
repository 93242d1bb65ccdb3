package soak

import (
	"crypto/sha256"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// planDigest returns a hash of the steps of a plan.
func planDigest(plan []Step) string {
	digest := sha256.New()
	for _, step := range plan {
		fmt.Fprintf(digest, "%d %d %s %d %d %d\n", step.At, step.For, step.Kind, step.Target, step.Direction, step.Choice)
	}
	return fmt.Sprintf("%x", digest.Sum(nil)[:8])
}

// TestThePlansOfRegressionSeedsDoNotChange: a seed that failed once must play the same steps again.
func TestThePlansOfRegressionSeedsDoNotChange(t *testing.T) {
	const steps = 24
	digests := map[uint64]string{
		11:                  "39b0b9a476a04726",
		34:                  "a52b4c167e0a175f",
		56:                  "a5a12190946a3bea",
		1002:                "83341e0625dd8be5",
		9001:                "d650a4e5fd75e4a1",
		9002:                "26031d44acca0832",
		9036:                "17cd070c25311662",
		9102:                "5880738ab90974d7",
		20012:               "994aa679951d8a3b",
		30003:               "515db6e38b17b622",
		61003:               "beb568b63fc8c498",
		61007:               "4b5288c15f27e5a9",
		1796260130301604318: "3faa5b04df58053e",
	}
	for _, regression := range Regressions {
		plan := planRun(Options{Seed: regression.Seed, Steps: steps, Returns: regression.Returns, Disorders: regression.Disorders})
		assert.Equal(t, planDigest(plan[:steps+workerSteps]), digests[regression.Seed], "seed %d", regression.Seed)
		assert.Equal(t, len(plan), steps+workerSteps+regression.Returns+regression.Disorders, "seed %d", regression.Seed)
	}
}
