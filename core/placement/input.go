package placement

import (
	"slices"

	"acaciawinch/core"
	"acaciawinch/core/config"
)

// Engine is a proposer's view of one model engine that takes part in placement, that is,
// to which models may be assigned.
type Engine struct {
	Upstream core.UpstreamID
	Service  string
	Zone     string
	// Loaded lists the model versions on the engine, as last reported by its sidecar.
	Loaded []ModelVersion
	// Known is set if the sidecar responded. An engine that is not known gets no new
	// assignments but keeps those that it has.
	Known bool
}

// Input is everything from which a plan is derived.
type Input struct {
	// Revision is the revision of the configuration that Models are from.
	Revision core.Revision
	Models   []config.Model
	// Engines are the engines that are neither leaving, drained nor unresponsive for
	// too long.
	Engines []Engine
	// Current is the current plan; the zero Plan if there is none.
	Current Plan
	// Stuck lists the assignments whose loads timed out; they are placed on other engines.
	Stuck []Assignment
	Rules Rules
	// Proposer is the name of the planning process.
	Proposer string
}

// Rules are limits configured by operators.
type Rules struct {
	// MaxLoads limits the concurrent loads from the weight store over the whole fleet.
	MaxLoads int
	// ModelsPerEngine limits the model versions on one engine.
	ModelsPerEngine int
}

// Action is the kind of a Decision.
type Action string

// The actions.
const (
	// ActionLoad: the engine is to load the model version.
	ActionLoad Action = "load"
	// ActionAssign: the engine has the model version loaded already and is to keep it.
	ActionAssign Action = "assign"
	// ActionDrop: the engine may unload the model version.
	ActionDrop Action = "drop"
	// ActionDefer: the load is deferred to a later wave.
	ActionDefer Action = "defer"
	// ActionShort: no engine has capacity for a wanted replica.
	ActionShort Action = "short"
)

// Decision is one change of the plan and its reason, for the log.
type Decision struct {
	Action     Action
	Assignment Assignment
	Reason     string
	// Alternatives are the other candidate engines, best first.
	Alternatives []core.UpstreamID
}

// fleet indexes the engines of an input.
type fleet struct {
	input   Input
	engines map[core.UpstreamID]Engine
	// assigned counts the assignments of each engine in the new plan.
	assigned map[core.UpstreamID]int
}

// newFleet returns a fleet without assignments for an input.
func newFleet(in Input) *fleet {
	f := &fleet{input: in, engines: make(map[core.UpstreamID]Engine), assigned: make(map[core.UpstreamID]int)}
	for _, engine := range in.Engines {
		f.engines[engine.Upstream] = engine
	}
	return f
}

// loaded reports whether the engine of an assignment is known to have the model version
// loaded.
func (f *fleet) loaded(a Assignment) bool {
	engine, ok := f.engines[a.Upstream]
	return ok && slices.Contains(engine.Loaded, a.Assigned())
}

// stuck reports whether the load of an assignment timed out.
func (f *fleet) stuck(a Assignment) bool { return slices.Contains(f.input.Stuck, a) }

// full reports whether an engine is at its limit of assignments.
func (f *fleet) full(upstream core.UpstreamID) bool {
	return f.assigned[upstream] >= f.input.Rules.ModelsPerEngine
}

// zoneOf returns the zone of an assignment's engine.
func (f *fleet) zoneOf(a Assignment) string { return f.engines[a.Upstream].Zone }
