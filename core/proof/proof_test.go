package proof

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// process is one process of the model. Its clock differs from the true time by offset;
// freezes and steps of the time of day leave it alone, as it counts suspensions.
type process struct {
	offset time.Duration
	// proved is the newest proof by its own clock, and made when that was made in truth.
	proved, made time.Duration
	knows        bool
}

// clock returns what the process's clock shows at a true time.
func (p *process) clock(now time.Duration) time.Duration { return now + p.offset }

// edge carries words from one process to another.
type edge struct {
	from, to *process
	source   Source
	follower Follower
	// words are on the way.
	words []carried
}

// carried is a word on the way: the true time of its proof stands beside it for the check.
type carried struct {
	Word
	made    time.Duration
	arrives time.Duration
}

// rule computes a follower's time from a word; the real one, or one that is broken on
// purpose.
type rule func(e *edge, w carried, now time.Duration) (time.Duration, bool)

// real is what the package does.
func real(e *edge, w carried, now time.Duration) (time.Duration, bool) {
	return e.follower.Proved(w.Word, e.to.clock(now))
}

// youngest plays random chains and returns by how much the most flattering proof was taken
// for younger than it is, in truth's time; below 0 or 0 if none was.
func youngest(seed uint64, apply rule) time.Duration {
	random := rand.New(rand.NewPCG(seed, 7))
	within := func(most time.Duration) time.Duration { return time.Duration(random.Int64N(int64(most))) }
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
			processes[0].proved, processes[0].knows = processes[0].clock(now), true
			now += within(100 * time.Millisecond)
		case 1: // a request, on its way for a while
			number := e.follower.Ask(e.to.clock(now))
			now += within(300 * time.Millisecond)
			e.source.Received(number, e.from.clock(now))
		case 2: // a freeze of all, suspended or not: true time passes
			now += within(6 * time.Second)
		case 3: // a word, written now, that arrives much later
			if e.from.knows && e.source.number > 0 {
				e.words = append(e.words, carried{e.source.Word(e.from.proved), e.from.made, now + within(5*time.Second)})
			}
		default:
			worst = max(worst, e.deliver(now, apply))
		}
	}
	return worst
}

// deliver hands the words that have arrived to their follower.
func (e *edge) deliver(now time.Duration, apply rule) time.Duration {
	worst := time.Duration(-1 << 62)
	var rest []carried
	for _, w := range e.words {
		if w.arrives > now {
			rest = append(rest, w)
			continue
		}
		at, known := apply(e, w, now)
		if !known {
			continue
		}
		worst = max(worst, at-e.to.clock(w.made))
		if !e.to.knows || at > e.to.proved {
			e.to.proved, e.to.made, e.to.knows = at, w.made, true
		}
	}
	e.words = rest
	return worst
}

func TestNoProofIsTakenForYoungerThanItIs(t *testing.T) {
	for seed := range uint64(500) {
		assert.Assert(t, youngest(seed, real) <= 0, "seed %d", seed)
	}
}

// TestTheModelFindsProofsThatAreTakenForYounger: rules that look right and are not, each of
// which the model above tells from the real one.
func TestTheModelFindsProofsThatAreTakenForYounger(t *testing.T) {
	broken := map[string]rule{
		"counted from the arrival of the word": func(e *edge, _ carried, now time.Duration) (time.Duration, bool) {
			return e.to.clock(now), true
		},
		"counted from the newest request": func(e *edge, w carried, _ time.Duration) (time.Duration, bool) {
			return e.follower.sent[e.follower.number%kept] + w.After, e.follower.number > 0
		},
		"the age at the source, from the arrival": func(e *edge, w carried, now time.Duration) (time.Duration, bool) {
			age := w.arrives - w.made - 50*time.Millisecond
			return e.to.clock(now) - min(age, 200*time.Millisecond), true
		},
	}
	for name, apply := range broken {
		found := false
		for seed := range uint64(50) {
			found = found || youngest(seed, apply) > 0
		}
		assert.Assert(t, found, name)
	}
}

func TestWordsThatCanNotBePlacedProveNothing(t *testing.T) {
	var f Follower
	_, known := f.Proved(Word{Number: 1}, time.Hour)
	assert.Assert(t, !known, "no request was sent")
	for range kept + 1 {
		f.Ask(time.Second)
	}
	_, known = f.Proved(Word{Number: 1}, time.Hour)
	assert.Assert(t, !known, "the request is forgotten")
	_, known = f.Proved(Word{Number: 2}, time.Hour)
	assert.Assert(t, known)
}

func TestAProofIsNeverInTheFuture(t *testing.T) {
	var f Follower
	number := f.Ask(10 * time.Second)
	at, known := f.Proved(Word{Number: number, After: time.Hour}, 11*time.Second)
	assert.Assert(t, known)
	assert.Equal(t, at, 11*time.Second)
}
