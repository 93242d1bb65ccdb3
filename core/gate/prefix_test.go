package gate

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestPrefixesAreRememberedUntilEvictedOrTooMany(t *testing.T) {
	var p Prefixes
	p.Use(0)
	p.Use(1)
	p.Use(2)
	p.Evict(2)
	assert.Assert(t, !p.Has(0) && p.Has(1) && !p.Has(2))
	for hash := range uint64(maxPrefixes) {
		p.Use(hash + 10)
	}
	assert.Assert(t, !p.Has(1) && p.Has(10))
}
