package placement

import (
	"slices"

	"acaciawinch/core"
	"acaciawinch/core/config"
)

// Engine is what a proposer knows of one model engine that takes part.
type Engine struct {
	Upstream core.UpstreamID
	Service  string
	Zone     string
	// Loaded is what the engine holds, by its side's answer.
	Loaded []ModelVersion
	// Known is set if the side answered. Nothing new is loaded on an engine that
	// is not known, but what it is assigned stays.
	Known bool
}

// Input is all that a plan follows from.
type Input struct {
	// Revision is the configuration's, from which Models come.
	Revision core.Revision
	Models   []config.Model
	// Engines are those that are neither leaving, drained nor given up.
	Engines []Engine
	// Present is the plan in force; the zero Plan if there is none.
	Present Plan
	// Stuck are assignments whose loads took too long; they are placed elsewhere.
	Stuck []Assignment
	Rules Rules
	// Proposer is the name of the process that plans.
	Proposer string
}

// Rules are the operators' bounds.
type Rules struct {
	// MaxLoads bounds the loads from the weight store at once over the fleet.
	MaxLoads int
	// ModelsPerEngine bounds what one engine holds.
	ModelsPerEngine int
}

// Action says what becomes of one assignment.
type Action string

// The actions.
const (
	// ActionLoad: the engine is told to load the model version.
	ActionLoad Action = "load"
	// ActionAssign: the engine holds the model version already and is told to keep it.
	ActionAssign Action = "assign"
	// ActionDrop: the engine no longer has to hold it.
	ActionDrop Action = "drop"
	// ActionDefer: the load waits for a later wave.
	ActionDefer Action = "defer"
	// ActionShort: no engine can hold a replica that is wanted.
	ActionShort Action = "short"
)

// Decision is one change, for the log.
type Decision struct {
	Action     Action
	Assignment Assignment
	Reason     string
	// Alternatives are the other engines that were weighed, the best first.
	Alternatives []core.UpstreamID
}

// fleet indexes the engines of an input.
type fleet struct {
	input   Input
	engines map[core.UpstreamID]Engine
	// held counts the assignments of each engine in the plan being made.
	held map[core.UpstreamID]int
}

// newFleet returns the index of an input.
func newFleet(in Input) *fleet {
	f := &fleet{input: in, engines: make(map[core.UpstreamID]Engine), held: make(map[core.UpstreamID]int)}
	for _, engine := range in.Engines {
		f.engines[engine.Upstream] = engine
	}
	return f
}

// loaded tells whether the engine of an assignment is known to hold it.
func (f *fleet) loaded(a Assignment) bool {
	engine, ok := f.engines[a.Upstream]
	return ok && slices.Contains(engine.Loaded, a.Holds())
}

// stuck tells whether a load was given up.
func (f *fleet) stuck(a Assignment) bool { return slices.Contains(f.input.Stuck, a) }

// full tells whether an engine can take no more.
func (f *fleet) full(upstream core.UpstreamID) bool {
	return f.held[upstream] >= f.input.Rules.ModelsPerEngine
}

// zoneOf returns an engine's zone.
func (f *fleet) zoneOf(a Assignment) string { return f.engines[a.Upstream].Zone }
