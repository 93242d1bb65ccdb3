package pools

import (
	"strings"
	"time"

	"acaciawinch/core/routes"
	"acaciawinch/gateway/view"
)

// maxHeld bounds the results of which a process keeps what a new owner must be told: some 100 requests a
// second with 18 results each, all kept for the 4 s after which upstreams drop them, need 7,200. Results
// beyond it are only unknown to the next owner.
const maxHeld = 16384

// held holds the results that this process still uses, and which owners know of them. It is not safe for
// concurrent use.
type held struct {
	results map[string]heldResult
	// owners holds the incarnation of the owner that a task of a part was last submitted to.
	owners map[Part]string
}

// heldResult is a result that this process still uses.
type heldResult struct {
	service string
	bytes   int64
	// until is when its upstream drops it by itself; incarnation is that of the upstream, which lost all
	// results if another one has taken its place.
	until       time.Time
	incarnation int64
}

// newHeld returns held without results.
func newHeld() *held {
	return &held{results: make(map[string]heldResult), owners: make(map[Part]string)}
}

// add records the results of a task, up to maxHeld.
func (h *held) add(upstreams *routes.Upstreams, task Task, handles []string, until time.Time) {
	for _, handle := range handles {
		if len(h.results) >= maxHeld {
			return
		}
		upstream, _ := upstreams.At(addressOf(handle))
		h.results[handle] = heldResult{service: task.Service, bytes: task.ResultBytes, until: until, incarnation: upstream.Incarnation}
	}
}

// remove forgets results that are no longer used.
func (h *held) remove(handles []string) {
	for _, handle := range handles {
		delete(h.results, handle)
	}
}

// expire forgets the results that their upstreams no longer keep.
func (h *held) expire(now time.Time) {
	for handle, result := range h.results {
		if now.After(result.until) {
			delete(h.results, handle)
		}
	}
}

// of returns the results of a part that their upstreams still keep, with their sizes.
func (h *held) of(part Part, upstreams *routes.Upstreams, now time.Time) (handles []string, bytes []uint64) {
	for handle, result := range h.results {
		upstream, found := upstreams.At(addressOf(handle))
		if result.service != part.Service || now.After(result.until) || !found || upstream.Incarnation != result.incarnation || !part.Has(upstream.ID) {
			continue
		}
		handles = append(handles, handle)
		bytes = append(bytes, uint64(max(0, result.bytes)))
	}
	return handles, bytes
}

// addressOf returns the address of the upstream that keeps a result.
func addressOf(handle string) string {
	address, _, _ := strings.Cut(handle, "/")
	return address
}

// hold records that this process uses the results of a task, which came from an owner. If another gateway is
// the owner by now, it is told of them: the calls that run at a change of owner end after it.
func (d *Dispatcher) hold(task Task, handles []string, from view.Member) {
	table := d.view.Table()
	if len(handles) == 0 || table == nil {
		return
	}
	service := table.Service(task.Service)
	if service == nil || service.Pool == nil {
		return
	}
	d.mu.Lock()
	d.held.add(d.view.Upstreams(), task, handles, time.Now().Add(service.Pool.KeepTime))
	told := d.held.owners[task.Part]
	d.mu.Unlock()
	present := d.owner(task.Part, time.Now())
	switch d.incarnationOf(present) {
	case d.incarnationOf(from):
	case told:
		d.tellLate(task, handles, present)
	default:
		d.introduce(task.Part, present)
	}
}

// tellLate tells an owner that knows of earlier results of a part of further ones.
func (d *Dispatcher) tellLate(task Task, handles []string, owner view.Member) {
	bytes := make([]uint64, len(handles))
	for i := range bytes {
		bytes[i] = uint64(max(0, task.ResultBytes))
	}
	if owner.Name == d.self.Name {
		d.local.Held(task.Part, handles, bytes)
		return
	}
	d.link(owner).held(task.Part, handles, bytes)
}

// incarnationOf returns the incarnation of an owner, also if it is this process in the place of a missing
// one.
func (d *Dispatcher) incarnationOf(owner view.Member) string {
	if owner.Name == d.self.Name {
		return d.self.Incarnation
	}
	return owner.Incarnation
}

// drop records that this process no longer uses results.
func (d *Dispatcher) drop(handles []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held.remove(handles)
}

// tellHeld tells the owner of a part which results of the part this process uses, if another one was the
// owner before. Without it the new owner fills calls as if its upstreams stored nothing. The list may be
// empty: the owner then learns of the change.
func (d *Dispatcher) tellHeld(part Part, owner view.Member, send func(handles []string, bytes []uint64)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	incarnation := d.incarnationOf(owner)
	before, changed := d.held.owners[part]
	if before == incarnation {
		return
	}
	d.held.owners[part] = incarnation
	if handles, bytes := d.held.of(part, d.view.Upstreams(), time.Now()); changed || len(handles) > 0 {
		send(handles, bytes) // under the lock, so that no task of the part is submitted before it
	}
}

// tellNextOwners tells the owners of the parts of which this process uses results, where they have changed.
// Otherwise they would learn of results only from those gateways that have further tasks.
func (d *Dispatcher) tellNextOwners() {
	if d.lifetime.Err() != nil {
		return // this process has ended its links itself
	}
	now := time.Now()
	for _, part := range d.heldParts(now) {
		d.introduce(part, d.owner(part, now))
	}
}

// heldParts returns the parts that tasks were submitted to and of which this process uses results.
func (d *Dispatcher) heldParts(now time.Time) []Part {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.held.results) == 0 {
		return nil
	}
	var parts []Part
	for part := range d.held.owners {
		if handles, _ := d.held.of(part, d.view.Upstreams(), now); len(handles) > 0 {
			parts = append(parts, part)
		}
	}
	return parts
}

// followMembers tells the owners that a changed list of gateways makes of the results that this process
// uses.
func (d *Dispatcher) followMembers() {
	list := d.view.Members()
	if len(list) == len(d.memberList) && (len(list) == 0 || &list[0] == &d.memberList[0]) {
		return
	}
	d.memberList = list
	d.tellNextOwners()
}

// introduce makes sure that an owner knows which results of a part this process uses, and returns the
// link to it; nil if the owner is this process.
func (d *Dispatcher) introduce(part Part, owner view.Member) *ownerLink {
	if owner.Name == d.self.Name {
		d.tellHeld(part, owner, func(handles []string, bytes []uint64) { d.local.Held(part, handles, bytes) })
		return nil
	}
	to := d.link(owner)
	d.tellHeld(part, owner, func(handles []string, bytes []uint64) { to.held(part, handles, bytes) })
	return to
}
