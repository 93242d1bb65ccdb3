package streamversion

import (
	"maps"
	"slices"
	"time"
)

const (
	// MaxStreamTime bounds the time from the begin of a stream until a client may last take it up.
	MaxStreamTime = 10 * time.Minute
	// MaxStateAge is the age of the last word of the store up to which a State may be used.
	MaxStateAge = 30 * time.Second
	// SettleTime is how long a single version must have been listed before a gateway writes that the register is
	// settling, and how long that must stand before it settles. The remainder over MaxStreamTime and
	// MaxStateAge is for clocks that differ in speed.
	SettleTime = 12 * time.Minute
)

// Register is what the store holds of the versions of one service. The zero value is a mixed register.
type Register struct {
	// Settled is set if all streams that may go on have begun at Version.
	Settled bool
	// Settling is set if the register is still mixed, and settles at Version unless a gateway lists another version.
	Settling bool
	Version  string
}

// phase is what a gateway knows of a register.
type phase int

const (
	unknown phase = iota
	settled
	mixed
)

// State is what one gateway knows of the versions of one service. It is a pure state machine: the caller reads
// and writes the register as NeedsSync and Desired say, and reports the outcome by Learned. Times are of a
// clock that never steps. It is not safe for concurrent use.
type State struct {
	phase   phase
	version string
	// cleared holds the versions at which streams may begin while the register is mixed. One that is no longer
	// listed must be cleared again.
	cleared map[string]bool
	// lastListed holds when each version was last listed; versions are those listed now.
	lastListed map[string]time.Duration
	versions   []string
	// firstListed is when versions were first listed, or were listed again after a time without the store.
	firstListed time.Duration
	// confirmed is when the store last responded to this gateway; heard is set once it has.
	confirmed time.Duration
	heard     bool
	// settlingRevision is the revision of the register if it was last found settling, 0 if not; settlingSince is when
	// that was first found.
	settlingRevision int64
	settlingSince    time.Duration
}

// NewState returns a State that knows nothing.
func NewState() *State {
	return &State{cleared: make(map[string]bool), lastListed: make(map[string]time.Duration)}
}

// Listed takes the distinct versions of the upstreams that discovery lists, also of those that leave.
func (s *State) Listed(now time.Duration, versions []string) {
	if len(s.lastListed) == 0 {
		s.firstListed = now
	}
	s.Tick(now)
	s.versions = versions
	maps.DeleteFunc(s.cleared, func(version string, _ bool) bool { return !slices.Contains(versions, version) })
	for _, version := range versions {
		s.lastListed[version] = now
	}
}

// Tick forgets versions that were last listed SettleTime ago.
func (s *State) Tick(now time.Duration) {
	for _, version := range s.versions {
		s.lastListed[version] = now
	}
	for version, last := range s.lastListed {
		if now-last >= SettleTime {
			delete(s.lastListed, version)
		}
	}
}

// Confirmed takes the time of the store's last word to this gateway. A State that was without one for longer than
// MaxStateAge knows nothing: meanwhile the register may have settled at another version, and other versions may have
// been listed.
func (s *State) Confirmed(at time.Duration) {
	if s.heard && at-s.confirmed > MaxStateAge {
		s.phase, s.version, s.firstListed, s.settlingRevision = unknown, "", at, 0
		clear(s.cleared)
	}
	s.confirmed, s.heard = max(s.confirmed, at), true
}

// Versions returns the versions that are listed now.
func (s *State) Versions() []string { return s.versions }

// Known reports whether the register was read or learned from another gateway.
func (s *State) Known() bool { return s.phase != unknown }

// Settled returns the settled version, and false if the register is mixed or not known.
func (s *State) Settled() (string, bool) { return s.version, s.phase == settled }

// Mixed reports whether the register is mixed.
func (s *State) Mixed() bool { return s.phase == mixed }

// MayBegin reports whether a stream may begin at a version.
func (s *State) MayBegin(version string) bool {
	switch s.phase {
	case settled:
		return version == s.version
	case mixed:
		return s.cleared[version]
	default:
		return false
	}
}

// Usable returns the versions at which streams may begin; it is never nil.
func (s *State) Usable() []string {
	if s.phase == settled {
		return []string{s.version}
	}
	usable := make([]string, 0, len(s.cleared))
	for version, cleared := range s.cleared {
		if cleared {
			usable = append(usable, version)
		}
	}
	slices.Sort(usable)
	return usable
}

// NeedsSync reports whether the register must be read, and written if Desired says so.
func (s *State) NeedsSync(now time.Duration) bool {
	switch s.phase {
	case settled:
		return slices.ContainsFunc(s.versions, func(version string) bool { return version != s.version })
	case mixed:
		return s.maySettle(now) && (s.settlingRevision == 0 || s.hasSettled(now)) || slices.ContainsFunc(s.versions, func(version string) bool { return !s.cleared[version] })
	default:
		return len(s.versions) > 0
	}
}

// Desired returns what the register must become, given its present content and revision; the revision is 0 if the
// store has none. The second result is false if the register may stay as it is. A register is made mixed as soon as another
// version than the settled one is listed.
func (s *State) Desired(now time.Duration, current Register, revision int64) (Register, bool) {
	single := len(s.lastListed) == 1
	switch {
	case len(s.lastListed) == 0:
		return current, false
	case revision == 0:
		return Register{Settled: single, Version: s.single()}, true
	case current.Settled && (!single || s.single() != current.Version):
		return Register{}, true
	case current.Settling && (!single || s.single() != current.Version):
		return Register{}, true
	case current.Settled || !s.maySettle(now):
		return current, false
	case !current.Settling:
		return Register{Settling: true, Version: s.single()}, true
	case revision == s.settlingRevision && s.hasSettled(now):
		return Register{Settled: true, Version: current.Version}, true
	default:
		return current, false
	}
}

// maySettle reports whether a single version was listed for SettleTime.
func (s *State) maySettle(now time.Duration) bool {
	return len(s.lastListed) == 1 && now-s.firstListed >= SettleTime
}

// hasSettled reports whether the register was found settling, and not changed since, for SettleTime.
func (s *State) hasSettled(now time.Duration) bool {
	return s.settlingRevision != 0 && now-s.settlingSince >= SettleTime
}

// single returns the version if only one was listed within SettleTime, else an empty string.
func (s *State) single() string {
	if len(s.lastListed) != 1 {
		return ""
	}
	for version := range s.lastListed {
		return version
	}
	return ""
}

// Learned takes the content and revision of the register after a read, or after the write that Desired asked for. Listed
// holds the versions that were listed before the read was sent. It reports whether the register has become mixed:
// the records of this gateway's streams must then be copied.
func (s *State) Learned(now time.Duration, r Register, revision int64, listed []string) bool {
	before := s.phase
	switch {
	case !r.Settling:
		s.settlingRevision = 0
	case revision != s.settlingRevision:
		s.settlingRevision, s.settlingSince = revision, now
	}
	if r.Settled {
		s.phase, s.version = settled, r.Version
		clear(s.cleared)
		return false
	}
	s.phase, s.version = mixed, ""
	for _, version := range listed {
		if slices.Contains(s.versions, version) {
			s.cleared[version] = true
		}
	}
	return before != mixed
}

// Adopt takes what another gateway knows while the store does not respond. Usable is the other's Usable.
func (s *State) Adopt(isSettled bool, usable []string) {
	if s.phase != unknown || len(usable) == 0 {
		return
	}
	if isSettled {
		s.phase, s.version = settled, usable[0]
		return
	}
	s.phase = mixed
	for _, version := range usable {
		s.cleared[version] = slices.Contains(s.versions, version)
	}
}
