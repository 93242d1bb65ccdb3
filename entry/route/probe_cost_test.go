package route_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"acaciawinch/entry/route"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// busySide answers probes like the sidecar of a busy engine with two models.
type busySide struct {
	wirepb.DRPCSideUnimplementedServer
}

// Probe implements the Side service.
func (*busySide) Probe(context.Context, *wirepb.ProbeRequest) (*wirepb.ProbeReply, error) {
	return &wirepb.ProbeReply{
		Incarnation: 0x1234567890abcdef, SideClockUs: 86_400_000_000, Revision: 120_000, PrefixCached: true,
		Load: &wirepb.Load{
			Queued: 3, InFlight: 16, Capacity: 16, WaitUs: 120_000, ServiceP50Us: 900_000, ServiceP95Us: 1_800_000,
			FirstP50Us: 200_000, FirstP95Us: 440_000, GapP95Us: 33_000, Finished: 1_000_000, Failed: 1000,
			Models: []*wirepb.LoadedModel{{Model: "blendmodel", Version: "2027-01"}, {Model: "tastenotes", Version: "2026-11"}},
		},
	}, nil
}

// cpuTime returns the CPU time that this process has used so far.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkProbe measures the cost of one probe over a pooled connection: round-trip
// time, CPU time of both ends together, and bytes above TCP.
func BenchmarkProbe(b *testing.B) {
	const key = "0123456789abcdef0123456789abcdef"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := link.NewServer(key)
	assert.NilError(b, wirepb.DRPCRegisterSide(server.Mux(), &busySide{}))
	ctx, cancel := context.WithCancel(b.Context())
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ctx, listener) })
	dialer := link.NewDialer(key)
	prober := route.NewProber(dialer)
	request := &wirepb.ProbeRequest{Revision: 120_000, PrefixHash: 0x1234567890abcdef, Workspace: "pensionistas", Priority: 1}
	before := cpuTime(b)
	for b.Loop() {
		_, err := prober.Probe(ctx, listener.Addr().String(), request)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
	bytes := dialer.Traffic().Read() + dialer.Traffic().Written()
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/op")
	b.ReportMetric(float64(dialer.Traffic().Read())/float64(b.N), "bytes-in/op")
	cancel()
	assert.NilError(b, group.Wait())
	assert.NilError(b, dialer.Close())
}
