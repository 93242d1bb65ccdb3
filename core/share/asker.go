package share

import (
	"time"

	"acaciawinch/core"
)

// Times of an entry that asks.
const (
	// AskTimeout is how long an answer is waited for. It is above the four round trips
	// that a call to another region takes on a new connection.
	AskTimeout = 300 * time.Millisecond
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
	// regions are those of which one home after the other did not answer.
	regions map[string]regionSuspect
	// full is when a workspace may be asked for again, by workspace, unless a
	// request of it ends here before.
	full map[string]time.Time
	// alone counts the requests that run by the entry's own word, by workspace.
	alone map[string]int
	// incarnations are those under which homes answered last, by name.
	incarnations map[string]core.Incarnation
}

// suspect is a home, or a region, that did not answer.
type suspect struct {
	until   time.Time
	silence int
}

// regionSuspect is a region that may be cut off. It is left alone once two of its
// homes did not answer, with no answer of another one between.
type regionSuspect struct {
	suspect
	// last is the home that was silent last.
	last string
	cut  bool
}

// NewAsker returns an Asker that knows nothing.
func NewAsker() *Asker {
	return &Asker{
		suspects:     make(map[string]suspect),
		regions:      make(map[string]regionSuspect),
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
	// order are the parts as they are asked; tried counts those that were found full
	// or without an answer.
	order    []int
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
	s := &Search{asker: a, homes: homes, workspace: workspace, bound: bound, order: homes.order(workspace, bound, random)}
	if until, ok := a.full[workspace]; ok && now.Before(until) {
		return s, Step{Kind: StepRefused}
	}
	delete(a.full, workspace)
	return s, s.next(now)
}

// Answered takes the answer of the home that was asked last.
func (s *Search) Answered(now time.Time, answer Answer) Step {
	delete(s.asker.suspects, s.asked.Home.Name)
	delete(s.asker.regions, s.asked.Home.Region)
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
	s.asker.Silent(now, s.homes, s.asked.Home)
	return s.next(now)
}

// Silent notes that a home did not answer. It is not asked for a while, longer
// with each silence in a row; nor is its region, if another home of it was silent
// before and it is not the own one.
func (a *Asker) Silent(now time.Time, homes *Homes, home Home) {
	a.suspects[home.Name] = a.suspects[home.Name].again(now)
	if home.Region == homes.own {
		return
	}
	region, known := a.regions[home.Region]
	if known && region.last != home.Name || region.cut {
		region.suspect = region.again(now)
		region.cut = true
	}
	region.last = home.Name
	a.regions[home.Region] = region
}

// again returns the suspect after a further silence.
func (s suspect) again(now time.Time) suspect {
	wait := min(suspectFor<<min(s.silence, 4), maxSuspect)
	return suspect{until: now.Add(wait), silence: s.silence + 1}
}

// next returns whom to ask next, or the verdict.
func (s *Search) next(now time.Time) Step {
	for s.silences < maxSilences && s.tried < len(s.order) {
		part := s.order[s.tried]
		for i, home := range s.homes.Of(s.workspace, part) {
			if s.asker.mayAsk(now, home) {
				s.asked = Step{Kind: StepAsk, Home: home, Part: part, Bound: s.homes.PartBound(s.bound, part), Deputy: i > 0}
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
func (a *Asker) mayAsk(now time.Time, home Home) bool {
	if !a.present(now, home) {
		return false
	}
	if known, ok := a.suspects[home.Name]; ok {
		known.until = now.Add(AskTimeout)
		a.suspects[home.Name] = known
	}
	if known, ok := a.regions[home.Region]; ok && known.cut {
		known.until = now.Add(AskTimeout)
		a.regions[home.Region] = known
	}
	return true
}

// present tells whether neither a home nor its region is left alone for its
// silence.
func (a *Asker) present(now time.Time, home Home) bool {
	return !now.Before(a.suspects[home.Name].until) && !now.Before(a.regions[home.Region].until)
}

// alone admits the request by the entry's own word, within an even part of the
// bound, and at least one.
func (s *Search) alone() Step {
	entries := max(s.homes.Len(), 1)
	if s.asker.alone[s.workspace] >= max((s.bound+entries-1)/entries, 1) {
		return Step{Kind: StepRefusedAlone}
	}
	s.asker.alone[s.workspace]++
	return Step{Kind: StepAlone, Part: s.order[0], Bound: s.homes.PartBound(s.bound, s.order[0])}
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
