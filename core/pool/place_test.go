package pool

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/comeback"
	"acaciawinch/core/fingerprint"
	"acaciawinch/core/forecast"
)

// returning replays a burst in which the first clients that are refused return.
type returning struct {
	*simulation
	places *comeback.Places
	// returnAts holds the times at which refused clients return.
	returnAts map[*Task]time.Time
	// wasRefused holds the clients that were refused once, and isTold those told when to return.
	wasRefused, isTold map[Ticket]bool
}

// maxRefused clients return, of which the first maxTold are told when: the pool can do the work of these
// after the burst and before their deadlines.
const maxRefused, maxTold = 300, 150

// identity returns the fingerprint of the request of a ticket.
func identity(ticket Ticket) fingerprint.Fingerprint {
	return fingerprint.Of(fingerprint.Request{Target: strconv.Itoa(int(ticket))})
}

// expire refuses what the pool drops. Clients return once, after a third of their time.
func (r *returning) expire() {
	if r.places != nil {
		r.pool.SetReserved(r.places.Reserved(r.now))
	}
	for _, item := range r.pool.Expire(r.now) {
		if !r.wasRefused[item.Task.Ticket] && len(r.wasRefused) < maxRefused {
			r.refuse(item.Task)
		}
	}
}

// refuse refuses a client for the first time.
func (r *returning) refuse(lost *Task) {
	r.wasRefused[lost.Ticket] = true
	returnAt := r.now.Add(lost.Deadline.Sub(r.now) / 3)
	if len(r.isTold) < maxTold {
		r.isTold[lost.Ticket] = true
		if r.places != nil {
			r.places.Refused(identity(lost.Ticket), r.now, lost.Deadline)
			r.places.Reserve(identity(lost.Ticket), r.load.itemsPerTask, returnAt)
		}
	}
	r.returnAts[lost] = returnAt
}

// comeBack queues the clients that return now.
func (r *returning) comeBack() {
	for lost, at := range r.returnAts {
		if !r.now.Before(at) {
			delete(r.returnAts, lost)
			retry := &Task{Ticket: lost.Ticket, Due: lost.Due, Deadline: lost.Deadline, Bytes: lost.Bytes}
			if r.places != nil {
				_, retry.Promised, _ = r.places.Take(identity(lost.Ticket), r.now)
			}
			r.pool.Add(retry, r.load.itemsPerTask)
		}
	}
	r.dispatch()
}

// served replays a burst of 6 s at a pool whose late tasks are kept by a forecast, if there is one, and
// returns how many of the clients that were told when to return, and of all that returned, are served.
func served(load deploymentPool, places *comeback.Places, f *forecast.Forecast) (ofTold, ofAll int) {
	r := &returning{simulation: &simulation{load: load, pool: New(load.pool), random: rand.New(rand.NewPCG(1, 2)), now: start, remaining: make(map[Ticket]int)},
		places: places, returnAts: make(map[*Task]time.Time), wasRefused: make(map[Ticket]bool), isTold: make(map[Ticket]bool)}
	r.pool.SetUpstreams(upstreams(load.upstreams))
	r.pool.KeepLate(f)
	gap := float64(load.itemsPerTask) / (load.itemsPerSecond * 5) * float64(time.Second)
	next := start
	for tick := start; tick.Before(start.Add(20 * time.Second)); tick = tick.Add(20 * time.Millisecond) {
		for ; !next.After(tick) && next.Before(start.Add(6*time.Second)); next = next.Add(time.Duration(r.random.ExpFloat64() * gap)) {
			r.advance(next)
			r.tasks++
			r.remaining[Ticket(r.tasks)] = load.itemsPerTask
			if f != nil {
				f.Arrived(load.itemsPerTask, r.now)
			}
			r.pool.Add(&Task{Ticket: Ticket(r.tasks), Due: next.Add(1100 * time.Millisecond), Deadline: next.Add(9 * time.Second), Bytes: load.resultBytes}, load.itemsPerTask)
			r.dispatch()
		}
		r.advance(tick)
		r.comeBack()
		r.expire()
	}
	for ticket := range r.wasRefused {
		if r.remaining[ticket] == 0 {
			ofAll++
			if r.isTold[ticket] {
				ofTold++
			}
		}
	}
	return ofTold, ofAll
}

// TestRefusedClientsThatWereToldToReturnAreServed replays a burst at five times the standard rate in which
// 300 clients are refused and return while the burst goes on, half of them as they were told to. Without
// places nearly all of these are refused again, whether a forecast keeps late tasks or not.
func TestRefusedClientsThatWereToldToReturnAreServed(t *testing.T) {
	load := standardRates[4]
	for _, withForecast := range []bool{false, true} {
		newForecast := func() *forecast.Forecast {
			if !withForecast {
				return nil
			}
			idle := forecast.New()
			idle.Observe(start.Add(-30 * time.Second))
			return idle
		}
		toldBefore, allBefore := served(load, nil, newForecast())
		told, all := served(load, comeback.New(), newForecast())
		t.Logf("forecast %v: without places %d of %d and %d of %d are served, with places %d and %d", withForecast, toldBefore, maxTold, allBefore, maxRefused, told, all)
		assert.Assert(t, toldBefore < maxTold/4)
		assert.Assert(t, all > allBefore)
		assert.Assert(t, told > maxTold*95/100)
	}
}
