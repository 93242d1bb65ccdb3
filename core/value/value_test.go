package value

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestUrgentAndLargeRequestsHaveAHigherValue(t *testing.T) {
	base := Of(Request{Priority: 1, PromptTokens: 1000, OutputTokens: 100})
	assert.Equal(t, Of(Request{Priority: 0, PromptTokens: 1000, OutputTokens: 100}), 2*base)
	assert.Equal(t, Of(Request{Priority: 1, PromptTokens: 4000, OutputTokens: 400}), 2*base, "four times the size")
	assert.Assert(t, Of(Request{Priority: 2, PromptTokens: 1000, OutputTokens: 100}) < base)
	assert.Assert(t, Of(Request{}) > 0, "a request that announces nothing")
	assert.Equal(t, Of(Request{Priority: -1}), Of(Request{}))
}

// TestEstimateAgreesWithOperatorValues compares the estimate with the values that the
// operators of three deployments give to their kinds of request, at the mean size of each.
func TestEstimateAgreesWithOperatorValues(t *testing.T) {
	type kind struct {
		value   float64
		request Request
	}
	for _, kinds := range [][]kind{
		{{5.5, Request{0, 11992, 384}}, {1, Request{1, 826, 294}}, {0.39, Request{2, 2368, 24}}},
		{{2, Request{0, 2368, 24}}, {3.4, Request{1, 9190, 52}}, {0.65, Request{2, 715, 280}}},
		{{2, Request{0, 2368, 24}}, {3.4, Request{1, 9190, 51}}, {0.65, Request{2, 715, 279}}},
	} {
		scale := kinds[0].value / Of(kinds[0].request)
		for _, k := range kinds {
			ratio := scale * Of(k.request) / k.value
			assert.Assert(t, ratio > 1/1.8 && ratio < 1.8, "%+v: %.2f of the operator's value", k, ratio)
		}
	}
}
