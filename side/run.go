package side

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"acaciawinch/core"
	"acaciawinch/core/fault"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/upstream"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// Timeouts of the admin listener.
const (
	adminHeaderTimeout = 5 * time.Second
	adminStopTimeout   = time.Second
)

// Run is the side process: it serves until ctx ends, then stops gracefully and
// returns nil. An error means that it could not start or go on.
func Run(ctx context.Context, settings Settings) error {
	logger, err := observe.NewLogger(os.Stderr, settings.Process.Name, settings.Process.LogLevel)
	if err != nil {
		return fault.Wrap(fault.Invalid, "side.log", "", err)
	}
	metrics := observe.NewMetrics("acaciawinch_side")
	defer metrics.Close()
	fleetListener, err := net.Listen("tcp", settings.Listen.Fleet)
	if err != nil {
		return fault.Wrap(fault.Unavailable, "side.listen", settings.Listen.Fleet, err)
	}
	adminListener, err := net.Listen("tcp", settings.Listen.Admin)
	if err != nil {
		fleetListener.Close()
		return fault.Wrap(fault.Unavailable, "side.listen", settings.Listen.Admin, err)
	}
	server := &Server{
		incarnation: core.Incarnation(rand.Uint64()),
		start:       time.Now(),
		client:      upstream.NewHTTP(settings.Upstream.Name, settings.Upstream.URL),
		slots:       make(chan struct{}, thinCapacity),
		base:        context.WithoutCancel(ctx),
		attempts:    make(map[core.AttemptKey]*attempt),
	}
	rpc := link.NewServer(settings.Fleet.Key)
	if err := wirepb.DRPCRegisterSide(rpc.Mux(), server); err != nil {
		return fault.Wrap(fault.Internal, "side.register", "", err)
	}
	admin := &http.Server{
		ReadHeaderTimeout: adminHeaderTimeout,
		Handler: newAdmin(adminOptions{
			ready:   func() bool { return ctx.Err() == nil },
			metrics: metrics.Handler(),
			status: func() Status {
				return Status{Upstream: settings.Upstream.Name, Service: settings.Upstream.Service, Incarnation: uint64(server.incarnation)}
			},
		}),
	}
	logger.Event(event.ProcessStarted, observe.Fields{
		"role":        "side",
		"name":        settings.Process.Name,
		"zone":        settings.Process.Zone,
		"incarnation": uint64(server.incarnation),
	})
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return rpc.Serve(groupCtx, fleetListener) })
	group.Go(func() error { return serveAdmin(admin, adminListener) })
	group.Go(func() error {
		<-groupCtx.Done()
		stopCtx, cancel := context.WithTimeout(context.Background(), adminStopTimeout)
		defer cancel()
		return admin.Shutdown(stopCtx)
	})
	err = group.Wait()
	if ctx.Err() != nil {
		logger.Event(event.ProcessStopped, observe.Fields{"reason": "signal"})
		return nil
	}
	return err
}

// serveAdmin serves until the server is shut down.
func serveAdmin(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
