package soak

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestOtherStepsDoNotDependOnReturns: the steps of older seeds, whose digests TestTheStepsOfRegressionsStayTheSame
// checks, come first, as if the store never returned.
func TestOtherStepsDoNotDependOnReturns(t *testing.T) {
	for _, regression := range Regressions {
		o := Options{Seed: regression.Seed, Steps: regressionSteps, Returns: 3, Disorders: 4}
		first := append(Plan(o.Seed, o.Steps), planWorkers(o.Seed)...)
		plan := planRun(o)
		assert.DeepEqual(t, plan[:len(first)], first)
		assert.DeepEqual(t, plan[len(first):len(first)+o.Returns], planReturns(o.Seed, o.Returns))
		assert.DeepEqual(t, plan[len(first)+o.Returns:], planDisorder(o.Seed, o.Disorders))
	}
}
