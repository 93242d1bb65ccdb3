package pool

import (
	"sort"
	"time"
)

// Limits of a batch.
const (
	// slowFactor is how much slower an upstream must be to come after one of another
	// zone: a call's time counts for more than the bytes between zones.
	slowFactor = 1.3
	// smallCrossing is how many bytes of an item may cross zones without a second
	// thought: a hundredth of a call's cost.
	smallCrossing = 32 << 10
)

// Next closes a batch for a free upstream and returns it, or nil if nothing can be
// sent now.
func (p *Pool) Next(now time.Time) *Call {
	if p.waiting == 0 {
		return nil
	}
	usable := p.free(now)
	if len(usable) == 0 {
		return nil // to sort the queue at each arrival would cost most of an owner's time
	}
	p.sort(now)
	first := p.queue[0].Task
	sort.Slice(usable, func(i, j int) bool { return better(usable[i], usable[j], first) })
	for _, w := range usable {
		if call := p.fill(w, now); call != nil {
			return call
		}
	}
	return nil
}

// free returns the upstreams that can take a call. One that failed lately is used only
// if all have failed: while others are merely busy, items wait.
func (p *Pool) free(now time.Time) []*worker {
	var usable, avoided []*worker
	busy := 0
	for _, w := range p.workers {
		switch {
		case !w.upstream.TakesWork(now):
		case now.Before(w.avoid):
			avoided = append(avoided, w)
		case w.calls >= max(1, p.settings.Slots):
			busy++
		default:
			usable = append(usable, w)
		}
	}
	if len(usable) == 0 && busy == 0 {
		usable = p.rested(avoided, now)
	}
	return usable
}

// rested returns the upstreams with a free slot whose last failure is some time ago.
func (p *Pool) rested(list []*worker, now time.Time) []*worker {
	var found []*worker
	for _, w := range list {
		if w.calls < max(1, p.settings.Slots) && now.Sub(w.failed) >= leastRest {
			found = append(found, w)
		}
	}
	return found
}

// better tells whether a is to be used before b for a batch that begins with first.
func better(a, b *worker, first *Task) bool {
	if a.slow > b.slow*slowFactor || b.slow > a.slow*slowFactor {
		return a.slow < b.slow
	}
	crossA, crossB := first.crossing(a.upstream.Zone), first.crossing(b.upstream.Zone)
	if crossA != crossB {
		return crossA < crossB
	}
	return a.upstream.ID < b.upstream.ID
}

// fill closes a batch of the first tasks that an upstream can take: those that fit
// into its room and that need not wait for an upstream nearer to their data.
func (p *Pool) fill(w *worker, now time.Time) *Call {
	call := &Call{Upstream: w.upstream, Began: now}
	room := p.roomLeft(w, now)
	for _, g := range p.queue {
		if len(call.Items) >= p.settings.Batch {
			break
		}
		if len(g.items) == 0 || !p.endsInTime(g.Task, now) || p.waitsForNearer(g.Task, w, now) {
			continue
		}
		taken := p.fits(call, g, room-call.bytes)
		call.Items = append(call.Items, p.take(g, taken)...)
		call.bytes += int64(taken) * g.Bytes
	}
	if len(call.Items) == 0 {
		return nil
	}
	p.drop(func(*group) bool { return false })
	p.learnFill(len(call.Items))
	p.begin(call, w)
	return call
}

// begin records that a call goes out.
func (p *Pool) begin(call *Call, w *worker) {
	for _, item := range call.Items {
		item.tries++
	}
	call.Expected = time.Duration(w.slow * float64(p.callTime(len(call.Items))))
	call.Patience = p.patience(w, len(call.Items))
	w.calls++
	w.until = call.Began.Add(call.Expected)
	w.room += call.bytes
}

// fits returns how many items of a task go into a call with some room left. A task is
// split only if not even an empty call takes it whole: its first results would lie at
// their upstream until the last are made, and take up the room of others.
func (p *Pool) fits(call *Call, g *group, room int64) int {
	places := p.settings.Batch - len(call.Items)
	if g.Bytes > 0 {
		places = min(places, int(max(0, room)/g.Bytes))
	}
	if places < len(g.items) && len(call.Items) > 0 {
		return 0
	}
	return min(places, len(g.items))
}

// waitsForNearer tells whether an item had better wait for an upstream in the zone of
// its data than go to w: it would still be on time there.
func (p *Pool) waitsForNearer(task *Task, w *worker, now time.Time) bool {
	here := task.crossing(w.upstream.Zone)
	if here <= smallCrossing || task.late {
		return false
	}
	for _, other := range p.workers {
		if other == w || !other.upstream.TakesWork(now) || now.Before(other.avoid) {
			continue
		}
		if here-task.crossing(other.upstream.Zone) <= smallCrossing {
			continue
		}
		starts := now
		if other.calls > 0 {
			starts = other.until
		}
		if !p.endsAfter(starts, task.Due) {
			return true
		}
	}
	return false
}

// endsAfter tells whether a full call that starts at a time ends after another.
func (p *Pool) endsAfter(starts, limit time.Time) bool {
	full := time.Duration(float64(p.callTime(p.settings.Batch)) * p.slowdown)
	return starts.Add(full).After(limit)
}
