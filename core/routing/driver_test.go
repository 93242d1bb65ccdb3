package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/fleet"
	"acaciawinch/core/latency"
	"acaciawinch/core/placement"
)

const ms = time.Millisecond

// epoch is when the tests' time begins.
var epoch = time.Unix(1000, 0)

// world is one entry's routing before upstreams that a test controls.
type world struct {
	picker *Picker
	table  *Table
	policy Policy
	random *rand.Rand
	now    time.Time
	usual  latency.Estimate
	// reply returns what an upstream answers now; not answered means silence.
	reply func(Upstream) Answer
	// asked lists all upstreams that were probed.
	asked []core.UpstreamID
}

// newWorld returns a world in zone a of region r.
func newWorld(policy string, seed uint64, hosts ...fleet.Host) *world {
	chosen, err := NewPolicy(policy)
	if err != nil {
		panic(err)
	}
	w := &world{
		table:  NewTable(),
		policy: chosen,
		random: rand.New(rand.NewPCG(seed, seed)),
		now:    epoch,
		reply:  func(u Upstream) Answer { return Answer{Upstream: u, Answered: true, Load: idle()} },
	}
	w.picker = NewPicker(sourceOf(hosts...))
	return w
}

// sourceOf returns a source without drains and placement.
func sourceOf(hosts ...fleet.Host) Source {
	return Source{Zone: "a", Region: "r", Hosts: hosts, Drained: func(string) bool { return false }}
}

// assign gives the engines with the names a model to hold.
func assign(source Source, model Model, names ...string) Source {
	for _, name := range names {
		source.Assignments = append(source.Assignments, placement.Assignment{
			Upstream: core.UpstreamID(name), Model: model.Name, Version: model.Version,
		})
	}
	return source
}

// idle returns the load of an upstream without work.
func idle() Load {
	times := latency.Estimate{ServiceP50: 100 * ms, ServiceP95: 150 * ms, FirstP50: 20 * ms}
	return Load{Capacity: 4, Estimate: times}
}

// hostsIn returns upstreams of the service "llm" in a zone of region r.
func hostsIn(zone string, count int) []fleet.Host {
	hosts := make([]fleet.Host, count)
	for i := range hosts {
		name := fmt.Sprintf("%s-%d", zone, i)
		hosts[i] = fleet.Host{Name: name, Role: fleet.RoleUpstream, Service: "llm", Zone: zone, Region: "r", Addr: name}
	}
	return hosts
}

// choose takes one decision as the entry does.
func (w *world) choose(q Query) Decision {
	var answers []Answer
	var decision Decision
	for number := 0; ; number++ {
		ask := w.policy.Ask(w.round(q, number, answers))
		if number > 0 && len(ask.Upstreams) == 0 {
			break
		}
		for _, u := range ask.Background {
			w.probe(u)
		}
		for _, u := range ask.Upstreams {
			answers = append(answers, w.answer(u, ask))
		}
		decision = w.policy.Decide(w.round(q, number, answers))
		if !decision.Widen {
			break
		}
	}
	if decision.OK {
		w.table.Chosen(decision.Chosen.Answer.Upstream.ID, w.now)
	}
	return decision
}

// answer returns a remembered answer if ask allows it, else that of a probe.
func (w *world) answer(u Upstream, ask Ask) Answer {
	if known, ok := w.table.Remembered(u.ID, w.now, ask.Age, ask.Uses); ok {
		return known
	}
	return w.probe(u)
}

// probe asks u and keeps what came of it.
func (w *world) probe(u Upstream) Answer {
	w.asked = append(w.asked, u.ID)
	answer := w.reply(u)
	answer.SentAt = w.now
	if answer.Answered {
		w.table.Answered(answer, w.now)
	} else {
		w.table.Silent(u.ID, SilentProbe, w.now, w.random)
	}
	return answer
}

// round returns what the policy reads.
func (w *world) round(q Query, number int, answers []Answer) *Round {
	return &Round{
		Query: q, Picker: w.picker, Table: w.table, Random: w.random,
		Now: w.now, Usual: w.usual, Number: number, Answers: answers,
	}
}
