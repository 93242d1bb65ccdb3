// Package value estimates what a request counts for against others, so that scarce work
// goes where it helps clients most. It is a pure function of what the operator and the
// client say.
package value

import "math"

// Weights of what is known of a request.
const (
	// rankShare is what a request counts for against one of the next more urgent priority.
	// With half for each priority and the root of the size the estimate agrees with what operators
	// give their kinds of request (TestTheEstimateAgreesWithWhatOperatorsGave).
	rankShare = 0.5
	// outputWeight is how many tokens of the prompt one of the output counts for: operators
	// count them so.
	outputWeight = 10
)

// Request is what is known of a request.
type Request struct {
	// Priority is that of its route; 0 is the most urgent.
	Priority int
	// PromptTokens and OutputTokens are what the client announces; 0 if it does not.
	PromptTokens, OutputTokens int
}

// Of returns what a request counts for, above 0. The root of the size lets large requests
// count for more, but not so much that a small urgent one yields to a large other.
func Of(r Request) float64 {
	size := max(1, r.PromptTokens+outputWeight*r.OutputTokens)
	return math.Sqrt(float64(size)) * math.Pow(rankShare, float64(max(0, r.Priority)))
}
