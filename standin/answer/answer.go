// Package answer computes the output that the stand-in upstreams give. Callers
// check the answers that they get with it, byte by byte.
package answer

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"acaciawinch/core/config"
)

// Digest returns the input's digest as ledgers keep it: 16 hexadecimal digits
// of xxhash64.
func Digest(input []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(input))
}

// Simple returns the single chunk that a stage pool or plain service gives.
func Simple(service string, input []byte) []byte {
	return []byte(service + ":" + Digest(input))
}

// Token returns the chunk with number i that an engine gives.
func Token(input []byte, i int) []byte {
	hash := xxhash.New()
	_, _ = hash.Write(input)                 // a hash takes every byte
	_, _ = hash.WriteString(strconv.Itoa(i)) // a hash takes every byte
	return fmt.Appendf(nil, "%08x ", uint32(hash.Sum64()))
}

// Step is what one stage is expected to get and to give.
type Step struct {
	Stage config.Stage
	Input []byte
	// Chunks is the stage's output in order.
	Chunks [][]byte
}

// Expected returns the steps of a request with the given body. The answer is
// the last step's output.
func Expected(template config.Template, workspace config.Workspace, body []byte) []Step {
	steps := make([]Step, 0, len(template.Stages))
	input := body
	for _, stage := range template.Stages {
		stage, prefix := effective(template.Name, stage, workspace)
		step := Step{Stage: stage, Input: append([]byte(prefix), input...)}
		step.Chunks = Output(stage, step.Input)
		steps = append(steps, step)
		input = Join(step.Chunks)
	}
	return steps
}

// effective applies the workspace's parameters to a stage and returns its prefix.
func effective(pipeline string, stage config.Stage, workspace config.Workspace) (config.Stage, string) {
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

// Output returns the chunks that the stage's upstreams give for input.
func Output(stage config.Stage, input []byte) [][]byte {
	if stage.Kind != config.KindEngine {
		return [][]byte{Simple(stage.Service, input)}
	}
	chunks := make([][]byte, stage.MaxTokens)
	for i := range chunks {
		chunks[i] = Token(input, i)
	}
	return chunks
}

// Join returns the chunks as one value.
func Join(chunks [][]byte) []byte {
	var joined []byte
	for _, chunk := range chunks {
		joined = append(joined, chunk...)
	}
	return joined
}
