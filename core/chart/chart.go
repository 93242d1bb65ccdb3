// Package chart interprets the state charts of acaciawinch. A chart is a TOML
// file in charts/; it is embedded in the binary and loaded into a state-machine
// library. An event that a chart does not allow in the current state is never
// ignored: it causes an error whose step is the chart with the state, and whose peer is
// the subject of the machine.
package chart

import (
	"context"

	"github.com/qmuntal/stateless"

	"acaciawinch/core/fault"
)

// State names a state of a chart.
type State string

// Event names an event that causes a transition.
type Event string

// StateSpec describes one state.
type StateSpec struct {
	Name  State  `toml:"name"`
	Means string `toml:"means"`
	// Final marks a state without outgoing transitions.
	Final bool `toml:"final"`
}

// Transition describes one transition between states.
type Transition struct {
	From  State  `toml:"from"`
	Event Event  `toml:"event"`
	To    State  `toml:"to"`
	Means string `toml:"means"`
}

// Chart is one state chart. It is immutable and safe for concurrent use.
type Chart struct {
	Name        string       `toml:"name"`
	Means       string       `toml:"means"`
	Initial     State        `toml:"initial"`
	States      []StateSpec  `toml:"state"`
	Transitions []Transition `toml:"transition"`

	// shared is the library's machine, configured once for all Machines of the chart. It
	// gets the state of a Machine through the context of a call, so that a Machine stores
	// only the state's name, two machine words, and no library machine of its own.
	shared *stateless.StateMachine
	final  map[State]bool
}

// Machine is one instance of a chart, with its current state. It is not safe for
// concurrent use.
type Machine struct {
	chart *Chart
	peer  string
	state State
}

// Start returns a machine in the chart's initial state. The argument peer names the
// machine's subject, such as a request or an upstream, for errors.
func (c *Chart) Start(peer string) *Machine {
	return &Machine{chart: c, peer: peer, state: c.Initial}
}

// StartAt returns a machine in the given state. It panics if the chart has no such
// state, which is a bug in the calling code.
func (c *Chart) StartAt(state State, peer string) *Machine {
	if _, ok := c.final[state]; !ok {
		panic("chart " + c.Name + " has no state " + string(state))
	}
	return &Machine{chart: c, peer: peer, state: state}
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Final reports whether the current state is final.
func (m *Machine) Final() bool { return m.chart.final[m.state] }

// Fire applies an event. If the chart does not allow it in the current state, the
// state is unchanged and Fire returns an error of code Internal, with chart and
// state as its step and the event in its text.
func (m *Machine) Fire(event Event) error {
	ctx := context.WithValue(context.Background(), machineKey{}, m)
	return m.chart.shared.FireCtx(ctx, event)
}

// Allows reports whether the chart allows the event in the current state.
func (m *Machine) Allows(event Event) bool {
	ctx := context.WithValue(context.Background(), machineKey{}, m)
	allowed, err := m.chart.shared.CanFireCtx(ctx, event)
	return err == nil && allowed
}

// machineKey is the context key of the Machine to which an event is applied.
type machineKey struct{}

// machineFrom returns the machine stored in ctx.
func machineFrom(ctx context.Context) *Machine {
	return ctx.Value(machineKey{}).(*Machine)
}

// configure loads the chart into the state-machine library. Charts have neither
// guards nor actions, so an event is a plain lookup, and calls for different
// machines can't affect each other.
func (c *Chart) configure() {
	c.shared = stateless.NewStateMachineWithExternalStorage(loadState, storeState, stateless.FiringImmediate)
	c.shared.OnUnhandledTrigger(c.rejectEvent)
	c.final = make(map[State]bool, len(c.States))
	for _, state := range c.States {
		c.final[state.Name] = state.Final
		c.shared.Configure(state.Name)
	}
	for _, transition := range c.Transitions {
		from := c.shared.Configure(transition.From)
		if transition.From == transition.To {
			from.PermitReentry(transition.Event)
			continue
		}
		from.Permit(transition.Event, transition.To)
	}
}

// loadState returns the state of the machine in ctx to the library.
func loadState(ctx context.Context) (stateless.State, error) {
	return machineFrom(ctx).state, nil
}

// storeState sets the state of the machine in ctx for the library.
func storeState(ctx context.Context, state stateless.State) error {
	machineFrom(ctx).state = state.(State)
	return nil
}

// rejectEvent returns the error for an event that the chart does not allow.
func (c *Chart) rejectEvent(ctx context.Context, state stateless.State, event stateless.Trigger, _ []string) error {
	step := c.Name + "." + string(state.(State))
	return fault.New(fault.Internal, step, machineFrom(ctx).peer, "the chart does not allow event %q in this state", event)
}
