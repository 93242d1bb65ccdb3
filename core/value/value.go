// Package value estimates the value of a request relative to others, so that scarce capacity
// goes where it helps clients most. The estimate is a pure function of what the operator
// configures and the client announces.
package value

import "math"

const (
	// priorityFactor is the value of a request relative to one of the same size with the next
	// more urgent priority. With half for each priority and the square root of the size, the
	// estimate agrees with the values that operators give to their kinds of request
	// (TestEstimateAgreesWithOperatorValues).
	priorityFactor = 0.5
	// outputWeight is how many prompt tokens an output token counts for. Operators use the
	// same weight.
	outputWeight = 10
)

// Request describes a request.
type Request struct {
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// PromptTokens and OutputTokens are the sizes that the client announces; 0 if it
	// announces none.
	PromptTokens, OutputTokens int
}

// Of returns the value of a request, which is above 0. With the square root of the size, large
// requests have a higher value, but not so high that small urgent requests yield to them.
func Of(r Request) float64 {
	size := max(1, r.PromptTokens+outputWeight*r.OutputTokens)
	return math.Sqrt(float64(size)) * math.Pow(priorityFactor, float64(max(0, r.Priority)))
}
