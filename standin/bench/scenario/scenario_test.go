package scenario

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/catalog"
)

// examples is the directory of the example configurations.
const examples = "../../../examples"

func TestSizesMatchTheirConfiguration(t *testing.T) {
	upstreams := map[string]int{"institute": 26, "cascade-grind": 30}
	for _, size := range Sizes() {
		configuration, err := catalog.Load(size.Files(examples)...)
		assert.NilError(t, err)
		parts := 0.0
		for _, share := range size.Shares {
			parts += share.Part
			workspace, known := configuration.Workspace(share.Workspace)
			assert.Assert(t, known, share.Workspace)
			assert.Assert(t, contains(workspace.Pipelines, share.Pipeline), share)
			assert.Assert(t, size.tokens(configuration, share) > 0, share)
		}
		assert.Assert(t, math.Abs(parts-1) < 1e-9, "parts of %s: %v", size.Name, parts)
		count := 0
		for _, group := range size.Deployment.Groups {
			if group.Kind != "pool" {
				count += group.Workers
			}
		}
		assert.Equal(t, count, upstreams[size.Name])
	}
}

// contains reports whether list contains item.
func contains(list []string, item string) bool {
	for _, one := range list {
		if one == item {
			return true
		}
	}
	return false
}

func TestFlowsCarryTheLoadAndTheBurst(t *testing.T) {
	size := Sizes()[0]
	c := Case{Duration: 10 * time.Second, Load: 0.5, Burst: 10, At: time.Second}
	total := 0.0
	for _, flow := range size.Flows(c, 100) {
		total += flow.Rate
		assert.Equal(t, len(flow.Bursts) == 1, flow.Workspace == size.Large)
	}
	assert.Assert(t, math.Abs(total-50) < 1e-9)
}

func TestWorkspaceTokenLimitOverridesTemplate(t *testing.T) {
	size := Sizes()[0]
	configuration, err := catalog.Load(size.Files(examples)...)
	assert.NilError(t, err)
	assert.Equal(t, size.tokens(configuration, Share{Workspace: "asesores", Pipeline: "aviso"}), 32)
	assert.Equal(t, size.tokens(configuration, Share{Workspace: "avisos", Pipeline: "aviso"}), 24)
}

func TestSelectKeepsOrderAndRejectsUnknownNames(t *testing.T) {
	name := func(c Case) string { return c.Name }
	chosen, err := Select(Cases(), "overload, steady", name)
	assert.NilError(t, err)
	assert.Equal(t, len(chosen), 2)
	assert.Equal(t, chosen[0].Name, Steady)
	all, err := Select(Cases(), "", name)
	assert.NilError(t, err)
	assert.Equal(t, len(all), len(Cases()))
	_, err = Select(Cases(), "steady,nothing", name)
	assert.ErrorContains(t, err, `"nothing"`)
}

func TestScaledCaseKeepsItsFault(t *testing.T) {
	for _, c := range Cases() {
		short := c.Scaled(time.Second)
		assert.Assert(t, short.Duration > short.JudgedFrom && short.JudgedFrom >= short.At, c.Name)
		assert.Equal(t, c.Scaled(0).Duration, c.Duration)
	}
}
