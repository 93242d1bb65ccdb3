package slopes

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"acaciawinch/core/config"
	"acaciawinch/standin/bench/usage"
	"acaciawinch/standin/deployment"
	"acaciawinch/standin/harness"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// Sizes and times of the suites that speak to a side directly.
var (
	probeRates       = []int{100, 200, 400, 800}
	connectionCounts = []int{20, 80, 160, 340}
	resultCounts     = []int{1000, 4000, 8000, 16000}
)

const (
	probeWindow = 2500 * time.Millisecond
	restWindow  = 5 * time.Second
	// runners are the calls in progress while results are made.
	runners = 16
	runMS   = 5000
	// firstResults are the attempts that give a side something to report.
	firstResults = 200
	// reclaimTime lets the runtime give back memory before it is read.
	reclaimTime = 1500 * time.Millisecond
)

// directSuites returns the suites in which this process stands for the entries
// before one side.
func directSuites() []suite {
	return []suite{
		{"probes", "probes of one side, from one peer", "probes a second", []Measure{
			{"side_cpu", perSecondCPU}, {"asker_cpu", perSecondCPU}, {"side_in", perSecondBytes}, {"side_out", perSecondBytes},
		}, runProbes},
		{"connections", "peers with one idle connection each to a side", "connections", []Measure{
			{"side_cpu", perSecondCPU}, {"side_resident", bytesHeld}, {"side_heap", bytesHeld}, {"side_in", perSecondBytes},
		}, runConnections},
		{"results", "claimed results that a side keeps", "results", []Measure{
			{"side_resident", bytesHeld}, {"side_heap", bytesHeld}, {"side_cpu", perSecondCPU},
		}, runResults},
	}
}

// before starts one entry, and one side whose upstream takes no time.
func (s *session) before(ctx context.Context) (*harness.Fleet, error) {
	fleet, err := s.start(ctx, 1, "", deployment.Group{
		Service: ledger, Kind: config.KindService, Workers: 1, Capacity: 2 * runners, ServiceMS: 0.1,
	})
	if err != nil {
		return nil, err
	}
	if err := s.apply(ctx, fleet, loadConfiguration()); err != nil {
		end(fleet)
		return nil, err
	}
	return fleet, nil
}

// sideAddress returns where the first side listens.
func sideAddress(fleet *harness.Fleet) string {
	for _, host := range fleet.HostList().Hosts {
		if host.Name == fleet.Upstreams[0].Name {
			return host.Addr
		}
	}
	return ""
}

// runProbes varies the rate of probes.
func runProbes(ctx context.Context, s *session) ([]Row, error) {
	fleet, err := s.before(ctx)
	if err != nil {
		return nil, err
	}
	defer end(fleet)
	dialer := link.NewDialer(harness.FleetKey)
	defer dialer.Close()
	// A side that has run nothing has no times to report.
	if err := makeResults(ctx, dialer, sideAddress(fleet), 0, firstResults); err != nil {
		return nil, err
	}
	var rows []Row
	for _, size := range probeRates {
		for range repeats {
			row, err := probed(ctx, fleet, dialer, size)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// probed sends probes at a rate for the length of a window, and measures the side.
func probed(ctx context.Context, fleet *harness.Fleet, dialer *link.Dialer, size int) (Row, error) {
	w, err := openWindow(ctx, fleet, sidesOf(fleet))
	if err != nil {
		return Row{}, err
	}
	limiter := rate.NewLimiter(rate.Limit(size), 1)
	own, err := usage.OfProcess(os.Getpid())
	if err != nil {
		return Row{}, err
	}
	sent := 0
	for until := time.Now().Add(probeWindow); time.Now().Before(until); sent++ {
		if err := limiter.Wait(ctx); err != nil {
			return Row{}, err
		}
		if _, err := probe(ctx, dialer, sideAddress(fleet)); err != nil {
			return Row{}, err
		}
	}
	spent, err := usage.OfProcess(os.Getpid())
	if err != nil {
		return Row{}, err
	}
	values, seconds, err := w.close(ctx)
	if err != nil {
		return Row{}, err
	}
	values["asker_cpu"] = 1000 * (spent.CPUSeconds - own.CPUSeconds) / seconds
	return Row{Size: float64(sent) / seconds, Values: values}, nil
}

// probingWorkspace is as long a name as workspaces of the users have.
const probingWorkspace = "pensionistas"

// probe asks a side for its load, with what a request's probe names.
func probe(ctx context.Context, dialer *link.Dialer, address string) (*wirepb.ProbeReply, error) {
	client := wirepb.NewDRPCSideClient(dialer.Conn(ctx, address))
	return client.Probe(ctx, &wirepb.ProbeRequest{Revision: 1, PrefixHash: rand.Uint64(), Workspace: probingWorkspace, Priority: 1})
}

// runConnections varies the idle connections to a side.
func runConnections(ctx context.Context, s *session) ([]Row, error) {
	fleet, err := s.before(ctx)
	if err != nil {
		return nil, err
	}
	defer end(fleet)
	var dialers []*link.Dialer
	defer func() {
		for _, dialer := range dialers {
			dialer.Close()
		}
	}()
	var rows []Row
	for _, size := range connectionCounts {
		for len(dialers) < size {
			dialer := link.NewDialer(harness.FleetKey)
			dialers = append(dialers, dialer)
			if _, err := probe(ctx, dialer, sideAddress(fleet)); err != nil {
				return nil, err
			}
		}
		for range repeats {
			values, err := over(ctx, fleet, restWindow, sidesOf(fleet))
			if err != nil {
				return nil, err
			}
			rows = append(rows, Row{Size: float64(size), Values: values})
		}
	}
	return rows, nil
}

// runResults varies the claimed results that a side keeps.
func runResults(ctx context.Context, s *session) ([]Row, error) {
	fleet, err := s.before(ctx)
	if err != nil {
		return nil, err
	}
	defer end(fleet)
	dialer := link.NewDialer(harness.FleetKey)
	defer dialer.Close()
	var rows []Row
	made := 0
	for _, size := range resultCounts {
		if err := makeResults(ctx, dialer, sideAddress(fleet), made, size); err != nil {
			return nil, err
		}
		made = size
		if err := pause(ctx, reclaimTime); err != nil {
			return nil, err
		}
		values, err := over(ctx, fleet, restWindow, sidesOf(fleet))
		if err != nil {
			return nil, err
		}
		rows = append(rows, Row{Size: float64(size), Values: values})
	}
	return rows, nil
}

// makeResults runs the claimed attempts with the numbers from, up to to.
func makeResults(ctx context.Context, dialer *link.Dialer, address string, from, to int) error {
	ticket, err := probe(ctx, dialer, address)
	if err != nil {
		return err
	}
	next := atomic.Int64{}
	next.Store(int64(from))
	group, ctx := errgroup.WithContext(ctx)
	for range runners {
		group.Go(func() error {
			for {
				number := int(next.Add(1)) - 1
				if number >= to {
					return nil
				}
				if err := runClaimed(ctx, dialer, address, ticket, number); err != nil {
					return err
				}
			}
		})
	}
	return group.Wait()
}

// runClaimed runs one claimed attempt to its end.
func runClaimed(ctx context.Context, dialer *link.Dialer, address string, ticket *wirepb.ProbeReply, number int) error {
	name := fmt.Sprintf("entry-1-%016x", number)
	client := wirepb.NewDRPCSideClient(dialer.Conn(ctx, address))
	stream, err := client.Run(ctx, &wirepb.RunRequest{
		Key: &wirepb.AttemptKey{RequestId: name, Stage: "book", Attempt: 1, SideIncarnation: ticket.GetIncarnation()},
		Claim: &wirepb.ClaimKey{
			Claim: "claims/" + name, Nonce: uint64(number) + 1, SideClockUs: ticket.GetSideClockUs(),
		},
		Workspace: workspace, Pipeline: claimed, RemainingMs: runMS, Weight: 1, Input: []byte(name),
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		event, err := stream.Recv()
		switch {
		case err == io.EOF:
			return fmt.Errorf("attempt %d ended without a result", number)
		case err != nil:
			return err
		case event.GetDone() != nil:
			return nil
		case event.GetRefused() != nil || event.GetFailed() != nil:
			return fmt.Errorf("attempt %d: %s", number, event)
		}
	}
}
