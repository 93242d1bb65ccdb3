package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/core/latency"
)

// TestFailingFastIsNotQuick avoids an upstream that fails at once.
func TestFailingFastIsNotQuick(t *testing.T) {
	w := newWorld(Probe2, 1, hostsIn("a", 2)...)
	w.usual.ServiceP50 = 100 * ms
	w.reply = func(u Upstream) Answer {
		load := idle()
		load.Finished = 40
		if u.ID == "a-1" {
			load.Failed = 40
			load.ServiceP50, load.ServiceP95 = ms, ms
		}
		return Answer{Upstream: u, Answered: true, Load: load}
	}
	assert.Equal(t, w.choose(plain).Chosen.Answer.Upstream.ID, core.UpstreamID("a-0"))
	w.now = w.now.Add(time.Minute)
	assert.Equal(t, w.choose(plain).Chosen.Answer.Upstream.ID, core.UpstreamID("a-1"), "it is tried again some time")
}

// TestOwnWaitOfTheQueryGoesBeforeThatOfAnother orders by what the sides say of the
// query itself, but not once the answer is remembered for another query.
func TestOwnWaitOfTheQueryGoesBeforeThatOfAnother(t *testing.T) {
	answer := Answer{Load: idle(), OwnWait: time.Second, Asked: true}
	answer.Load.Wait = ms
	assert.Equal(t, answer.wait(), time.Second)
	answer.Answered = true
	table := NewTable()
	table.Answered(answer, time.Unix(100, 0))
	_, ok := table.Remembered(answer.Upstream.ID, time.Unix(100, 0), time.Hour, 1)
	assert.Assert(t, !ok, "it is too old: it was sent at the zero time")
	answer.SentAt = time.Unix(100, 0)
	table.Answered(answer, time.Unix(100, 0))
	remembered, ok := table.Remembered(answer.Upstream.ID, time.Unix(100, 0), time.Hour, 1)
	assert.Assert(t, ok)
	assert.Equal(t, remembered.wait(), ms)
}

// TestOwnWaitCountsAndNotWhatIsServedBehindIt takes the upstream where the query's
// turn comes soonest, though much of another workspace waits there.
func TestOwnWaitCountsAndNotWhatIsServedBehindIt(t *testing.T) {
	w := newWorld(Probe2, 1, hostsIn("a", 2)...)
	w.usual.ServiceP50 = 100 * ms
	w.reply = func(u Upstream) Answer {
		load := idle()
		load.InFlight = load.Capacity
		load.Queued = 3
		wait := 200 * ms
		if u.ID == "a-1" {
			load.Queued = 30
			wait = 100 * ms
		}
		return Answer{Upstream: u, Answered: true, Load: load, OwnWait: wait, Asked: true}
	}
	assert.Equal(t, w.choose(plain).Chosen.Answer.Upstream.ID, core.UpstreamID("a-1"))
}

// TestIdleStragglerIsTriedAgain forgets old service times of an upstream without work.
func TestIdleStragglerIsTriedAgain(t *testing.T) {
	w := newWorld(Probe2, 1, hostsIn("a", 2)...)
	w.usual.ServiceP50 = 100 * ms
	w.reply = func(u Upstream) Answer {
		load := idle()
		load.Finished = 40
		if u.ID == "a-1" {
			load.ServiceP50, load.ServiceP95 = time.Second, time.Second
		} else {
			load.InFlight = 3
		}
		return Answer{Upstream: u, Answered: true, Load: load}
	}
	assert.Equal(t, w.choose(plain).Chosen.Answer.Upstream.ID, core.UpstreamID("a-0"))
	w.now = w.now.Add(time.Minute)
	assert.Equal(t, w.choose(plain).Chosen.Answer.Upstream.ID, core.UpstreamID("a-1"))
}

// TestLateChunksShowAStraggler before its whole answers do, and while it works.
func TestLateChunksShowAStraggler(t *testing.T) {
	w := newWorld(Probe2, 1, hostsIn("a", 2)...)
	w.usual = latency.Estimate{ServiceP50: 100 * ms, FirstP50: 20 * ms, GapP95: 10 * ms}
	late := latency.Estimate{}
	w.reply = func(u Upstream) Answer {
		load := idle()
		load.GapP95 = 10 * ms
		load.InFlight = 2
		if u.ID == "a-1" {
			load.FirstP50 += late.FirstP50
			load.GapP95 += late.GapP95
			load.InFlight = 1
		}
		return Answer{Upstream: u, Answered: true, Load: load}
	}
	chosen := func() core.UpstreamID {
		w.now = w.now.Add(time.Minute)
		return w.choose(plain).Chosen.Answer.Upstream.ID
	}
	assert.Equal(t, chosen(), core.UpstreamID("a-1"))
	late = latency.Estimate{FirstP50: 200 * ms}
	assert.Equal(t, chosen(), core.UpstreamID("a-0"))
	late = latency.Estimate{GapP95: 100 * ms}
	assert.Equal(t, chosen(), core.UpstreamID("a-0"))
	late = latency.Estimate{GapP95: 5 * ms}
	assert.Equal(t, chosen(), core.UpstreamID("a-1"))
}

// TestUnusuallySlowAnswersMakeItAskMore leaves two stragglers in the own zone.
func TestUnusuallySlowAnswersMakeItAskMore(t *testing.T) {
	w := newWorld(Probe2, 1, append(hostsIn("a", 2), hostsIn("b", 2)...)...)
	w.usual.ServiceP50 = 100 * ms
	w.reply = func(u Upstream) Answer {
		load := idle()
		load.Finished = 10
		if u.Zone == "a" {
			load.ServiceP50, load.ServiceP95 = time.Second, time.Second
		}
		return Answer{Upstream: u, Answered: true, Load: load}
	}
	assert.Equal(t, w.choose(plain).Chosen.Answer.Upstream.Zone, "b")
}

// TestRestartedSideCountsFromZero starts the failure ratio anew.
func TestRestartedSideCountsFromZero(t *testing.T) {
	var p progress
	p.observe(Load{Finished: 100, Failed: 100}, epoch)
	assert.Assert(t, p.failureRatio(epoch) == 1)
	p.observe(Load{Finished: 20, Failed: 5}, epoch)
	assert.Assert(t, p.failureRatio(epoch) == 0.25)
}

// TestWarmChoicesAreComparedWithARandomOne leaves a slow pair of warm upstreams.
func TestWarmChoicesAreComparedWithARandomOne(t *testing.T) {
	q := Query{Service: "llm", Engine: true, Prefix: 77}
	w := newWorld(Probe2, 1, hostsIn("a", 20)...)
	warm := ids(rank(prefixKey(q), w.picker.serviceGroup("llm").tiers[OwnZone])[:2])
	w.reply = func(u Upstream) Answer {
		load := idle()
		if u.ID == warm[0] || u.ID == warm[1] {
			load.ServiceP50, load.ServiceP95 = 200*ms, 200*ms
		}
		return Answer{Upstream: u, Answered: true, Load: load}
	}
	d := w.choose(q)
	assert.Assert(t, d.Chosen.Expected == 100*ms)
	assert.Equal(t, len(w.asked), 3)
}

// TestColdServiceIsSpreadByWork orders upstreams before any service time is known.
func TestColdServiceIsSpreadByWork(t *testing.T) {
	w := newWorld(Probe2, 1, hostsIn("a", 2)...)
	w.reply = func(u Upstream) Answer {
		load := Load{Capacity: 4}
		if u.ID == "a-0" {
			load.InFlight = 2
		}
		return Answer{Upstream: u, Answered: true, Load: load}
	}
	assert.Equal(t, w.choose(plain).Chosen.Answer.Upstream.ID, core.UpstreamID("a-1"))
	assert.Equal(t, w.choose(plain).Chosen.Answer.Upstream.ID, core.UpstreamID("a-1"))
}

// TestBurstIsSpreadByItsBacklog though a fair queue lets a newcomer in at once.
func TestBurstIsSpreadByItsBacklog(t *testing.T) {
	w := newWorld(Probe2, 1, append(hostsIn("a", 2), hostsIn("b", 2)...)...)
	queued := map[string]int{"a": 24, "b": 4}
	w.reply = func(u Upstream) Answer {
		load := idle()
		load.InFlight, load.Queued = 4, queued[u.Zone]
		if u.Zone == "a" {
			load.ServiceP50 = 50 * ms
		}
		return Answer{Upstream: u, Answered: true, Load: load}
	}
	q := Query{Service: "llm", Remaining: 300 * ms}
	d := w.choose(q)
	assert.Assert(t, d.OK, "a backlog alone refuses nobody")
	assert.Equal(t, d.Chosen.Answer.Upstream.Zone, "b")
	queued["b"] = 40
	assert.Assert(t, w.choose(q).OK, "a backlog alone refuses nobody")
}

// TestWaitOfANewcomerCountsMoreThanWhatIsServedBehindIt though the other
// upstream has less work in all.
func TestWaitOfANewcomerCountsMoreThanWhatIsServedBehindIt(t *testing.T) {
	w := newWorld(Probe2, 1, hostsIn("a", 2)...)
	w.reply = func(u Upstream) Answer {
		load := idle()
		load.InFlight, load.Queued = load.Capacity, 24
		if u.ID == "a-0" {
			load.Wait, load.Queued = 300*ms, 16
		}
		return Answer{Upstream: u, Answered: true, Load: load}
	}
	assert.Equal(t, w.choose(plain).Chosen.Answer.Upstream.ID, core.UpstreamID("a-1"))
}

// TestOwnChoicesCountBeforeTheSideReportsThem spreads choices made at one moment.
func TestOwnChoicesCountBeforeTheSideReportsThem(t *testing.T) {
	w := newWorld(Probe2, 1, hostsIn("a", 2)...)
	taken := make(map[core.UpstreamID]int)
	for i := range 16 {
		taken[w.choose(plain).Chosen.Answer.Upstream.ID]++
		if i%2 == 1 {
			assert.Equal(t, taken["a-0"], taken["a-1"])
		}
	}
	alone := newWorld(Probe2, 1, hostsIn("a", 1)...)
	for i := range 6 {
		waiting := time.Duration(max(0, i-idle().Capacity))
		assert.Equal(t, alone.choose(plain).Chosen.Wait, waiting*25*ms)
	}
}
