package streamversion

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"acaciawinch/core/routes"
	core "acaciawinch/core/streamversion"
	"acaciawinch/gateway/clock"
	"acaciawinch/gateway/view"
	"acaciawinch/observe"
	"acaciawinch/platform/store"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// soleFleet is a fleet of one gateway with a store.
type soleFleet struct{ store *store.Client }

func (f soleFleet) Members() []view.Member          { return nil }
func (f soleFleet) Upstreams() *routes.Upstreams    { return nil }
func (f soleFleet) Table() *routes.Table            { return nil }
func (f soleFleet) Store() *store.Client            { return f.store }
func (f soleFleet) ProofAge() (time.Duration, bool) { return 0, true }

// settledKeeper returns a Keeper that knows a settled register, and whose store calls handler.
func settledKeeper(t *testing.T, handler http.HandlerFunc) *Keeper {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	logger, err := observe.NewLogger(io.Discard, "test", "error")
	assert.NilError(t, err)
	lifetime, end := context.WithCancel(context.Background())
	t.Cleanup(end)
	k := New(Options{Fleet: soleFleet{store.New(strings.TrimPrefix(server.URL, "http://"))}, Self: view.Member{Name: "g1"},
		Dialer: link.NewDialer("test"), Lifetime: lifetime, Logger: logger, Scope: tally.NoopScope})
	k.mu.Lock()
	defer k.mu.Unlock()
	k.service("llm").state.Learned(clock.Boot(), core.Register{Settled: true, Version: "v1"}, 1, nil)
	return k
}

// TestRecordsOfOthersDoNotFloodTheStore: a gateway that is cut off from the store, and has not heard that another version
// serves, gets a record for each stream of the others.
func TestRecordsOfOthersDoNotFloodTheStore(t *testing.T) {
	var reads atomic.Int64
	k := settledKeeper(t, func(w http.ResponseWriter, _ *http.Request) {
		reads.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	began := time.Now()
	for range 100 {
		record := &wirepb.StreamRecord{Workspace: "w", Attempt: "a", Service: "llm", Version: "v2", RemainingMs: 1000}
		_, err := NewServer(k).Record(context.Background(), &wirepb.StreamRecords{Records: []*wirepb.StreamRecord{record}})
		assert.NilError(t, err)
		time.Sleep(2 * time.Millisecond)
	}
	allowed := 1 + int64(time.Since(began)/hearInterval)
	assert.Check(t, reads.Load() >= 1 && reads.Load() <= allowed, "%d reads of the register, %d are allowed", reads.Load(), allowed)
}
