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

// epoch is the start of simulated time.
var epoch = time.Unix(1000, 0)

// harness runs the routing of one entry against upstreams that a test controls.
type harness struct {
	picker *Picker
	table  *Table
	policy Policy
	random *rand.Rand
	now    time.Time
	usual  latency.Estimate
	// reply returns what an upstream replies to a probe now; Replied is unset for silence.
	reply func(Upstream) ProbeResult
	// probed lists the upstreams that were probed, in order.
	probed []core.UpstreamID
}

// newHarness returns a harness for an entry in zone a of region r.
func newHarness(policy string, seed uint64, hosts ...fleet.Host) *harness {
	chosen, err := NewPolicy(policy)
	if err != nil {
		panic(err)
	}
	h := &harness{
		table:  NewTable(),
		policy: chosen,
		random: rand.New(rand.NewPCG(seed, seed)),
		now:    epoch,
		reply:  func(u Upstream) ProbeResult { return ProbeResult{Upstream: u, Replied: true, Load: idle()} },
	}
	h.picker = NewPicker(sourceOf(hosts...))
	return h
}

// sourceOf returns a source without drains or placement.
func sourceOf(hosts ...fleet.Host) Source {
	return Source{Zone: "a", Region: "r", Hosts: hosts, Drained: func(string) bool { return false }}
}

// withAssignments assigns a model to the named engines.
func withAssignments(source Source, model Model, names ...string) Source {
	for _, name := range names {
		source.Assignments = append(source.Assignments, placement.Assignment{
			Upstream: core.UpstreamID(name), Model: model.Name, Version: model.Version,
		})
	}
	return source
}

// idle returns the load of an upstream without work.
func idle() Load {
	times := latency.Estimate{ServiceP50: 100 * ms, ServiceP95: 150 * ms, FirstChunkP50: 20 * ms}
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

// choose takes one decision in the way the entry does.
func (h *harness) choose(q Query) Decision {
	var results []ProbeResult
	var decision Decision
	for number := 0; ; number++ {
		plan := h.policy.Plan(h.round(q, number, results))
		if number > 0 && len(plan.Upstreams) == 0 {
			break
		}
		for _, u := range plan.Background {
			h.probe(u)
		}
		for _, u := range plan.Upstreams {
			results = append(results, h.rememberedOrProbe(u, plan))
		}
		decision = h.policy.Decide(h.round(q, number, results))
		if !decision.Widen {
			break
		}
	}
	if decision.OK {
		h.table.RecordChoice(decision.Chosen.Result.Upstream.ID, h.now)
	}
	return decision
}

// rememberedOrProbe returns a remembered reply if plan allows it, else probes u.
func (h *harness) rememberedOrProbe(u Upstream, plan ProbePlan) ProbeResult {
	if known, ok := h.table.Remembered(u.ID, h.now, plan.Age, plan.Uses); ok {
		return known
	}
	return h.probe(u)
}

// probe probes u and records the result.
func (h *harness) probe(u Upstream) ProbeResult {
	h.probed = append(h.probed, u.ID)
	result := h.reply(u)
	result.SentAt = h.now
	if result.Replied {
		h.table.RecordReply(result, h.now)
	} else {
		h.table.RecordSilence(u.ID, SilentProbe, h.now, h.random)
	}
	return result
}

// round returns the input of the policy.
func (h *harness) round(q Query, number int, results []ProbeResult) *Round {
	return &Round{
		Query: q, Picker: h.picker, Table: h.table, Random: h.random,
		Now: h.now, Usual: h.usual, Step: number, Results: results,
	}
}
