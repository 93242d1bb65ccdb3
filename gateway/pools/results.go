package pools

import (
	"acaciawinch/core/fault"
	"acaciawinch/platform/stagecall"
)

// itemKey identifies an item of a request across calls.
type itemKey struct {
	request      string
	stage, index int
}

// keyOf returns the key of an item.
func keyOf(item stagecall.Item) itemKey {
	return itemKey{request: item.Request, stage: item.Stage, index: item.Index}
}

// assign returns the result of each of the items of a call. Items whose result did not arrive in a response
// that broke off have failed. If the response has another number of results, it is unknown which items
// they belong to: assign frees them and returns none. It also returns none if the response is that to
// another call. o.mu must be held.
func (o *Owner) assign(p *ownedPart, response stagecall.Response, items []stagecall.Item) ([]stagecall.Result, error) {
	received := len(response.Results)
	switch {
	case o.madeForOthers(response, items):
		return nil, fault.New(fault.Ambiguous, "stage.assign", "", "the response is that to an earlier call")
	case received > len(items) || response.Ended && received < len(items):
		p.free(handlesOf(response))
		return nil, fault.New(fault.Unavailable, "stage.assign", "", "%d results for %d items", received, len(items))
	}
	results := response.Results
	for len(results) < len(items) {
		results = append(results, stagecall.Result{Reason: stagecall.ReasonFailed})
	}
	return results, nil
}

// madeForOthers reports whether a response to a call holds a result that was made for another item. An
// upstream may send a response twice, and nothing but its handles tells to which call it belongs.
func (o *Owner) madeForOthers(response stagecall.Response, items []stagecall.Item) bool {
	for i, result := range response.Results {
		for _, p := range o.pools {
			made, known := p.itemOf(result.Handle)
			if known && (i >= len(items) || made != keyOf(items[i])) {
				return true
			}
		}
	}
	return false
}

// itemOf returns the item that a result was made for, and false for a result that this owner does not know
// or that has expired.
func (p *ownedPart) itemOf(handle string) (itemKey, bool) {
	if kept, known := p.results[handle]; known {
		return kept.item, true
	}
	freed, known := p.freedResults[handle]
	return freed.item, known
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
