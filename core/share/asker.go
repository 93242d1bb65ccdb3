package share

import (
	"time"

	"acaciawinch/core"
)

// Times of an entry that asks.
const (
	// AskTimeout is how long an answer is waited for. It is above the round trip
	// between two regions.
	AskTimeout = 100 * time.Millisecond
	// suspectFor and maxSuspect are how long a silent home is not asked: the first
	// time, and at most.
	suspectFor = time.Second
	maxSuspect = 10 * time.Second
)

// maxSilences is how many homes that don't answer one request waits for.
const maxSilences = 2

// Asker is what an entry knows of the homes. It is for one goroutine at a time.
type Asker struct {
	suspects map[string]suspect
	// full is when a workspace may be asked for again, by workspace, unless a
	// request of it ends here before.
	full map[string]time.Time
	// alone counts the requests that run by the entry's own word, by workspace.
	alone map[string]int
	// incarnations are those under which homes answered last, by name.
	incarnations map[string]core.Incarnation
}

// suspect is a home that did not answer.
type suspect struct {
	until   time.Time
	silence int
}

// NewAsker returns an Asker that knows nothing.
func NewAsker() *Asker {
	return &Asker{
		suspects:     make(map[string]suspect),
		full:         make(map[string]time.Time),
		alone:        make(map[string]int),
		incarnations: make(map[string]core.Incarnation),
	}
}

// StepKind says what a Search does next.
type StepKind int

// The steps of a search.
const (
	// StepAsk: ask Step.Home.
	StepAsk StepKind = iota + 1
	// StepGranted: the request may run by a home's permit.
	StepGranted
	// StepAlone: the request may run by the entry's own word, as homes are silent.
	StepAlone
	// StepRefused: the workspace's bound is reached.
	StepRefused
	// StepRefusedAlone: homes are silent and the entry's own part is in use.
	StepRefusedAlone
)

// Step is the next step of a Search.
type Step struct {
	Kind StepKind
	// Home, Part and Bound say whom to ask for what, with StepAsk, and who granted
	// it, with StepGranted. With StepAlone, Part is where it should be counted.
	Home  Home
	Part  int
	Bound int
	// Deputy is set if Home is not the part's first home.
	Deputy bool
}

// Search looks for a permit for one request: one part after the other from a
// random one on, until one is granted or all are full.
type Search struct {
	asker     *Asker
	homes     *Homes
	workspace string
	bound     int
	first     int
	// tried counts the parts that were found full or without an answer.
	tried    int
	silences int
	// unheard counts the parts of which no home is asked or answers.
	unheard int
	// hold is the shortest that a home told.
	hold  time.Duration
	asked Step
}

// Begin starts the search of a request. Random chooses the first part.
func (a *Asker) Begin(now time.Time, homes *Homes, workspace string, bound int, random uint64) (*Search, Step) {
	s := &Search{asker: a, homes: homes, workspace: workspace, bound: bound, first: int(random % uint64(Parts(bound)))}
	if until, ok := a.full[workspace]; ok && now.Before(until) {
		return s, Step{Kind: StepRefused}
	}
	delete(a.full, workspace)
	return s, s.next(now)
}

// Answered takes the answer of the home that was asked last.
func (s *Search) Answered(now time.Time, answer Answer) Step {
	delete(s.asker.suspects, s.asked.Home.Name)
	if answer.Granted {
		step := s.asked
		step.Kind = StepGranted
		return step
	}
	if s.tried == 0 || answer.Hold < s.hold {
		s.hold = answer.Hold
	}
	s.tried++
	return s.next(now)
}

// Silent tells that the home that was asked last did not answer.
func (s *Search) Silent(now time.Time) Step {
	s.silences++
	s.asker.Silent(now, s.asked.Home.Name)
	return s.next(now)
}

// Silent notes that a home did not answer. It is not asked for a while, longer
// with each silence in a row.
func (a *Asker) Silent(now time.Time, home string) {
	known := a.suspects[home]
	wait := min(suspectFor<<min(known.silence, 4), maxSuspect)
	a.suspects[home] = suspect{until: now.Add(wait), silence: known.silence + 1}
}

// next returns whom to ask next, or the verdict.
func (s *Search) next(now time.Time) Step {
	for s.silences < maxSilences && s.tried < Parts(s.bound) {
		part := (s.first + s.tried) % Parts(s.bound)
		for i, home := range s.homes.Of(s.workspace, part) {
			if s.asker.mayAsk(now, home.Name) {
				s.asked = Step{Kind: StepAsk, Home: home, Part: part, Bound: PartBound(s.bound, part), Deputy: i > 0}
				return s.asked
			}
		}
		s.tried++
		s.unheard++
	}
	if s.unheard > 0 || s.silences >= maxSilences {
		return s.alone()
	}
	s.asker.full[s.workspace] = now.Add(s.hold)
	return Step{Kind: StepRefused}
}

// mayAsk tells whether a home may be asked. A suspect whose time is over is tried
// by one request first; the others go on without it until that one is answered.
func (a *Asker) mayAsk(now time.Time, home string) bool {
	known, ok := a.suspects[home]
	if !ok {
		return true
	}
	if now.Before(known.until) {
		return false
	}
	known.until = now.Add(AskTimeout)
	a.suspects[home] = known
	return true
}

// alone admits the request by the entry's own word, within an even part of the
// bound, and at least one.
func (s *Search) alone() Step {
	entries := max(s.homes.Len(), 1)
	if s.asker.alone[s.workspace] >= max((s.bound+entries-1)/entries, 1) {
		return Step{Kind: StepRefusedAlone}
	}
	s.asker.alone[s.workspace]++
	return Step{Kind: StepAlone, Part: s.first, Bound: PartBound(s.bound, s.first)}
}

// Ended notes the end of a request that ran; alone is set if it had StepAlone.
func (a *Asker) Ended(workspace string, alone bool) {
	delete(a.full, workspace)
	if !alone {
		return
	}
	a.alone[workspace]--
	if a.alone[workspace] <= 0 {
		delete(a.alone, workspace)
	}
}

// Suspects returns how many homes did not answer when last asked.
func (a *Asker) Suspects() int { return len(a.suspects) }
