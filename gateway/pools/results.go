package pools

import (
	"acaciawinch/core/fault"
	"acaciawinch/platform/stagecall"
)

// assign returns the result of each of a number of items. Items whose result did not arrive in a response
// that broke off have failed. If the response has another number of results, it is unknown which items
// they belong to, and assign returns none.
func assign(response stagecall.Response, items int) ([]stagecall.Result, error) {
	received := len(response.Results)
	if received > items || response.Ended && received < items {
		return nil, fault.New(fault.Unavailable, "stage.assign", "", "%d results for %d items", received, items)
	}
	results := response.Results
	for len(results) < items {
		results = append(results, stagecall.Result{Reason: stagecall.ReasonFailed})
	}
	return results, nil
}
