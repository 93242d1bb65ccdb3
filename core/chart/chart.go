// Package chart interprets the state charts of acaciawinch. A chart is a TOML
// file in charts/; it is embedded in the binary and loaded into a state-machine
// library. An event that a chart does not allow in the present state is an error
// with step and peer, never ignored.
package chart

import (
	"context"

	"github.com/qmuntal/stateless"

	"acaciawinch/core/fault"
)

// State names a state of a chart.
type State string

// Event names what moves a machine from one state to another.
type Event string

// StateSpec describes one state.
type StateSpec struct {
	Name  State  `toml:"name"`
	Means string `toml:"means"`
	// Final marks a state that nothing leaves.
	Final bool `toml:"final"`
}

// Transition describes one move.
type Transition struct {
	From  State  `toml:"from"`
	Event Event  `toml:"event"`
	To    State  `toml:"to"`
	Means string `toml:"means"`
}

// Chart is one state chart. It does not change, and may be used by many
// goroutines.
type Chart struct {
	Name        string       `toml:"name"`
	Means       string       `toml:"means"`
	Initial     State        `toml:"initial"`
	States      []StateSpec  `toml:"state"`
	Transitions []Transition `toml:"transition"`

	// shared is configured once. The state of each Machine is outside it and
	// reaches it by the context of a call, so that a Machine costs two words.
	shared *stateless.StateMachine
	final  map[State]bool
}

// Machine is one thing that goes through a chart. It is for one goroutine at a
// time.
type Machine struct {
	chart *Chart
	peer  string
	state State
}

// Start returns a machine in the chart's initial state. Peer names what the
// machine is about or talks to, for errors.
func (c *Chart) Start(peer string) *Machine {
	return &Machine{chart: c, peer: peer, state: c.Initial}
}

// StartAt returns a machine in a given state. It panics if the chart has no such
// state, which is a mistake in the calling code.
func (c *Chart) StartAt(state State, peer string) *Machine {
	if _, ok := c.final[state]; !ok {
		panic("chart " + c.Name + " has no state " + string(state))
	}
	return &Machine{chart: c, peer: peer, state: state}
}

// State returns the present state.
func (m *Machine) State() State { return m.state }

// Final tells whether nothing leaves the present state.
func (m *Machine) Final() bool { return m.chart.final[m.state] }

// Fire takes an event. If the chart does not allow it in the present state, the
// state stays and the error, of code Internal, names chart, state and event as
// its step.
func (m *Machine) Fire(event Event) error {
	ctx := context.WithValue(context.Background(), machineKey{}, m)
	return m.chart.shared.FireCtx(ctx, event)
}

// Allows tells whether the event may be fired in the present state.
func (m *Machine) Allows(event Event) bool {
	ctx := context.WithValue(context.Background(), machineKey{}, m)
	allowed, err := m.chart.shared.CanFireCtx(ctx, event)
	return err == nil && allowed
}

// machineKey is the context key of the machine that an event is fired at.
type machineKey struct{}

// machineOf returns the machine that an event is fired at.
func machineOf(ctx context.Context) *Machine {
	return ctx.Value(machineKey{}).(*Machine)
}

// configure loads the chart into the state-machine library. Charts have neither
// guards nor actions, so an event is a plain look-up, and calls of different
// machines can't disturb each other.
func (c *Chart) configure() {
	c.shared = stateless.NewStateMachineWithExternalStorage(loadState, storeState, stateless.FiringImmediate)
	c.shared.OnUnhandledTrigger(c.refuse)
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

// loadState reads the state of the machine in ctx for the library.
func loadState(ctx context.Context) (stateless.State, error) {
	return machineOf(ctx).state, nil
}

// storeState writes the state of the machine in ctx for the library.
func storeState(ctx context.Context, state stateless.State) error {
	machineOf(ctx).state = state.(State)
	return nil
}

// refuse is the answer to an event that the chart does not allow.
func (c *Chart) refuse(ctx context.Context, state stateless.State, event stateless.Trigger, _ []string) error {
	step := c.Name + "." + string(state.(State))
	return fault.New(fault.Internal, step, machineOf(ctx).peer, "the chart does not allow event %q here", event)
}
