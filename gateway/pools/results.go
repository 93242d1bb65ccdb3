package pools

import (
	"acaciawinch/core/fault"
	"acaciawinch/platform/stagecall"
)

// assign returns the result of each of a number of items. Items whose result did not arrive in a response
// that broke off have failed. If the response has another number of results, it is unknown which items
// they belong to: assign frees them and returns none.
func (p *ownedPart) assign(response stagecall.Response, items int) ([]stagecall.Result, error) {
	received := len(response.Results)
	if received > items || response.Ended && received < items {
		p.free(handlesOf(response))
		return nil, fault.New(fault.Unavailable, "stage.assign", "", "%d results for %d items", received, items)
	}
	results := response.Results
	for len(results) < items {
		results = append(results, stagecall.Result{Reason: stagecall.ReasonFailed})
	}
	return results, nil
}

// handlesOf returns the handles in a response.
func handlesOf(response stagecall.Response) []string {
	var handles []string
	for _, result := range response.Results {
		if result.Handle != "" {
			handles = append(handles, result.Handle)
		}
	}
	return handles
}
