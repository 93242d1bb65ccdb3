package slopes

import (
	"context"
	"fmt"
	"time"

	"acaciawinch/core/config"
	"acaciawinch/core/fleet"
	"acaciawinch/standin/bench/usage"
	"acaciawinch/standin/caller"
	"acaciawinch/standin/deployment"
	"acaciawinch/standin/harness"
)

// Sizes of the suites of what a process holds.
var (
	peerCounts      = []int{10, 40, 80, 160}
	workspaceCounts = []int{500, 2000, 8000, 18000}
	hostCounts      = []int{100, 400, 800, 1440}
)

// Numbers and times of the suites.
const (
	changes       = 2
	connectTime   = 2 * time.Second
	connectRate   = 80
	forceTimeout  = 60 * time.Second
	oneRelay      = "[feed]\nrelays_per_zone = 1\n"
	manyRelays    = "[feed]\nrelays_per_zone = 100\n"
	changeMeasure = "change_"
	hostMeasure   = "host_"
	freshMeasure  = "fresh_"
)

// restSuites returns the suites of fleets that serve no requests.
func restSuites() []suite {
	return []suite{
		{"peers", "sides before one entry, which is their relay", "sides", []Measure{
			{"entry_cpu", perSecondCPU}, {"entry_out", perSecondBytes}, {"entry_in", perSecondBytes},
			{"entry_heap", bytesHeld}, {"entry_resident", bytesHeld},
			{"change_entry_out", bytesHeld}, {"change_entry_cpu", milliseconds},
			{"host_entry_out", bytesHeld}, {"host_entry_cpu", milliseconds},
			{"connected_entry_heap", bytesHeld}, {"connected_entry_resident", bytesHeld},
		}, runPeers},
		{"workspaces", "workspaces held by a relay and another entry", "workspaces", []Measure{
			{"relay_heap", bytesHeld}, {"relay_resident", bytesHeld}, {"relay_cpu", perSecondCPU},
			{"plain_heap", bytesHeld}, {"plain_resident", bytesHeld}, {"plain_cpu", perSecondCPU},
			{"side_heap", bytesHeld}, {"side_resident", bytesHeld},
			{"change_relay_moved", bytesHeld}, {"change_relay_out", bytesHeld}, {"change_plain_in", bytesHeld},
			{"change_relay_cpu", milliseconds}, {"change_plain_cpu", milliseconds},
			{"change_store_reads", countUnit}, {"change_store_writes", countUnit}, {"change_store_watches", countUnit},
			{"fresh_plain_in", bytesHeld}, {"fresh_plain_ms", milliseconds}, {"fresh_plain_cpu", milliseconds},
			{"fresh_relay_ms", milliseconds}, {"fresh_relay_moved", bytesHeld}, {"fresh_relay_reads", countUnit},
			{"command_ms", milliseconds}, {"command_cpu", milliseconds}, {"command_resident", bytesHeld},
		}, runWorkspaces},
		{"hosts", "hosts in the host list", "hosts", []Measure{
			{"entry_cpu", perSecondCPU}, {"entry_heap", bytesHeld}, {"entry_resident", bytesHeld}, {"entry_moved", perSecondBytes},
			{"side_cpu", perSecondCPU}, {"side_heap", bytesHeld}, {"side_resident", bytesHeld}, {"side_in", perSecondBytes},
			{"host_side_in", bytesHeld}, {"host_entry_moved", bytesHeld}, {"host_entry_cpu", milliseconds},
			{"host_side_cpu", milliseconds}, {"fresh_side_in", bytesHeld}, {"fresh_side_ms", milliseconds},
		}, runHosts},
	}
}

// prefixed returns the values under names with a prefix.
func (v Values) prefixed(prefix string, values Values) {
	for name, value := range values {
		v[prefix+name] = value
	}
}

// divided divides all amounts, but not what is held.
func (v Values) divided(by float64) Values {
	result := Values{}
	for name, value := range v {
		result[name] = value
		if !isMemory(name) {
			result[name] = value / by
		}
	}
	return result
}

// runPeers varies the sides before one entry.
func runPeers(ctx context.Context, s *session) ([]Row, error) {
	var rows []Row
	for _, size := range peerCounts {
		values, err := s.peers(ctx, size)
		if err != nil {
			return nil, err
		}
		rows = append(rows, Row{Size: float64(size), Values: values})
	}
	return rows, nil
}

// peers measures one entry with some sides: at rest, for a change, for a change of
// the host list, and with a connection to each side.
func (s *session) peers(ctx context.Context, size int) (Values, error) {
	f, err := s.start(ctx, 1, "", deployment.Group{
		Service: pool, Kind: config.KindPool, Workers: size, Capacity: 16, ServiceMS: poolMS, Shared: true,
	})
	if err != nil {
		return nil, err
	}
	defer end(f)
	d := loadConfiguration()
	d.Workspaces = append(d.Workspaces, held(0, 100, 1)...)
	if err := s.apply(ctx, f, d); err != nil {
		return nil, err
	}
	if err := subscribed(ctx, f, size); err != nil {
		return nil, err
	}
	if err := pause(ctx, reclaimTime); err != nil {
		return nil, err
	}
	values, err := over(ctx, f, restWindow, entriesOf(f))
	if err != nil {
		return nil, err
	}
	if err := s.changed(ctx, f, values, entriesOf(f)); err != nil {
		return nil, err
	}
	if err := hostsChanged(ctx, f, values, f.HostList().Hosts, entriesOf(f)); err != nil {
		return nil, err
	}
	return values, connected(ctx, f, d, values)
}

// subscribed waits until a relay has as many subscribers.
func subscribed(ctx context.Context, f *harness.Fleet, size int) error {
	ctx, cancel := context.WithTimeout(ctx, forceTimeout)
	defer cancel()
	return harness.Await(ctx, fmt.Sprintf("%d sides have not subscribed", size), func(ctx context.Context) error {
		var status struct {
			Feed struct {
				Subscribers int `json:"subscribers"`
			} `json:"feed"`
		}
		if err := usage.Status(ctx, f.Entries[0].AdminURL, &status); err != nil {
			return err
		}
		if status.Feed.Subscribers < size {
			return fmt.Errorf("%d subscribers", status.Feed.Subscribers)
		}
		return nil
	})
}

// changed makes changes of one workspace each and adds what one costs.
func (s *session) changed(ctx context.Context, f *harness.Fleet, values Values, groups ...group) error {
	spent, err := during(ctx, f, values, func() error {
		for i := range changes {
			if err := s.apply(ctx, f, declaration{Workspaces: held(i, i+1, 2)}); err != nil {
				return err
			}
		}
		return pause(ctx, settleTime)
	}, groups...)
	values.prefixed(changeMeasure, spent.divided(changes))
	return err
}

// hostsChanged marks hosts as leaving and back, and adds what one change costs.
func hostsChanged(ctx context.Context, f *harness.Fleet, values Values, hosts []fleet.Host, groups ...group) error {
	name := hosts[len(hosts)-1].Name
	spent, err := during(ctx, f, values, func() error {
		for i := range 2 * changes {
			if err := f.SetLeaving(ctx, name, i%2 == 0); err != nil {
				return err
			}
			// The platform shows each change on its own, and the feed passes it on.
			if err := pause(ctx, settleTime); err != nil {
				return err
			}
		}
		return nil
	}, groups...)
	values.prefixed(hostMeasure, spent.divided(2*changes))
	return err
}

// connected sends requests until the entry has asked all sides, and adds what it
// holds then.
func connected(ctx context.Context, f *harness.Fleet, d declaration, values Values) error {
	client := caller.New(catalogOf(d))
	defer client.Close()
	send(ctx, f, client, course{pipeline: stagesName(stageCounts[0]), rate: connectRate}, 1, connectTime)
	if err := pause(ctx, reclaimTime); err != nil {
		return err
	}
	after, err := over(ctx, f, settleTime, entriesOf(f))
	values.prefixed("connected_", after)
	return err
}
