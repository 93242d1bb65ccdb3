package slopes

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"time"

	"acaciawinch/core"
	"acaciawinch/core/config"
	"acaciawinch/core/fleet"
	"acaciawinch/standin/bench/usage"
	"acaciawinch/standin/deployment"
	"acaciawinch/standin/harness"
)

// runWorkspaces varies the workspaces that two entries hold, of which one relays.
func runWorkspaces(ctx context.Context, s *session) ([]Row, error) {
	f, err := s.start(ctx, 2, oneRelay, deployment.Group{Service: pool, Kind: config.KindPool, Workers: 1, Capacity: 4})
	if err != nil {
		return nil, err
	}
	defer end(f)
	d := loadConfiguration()
	var rows []Row
	present := 0
	for _, size := range workspaceCounts {
		d.Workspaces = append(d.Workspaces, held(present, size, 1)...)
		present = size
		if err := s.apply(ctx, f, d); err != nil {
			return nil, err
		}
		values, err := s.holding(ctx, f)
		if err != nil {
			return nil, err
		}
		rows = append(rows, Row{Size: float64(size), Values: values})
	}
	return rows, nil
}

// holding measures fresh processes that hold the present configuration.
func (s *session) holding(ctx context.Context, f *harness.Fleet) (Values, error) {
	relay, plain, err := roles(ctx, f)
	if err != nil {
		return nil, err
	}
	values := Values{}
	// The relay starts alone, as after a restart of the whole fleet, so that its
	// first state comes from the store; the other entry's comes from the relay.
	plain.Kill()
	before, err := f.ObjectStats(ctx)
	if err != nil {
		return nil, err
	}
	if err := fresh(ctx, relay.Process, relay.AdminURL, "relay", values); err != nil {
		return nil, err
	}
	after, err := f.ObjectStats(ctx)
	if err != nil {
		return nil, err
	}
	values[freshMeasure+"relay_reads"] = float64(after.Reads - before.Reads)
	if err := fresh(ctx, plain.Process, plain.AdminURL, "plain", values); err != nil {
		return nil, err
	}
	// Both have the roles again that they had before, as the list is the same.
	if err := pause(ctx, reclaimTime); err != nil {
		return nil, err
	}
	groups := []group{{"relay", []node{entryNode(relay)}}, {"plain", []node{entryNode(plain)}}, sidesOf(f)}
	rest, err := over(ctx, f, restWindow, groups...)
	if err != nil {
		return nil, err
	}
	values.prefixed("", rest)
	if err := s.changed(ctx, f, values, groups...); err != nil {
		return nil, err
	}
	return values, s.command(ctx, f, values)
}

// roles returns the entry that relays and the other.
func roles(ctx context.Context, f *harness.Fleet) (relay, plain *harness.Entry, err error) {
	for _, entry := range f.Entries {
		var status struct {
			Feed struct {
				Relay bool `json:"relay"`
			} `json:"feed"`
		}
		if err := usage.Status(ctx, entry.AdminURL, &status); err != nil {
			return nil, nil, err
		}
		if status.Feed.Relay {
			relay = entry
		} else {
			plain = entry
		}
	}
	if relay == nil || plain == nil {
		return nil, nil, fmt.Errorf("the entries are not one relay and one other")
	}
	return relay, plain, nil
}

// fresh restarts a process and adds what its first state costs until it serves:
// time, bytes and processor time.
func fresh(ctx context.Context, p *harness.Process, admin, role string, values Values) error {
	p.Kill()
	began := time.Now()
	if err := p.Start(); err != nil {
		return err
	}
	if err := p.AwaitReady(ctx); err != nil {
		return err
	}
	values[freshMeasure+role+"_ms"] = float64(time.Since(began).Milliseconds())
	first, err := node{p, admin}.closing(ctx)
	values[freshMeasure+role+"_cpu"] = first.cpu
	values[freshMeasure+role+"_in"] = first.in
	values[freshMeasure+role+"_moved"] = first.moved
	return err
}

// runHosts varies the length of the host list before one entry and one side.
func runHosts(ctx context.Context, s *session) ([]Row, error) {
	f, err := s.start(ctx, 1, "", deployment.Group{Service: pool, Kind: config.KindPool, Workers: 1, Capacity: 4})
	if err != nil {
		return nil, err
	}
	defer end(f)
	if err := s.apply(ctx, f, loadConfiguration()); err != nil {
		return nil, err
	}
	var rows []Row
	for i, size := range hostCounts {
		list := f.HostList()
		list.Version = uint64(i + 2)
		list.Hosts = append(list.Hosts, absent(size-len(list.Hosts))...)
		values, err := listed(ctx, f, list)
		if err != nil {
			return nil, err
		}
		rows = append(rows, Row{Size: float64(size), Values: values})
	}
	return rows, nil
}

// absent returns hosts of a service that nobody calls: only the list is measured.
// Each has an address of its own, so that the list compresses as a true one does.
func absent(count int) []fleet.Host {
	all := make([]fleet.Host, count)
	for i := range all {
		all[i] = fleet.Host{
			Name: fmt.Sprintf("absent-%04d", i), Role: fleet.RoleUpstream, Service: "uncalled",
			Zone: fmt.Sprintf("zone-%d", 1+i%11), Region: region, Addr: absentAddr(i),
		}
	}
	return all
}

// absentAddr returns an address of loopback at which nobody listens.
func absentAddr(i int) string {
	hash := fnv.New32a()
	_ = binary.Write(hash, binary.LittleEndian, uint32(i))
	spread := hash.Sum32()
	return fmt.Sprintf("127.%d.%d.%d:9", byte(spread>>16), byte(spread>>8), byte(spread))
}

// listed measures fresh processes under a host list.
func listed(ctx context.Context, f *harness.Fleet, list fleet.List) (Values, error) {
	if err := f.SetHosts(ctx, list); err != nil {
		return nil, err
	}
	entry, side := f.Entries[0], f.Upstreams[0]
	values := Values{}
	if err := fresh(ctx, entry.Process, entry.AdminURL, "entry", values); err != nil {
		return nil, err
	}
	if err := awaitHosts(ctx, entry, len(list.Hosts)); err != nil {
		return nil, err
	}
	if err := fresh(ctx, side.Side, side.SideURL, "side", values); err != nil {
		return nil, err
	}
	if err := pause(ctx, reclaimTime); err != nil {
		return nil, err
	}
	groups := []group{entriesOf(f), sidesOf(f)}
	rest, err := over(ctx, f, restWindow, groups...)
	if err != nil {
		return nil, err
	}
	values.prefixed("", rest)
	return values, hostsChanged(ctx, f, values, list.Hosts, groups...)
}

// awaitHosts waits until an entry knows as many hosts.
func awaitHosts(ctx context.Context, entry *harness.Entry, count int) error {
	ctx, cancel := context.WithTimeout(ctx, forceTimeout)
	defer cancel()
	return harness.Await(ctx, fmt.Sprintf("%s does not know %d hosts", entry.Name, count), func(ctx context.Context) error {
		var status struct {
			Revision core.Revision `json:"revision"`
			Hosts    int           `json:"hosts"`
		}
		if err := usage.Status(ctx, entry.AdminURL, &status); err != nil {
			return err
		}
		if status.Hosts != count {
			return fmt.Errorf("%d hosts", status.Hosts)
		}
		return nil
	})
}
