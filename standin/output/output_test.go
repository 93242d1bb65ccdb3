package output

import (
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/config"
)

// helloDigest is the xxhash64 sum of "hello" with seed 0, taken from an independent
// implementation.
const helloDigest = "26c7827d889f6da3"

func TestExpectedChainsStages(t *testing.T) {
	template := config.Template{Name: "p", Stages: []config.Stage{
		{Name: "encode", Service: "encoders", Kind: config.KindPool},
		{Name: "generate", Service: "llm", Kind: config.KindEngine, MaxTokens: 8},
	}}
	workspace := config.Workspace{Stages: []config.StageParameters{
		{Pipeline: "p", Stage: "generate", MaxTokens: 3, Prefix: "say: "},
		{Pipeline: "other", Stage: "generate", MaxTokens: 5, Prefix: "no"},
	}}
	steps := Expected(template, workspace, []byte("hello"))
	assert.Equal(t, string(Join(steps[0].Chunks)), "encoders:"+helloDigest)
	assert.Equal(t, string(steps[1].Input), "say: encoders:"+helloDigest)
	assert.Equal(t, len(steps[1].Chunks), 3)
	assert.Equal(t, len(steps[1].Chunks[0]), 9)
	assert.Assert(t, string(steps[1].Chunks[0]) != string(steps[1].Chunks[1]))
}
