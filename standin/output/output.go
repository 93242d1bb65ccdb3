// Package output computes the output that the stand-in upstreams produce. Callers
// compare the responses that they receive with it, byte by byte.
package output

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"acaciawinch/core/config"
)

// Digest returns the digest of the input as the ledgers record it: the xxhash64 sum
// as 16 hexadecimal digits.
func Digest(input []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(input))
}

// ServiceOutput returns the single chunk that a stage pool or plain service produces.
func ServiceOutput(service string, input []byte) []byte {
	return []byte(service + ":" + Digest(input))
}

// Token returns the chunk with index i that an engine produces.
func Token(input []byte, i int) []byte {
	hash := xxhash.New()
	_, _ = hash.Write(input)                 // writes to a hash never fail
	_, _ = hash.WriteString(strconv.Itoa(i)) // writes to a hash never fail
	return fmt.Appendf(nil, "%08x ", uint32(hash.Sum64()))
}

// Step is the expected input and output of one stage.
type Step struct {
	Stage config.Stage
	Input []byte
	// Chunks holds the output of the stage in order.
	Chunks [][]byte
}

// Expected returns the steps of a request with the given body. The expected
// response is the output of the last step.
func Expected(template config.Template, workspace config.Workspace, body []byte) []Step {
	steps := make([]Step, 0, len(template.Stages))
	input := body
	for _, stage := range template.Stages {
		stage, prefix := applyParameters(template.Name, stage, workspace)
		step := Step{Stage: stage, Input: append([]byte(prefix), input...)}
		step.Chunks = StageOutput(stage, step.Input)
		steps = append(steps, step)
		input = Join(step.Chunks)
	}
	return steps
}

// applyParameters applies the workspace's parameters to a stage of a pipeline. It
// returns the resulting stage and the prefix of its input.
func applyParameters(pipeline string, stage config.Stage, workspace config.Workspace) (config.Stage, string) {
	prefix := ""
	for _, p := range workspace.Stages {
		if p.Pipeline != pipeline || p.Stage != stage.Name {
			continue
		}
		if p.Model != "" {
			stage.Model = p.Model
		}
		if p.Version != "" {
			stage.Version = p.Version
		}
		if p.MaxTokens != 0 {
			stage.MaxTokens = p.MaxTokens
		}
		prefix = p.Prefix
	}
	return stage, prefix
}

// StageOutput returns the chunks that the upstreams of the stage produce for input.
func StageOutput(stage config.Stage, input []byte) [][]byte {
	if stage.Kind != config.KindEngine {
		return [][]byte{ServiceOutput(stage.Service, input)}
	}
	chunks := make([][]byte, stage.MaxTokens)
	for i := range chunks {
		chunks[i] = Token(input, i)
	}
	return chunks
}

// Join returns the concatenation of the chunks.
func Join(chunks [][]byte) []byte {
	var joined []byte
	for _, chunk := range chunks {
		joined = append(joined, chunk...)
	}
	return joined
}
