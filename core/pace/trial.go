package pace

import (
	"time"

	"acaciawinch/core/rendezvous"
)

const (
	// trialAfter is how long after its last observation an excluded engine is tried again by a request that meets its
	// limits there if the machine has its usual speed.
	trialAfter = 6 * time.Second
	// anyTrialAfter is the same for other requests. It is shorter than the time in which the observations of one trial
	// fade, after which several requests would go there at once.
	anyTrialAfter = 10 * time.Second
	// trialSpread is the mean time between the trials of two processes. The others know of a trial some two seconds
	// after it began.
	trialSpread = 3 * time.Second
	// excludedTime is how long an engine counts as excluded after the last request for which it was.
	excludedTime = 5 * time.Second
)

// stagger gives each process its own delay of trials.
type stagger struct {
	name    string
	members int
}

// delay returns the time by which this process's trials of an engine are later than trialAfter.
func (s stagger) delay(engine Engine) time.Duration {
	spread := uint64(s.members) * uint64(trialSpread)
	return time.Duration(rendezvous.Score(rendezvous.Hash(s.name), rendezvous.Hash(engine.ID)) % spread)
}

// SetMembers sets the number of processes that try engines again.
func (t *Table) SetMembers(count int) { t.stagger.members = max(1, count) }

// Limits are what a request needs of the engine that runs it.
type Limits struct {
	// FirstEvent is the time that is left until the first event is late, Pause the longest time allowed between
	// two events; 0 if there is no limit.
	FirstEvent, Pause time.Duration
	// Tokens is the number of tokens of the prompt.
	Tokens int
}

// Exceeds reports whether an engine is clearly slower than others and is expected to exceed a limit for that
// reason.
func (t *Table) Exceeds(engine Engine, limits Limits, now time.Time) bool {
	slowPause, slowFirst := t.Slower(engine, now)
	if !slowPause && !slowFirst {
		return false
	}
	firstEvent, pause, _ := t.Expected(engine, limits.Tokens, now)
	return slowPause && limits.Pause > 0 && pause > limits.Pause || slowFirst && limits.FirstEvent > 0 && firstEvent > limits.FirstEvent
}

// Meets reports whether an engine is expected to meet all limits.
func (t *Table) Meets(engine Engine, limits Limits, now time.Time) bool {
	firstEvent, pause, _ := t.Expected(engine, limits.Tokens, now)
	return limits.within(firstEvent, pause)
}

// within reports whether times are within the limits.
func (l Limits) within(firstEvent, pause time.Duration) bool {
	return (l.Pause == 0 || pause <= l.Pause) && (l.FirstEvent == 0 || firstEvent <= l.FirstEvent)
}

// Excluded records that an engine is excluded for a request.
func (t *Table) Excluded(engine Engine, now time.Time) { t.stateOf(engine).excludedAt = now }

// TrialDue reports whether a request should go to an excluded engine to measure it again. Requests that meet their
// limits there if the machine has its usual speed go first.
func (t *Table) TrialDue(engine Engine, limits Limits, now time.Time) bool {
	s := t.engines[engine]
	if s == nil {
		return false
	}
	wait := trialAfter
	if firstEvent, pause, _ := t.expected(engine, limits.Tokens, now, 1); !limits.within(firstEvent, pause) {
		wait = anyTrialAfter
	}
	wait += t.stagger.delay(engine)
	return now.Sub(s.observedAt) >= wait && now.Sub(s.triedAt) >= wait
}

// Tried records that a request was sent to an excluded engine.
func (t *Table) Tried(engine Engine, now time.Time) { t.stateOf(engine).triedAt = now }

// Change is the start or end of the exclusion of an engine.
type Change struct {
	Engine   Engine
	Excluded bool
	// Gap is the engine's pace, UsualGap the median of the service, Ratio that of its times to the first event to
	// the usual ones.
	Gap, UsualGap time.Duration
	Ratio         float64
	// Age is the age of the newest observation.
	Age time.Duration
}

// Changes returns the engines whose exclusion began or ended since the last call. An exclusion ends once no
// request was kept away for excludedTime, so that there are few changes.
func (t *Table) Changes(now time.Time) []Change {
	var changes []Change
	for engine, s := range t.engines {
		excluded := !s.excludedAt.IsZero() && now.Sub(s.excludedAt) < excludedTime
		if excluded == s.logged {
			continue
		}
		s.logged = excluded
		change := Change{Engine: engine, Excluded: excluded, UsualGap: seconds(t.summary(now).usualGap), Age: now.Sub(s.observedAt)}
		if gap, known := s.pace(now); known {
			change.Gap = seconds(gap)
		}
		change.Ratio, _ = s.ratio(now)
		changes = append(changes, change)
	}
	return changes
}

// CountExcluded returns the number of engines that count as excluded since the last call of Changes.
func (t *Table) CountExcluded() int {
	count := 0
	for _, s := range t.engines {
		if s.logged {
			count++
		}
	}
	return count
}
