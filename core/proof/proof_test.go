package proof

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// process is one process of the model. Its clock differs from the true time by offset. Freezes and
// changes of the time of day do not affect it, as it also counts suspensions.
type process struct {
	offset time.Duration
	// proved is the time of the newest proof by the process's own clock, made its true time.
	proved, made time.Duration
	hasProof     bool
}

// clock returns the reading of the process's clock at a true time.
func (p *process) clock(now time.Duration) time.Duration { return now + p.offset }

// edge carries reports from one process to another.
type edge struct {
	from, to *process
	source   Source
	follower Follower
	// inFlight holds the reports that have not arrived yet.
	inFlight []report
}

// report is a report in flight. The true time of its proof is kept with it for the check.
type report struct {
	Report
	made    time.Duration
	arrives time.Duration
}

// rule computes a follower's time from a report: the package's own rule, or one that is wrong on
// purpose.
type rule func(e *edge, r report, now time.Duration) (time.Duration, bool)

// actualRule is the package's own rule.
func actualRule(e *edge, r report, now time.Duration) (time.Duration, bool) {
	return e.follower.Proved(r.Report, e.to.clock(now))
}

// maxUnderestimate runs a random chain and returns by how much the age of a proof was
// underestimated at most, in true time; 0 or below 0 if no age was.
func maxUnderestimate(seed uint64, apply rule) time.Duration {
	random := rand.New(rand.NewPCG(seed, 7))
	within := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	processes := make([]*process, 4)
	for i := range processes {
		processes[i] = &process{offset: within(1000 * time.Hour)}
	}
	var edges []*edge
	for i := range len(processes) - 1 {
		edges = append(edges, &edge{from: processes[i], to: processes[i+1]})
	}
	worst := time.Duration(-1 << 62)
	now := time.Duration(0)
	for range 400 {
		now += within(400 * time.Millisecond)
		switch e := edges[random.IntN(len(edges))]; random.IntN(5) {
		case 0: // the store proves something to the first process, which reads it later
			processes[0].made = now
			processes[0].proved, processes[0].hasProof = processes[0].clock(now), true
			now += within(100 * time.Millisecond)
		case 1: // a request arrives after a delay
			number := e.follower.NextRequest(e.to.clock(now))
			now += within(300 * time.Millisecond)
			e.source.Received(number, e.from.clock(now))
		case 2: // all processes freeze, suspended or not, while true time passes
			now += within(6 * time.Second)
		case 3: // a report is written now and arrives much later
			if e.from.hasProof && e.source.number > 0 {
				e.inFlight = append(e.inFlight, report{e.source.Report(e.from.proved), e.from.made, now + within(5*time.Second)})
			}
		default:
			worst = max(worst, e.deliver(now, apply))
		}
	}
	return worst
}

// deliver hands the reports that have arrived to their follower.
func (e *edge) deliver(now time.Duration, apply rule) time.Duration {
	worst := time.Duration(-1 << 62)
	var remaining []report
	for _, r := range e.inFlight {
		if r.arrives > now {
			remaining = append(remaining, r)
			continue
		}
		at, known := apply(e, r, now)
		if !known {
			continue
		}
		worst = max(worst, at-e.to.clock(r.made))
		if !e.to.hasProof || at > e.to.proved {
			e.to.proved, e.to.made, e.to.hasProof = at, r.made, true
		}
	}
	e.inFlight = remaining
	return worst
}

func TestTheAgeOfAProofIsNeverUnderestimated(t *testing.T) {
	for seed := range uint64(500) {
		assert.Assert(t, maxUnderestimate(seed, actualRule) <= 0, "seed %d", seed)
	}
}

// TestTheModelDetectsUnderestimatedAges: the model detects each of these rules, which look right
// and underestimate the age of a proof.
func TestTheModelDetectsUnderestimatedAges(t *testing.T) {
	wrongRules := map[string]rule{
		"counted from the arrival of the report": func(e *edge, _ report, now time.Duration) (time.Duration, bool) {
			return e.to.clock(now), true
		},
		"counted from the newest request": func(e *edge, r report, _ time.Duration) (time.Duration, bool) {
			return e.follower.sent[e.follower.number%maxRequests] + r.After, e.follower.number > 0
		},
		"the age at the source, from the arrival": func(e *edge, r report, now time.Duration) (time.Duration, bool) {
			age := r.arrives - r.made - 50*time.Millisecond
			return e.to.clock(now) - min(age, 200*time.Millisecond), true
		},
	}
	for name, apply := range wrongRules {
		found := false
		for seed := range uint64(50) {
			found = found || maxUnderestimate(seed, apply) > 0
		}
		assert.Assert(t, found, name)
	}
}

func TestReportsOfUnknownRequestsProveNothing(t *testing.T) {
	var f Follower
	_, known := f.Proved(Report{Number: 1}, time.Hour)
	assert.Assert(t, !known, "no request was sent")
	for range maxRequests + 1 {
		f.NextRequest(time.Second)
	}
	_, known = f.Proved(Report{Number: 1}, time.Hour)
	assert.Assert(t, !known, "the request is no longer remembered")
	_, known = f.Proved(Report{Number: 2}, time.Hour)
	assert.Assert(t, known)
}

func TestAProofIsNeverInTheFuture(t *testing.T) {
	var f Follower
	number := f.NextRequest(10 * time.Second)
	at, known := f.Proved(Report{Number: number, After: time.Hour}, 11*time.Second)
	assert.Assert(t, known)
	assert.Equal(t, at, 11*time.Second)
}
