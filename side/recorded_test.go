package side

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/chart"
	"acaciawinch/core/claim"
	"acaciawinch/core/gate"
	"acaciawinch/platform/objects"
)

// claimStore is an object API that has no object until set stores the one claim.
type claimStore struct{ value atomic.Pointer[[]byte] }

// ServeHTTP implements http.Handler.
func (s *claimStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	value := s.value.Load()
	if value == nil || r.URL.Path != "/v1/objects/claims/1" {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("Object-Version", "1")
	_, _ = w.Write(*value)
}

// set stores the claim.
func (s *claimStore) set(t *testing.T, record claim.Record) {
	value, err := record.Encode()
	assert.NilError(t, err)
	s.value.Store(&value)
}

// TestStopDoesNotWaitForALostAcknowledgement guards against a planned stop that waits until
// its time limit for the acknowledgement of a result that the caller has recorded
// in its claim.
func TestStopDoesNotWaitForALostAcknowledgement(t *testing.T) {
	store := &claimStore{}
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	upstream := &blockingUpstream{arrived: make(chan struct{}, 1), release: make(chan struct{})}
	ctx, stop := context.WithCancel(context.Background())
	p, h, _, ended := startProcess(t, ctx, upstream)
	p.settings.Platform.Objects = storeServer.URL
	p.objects = objects.NewClient(storeServer.URL)
	await(t, "the process is ready", p.lifecycle.Ready)
	request := h.claimed()
	request.Key.SideIncarnation = uint64(p.incarnation)
	s := h.run(context.Background(), request)
	<-upstream.arrived
	close(upstream.release)
	h.read(s)
	stop()
	await(t, "the process drains", func() bool { return p.lifecycle.State() == chart.State("draining") })
	store.set(t, claim.Record{State: claim.StateDone, Nonce: request.GetClaim().GetNonce(), Result: &claim.Result{Count: 1}})
	select {
	case err := <-ended:
		assert.NilError(t, err)
	case <-time.After(waitLimit):
		t.Fatal("the stop waits for an acknowledgement that will never be sent")
	}
	assert.Equal(t, p.lifecycle.State(), chart.State("stopped"))
}

// TestOnlyARecordedResultNeedsNoAcknowledgement checks which claims show that no caller
// will request the result from the sidecar.
func TestOnlyARecordedResultNeedsNoAcknowledgement(t *testing.T) {
	h := newHarness(t, gate.Options{})
	request := h.claimed()
	result := unacknowledgedResult{key: attemptKeyOf(request.GetKey()), claim: request.GetClaim()}
	store := &claimStore{}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	client := objects.NewClient(server.URL)
	assert.Assert(t, !isRecorded(t.Context(), client, result), "the claim does not exist")
	nonce := result.claim.GetNonce()
	for _, c := range []struct {
		what   string
		record claim.Record
		want   bool
	}{
		{"open", claim.Record{State: claim.StateOpen, Nonce: nonce}, false},
		{"another attempt's", claim.Record{State: claim.StateDone, Nonce: nonce + 1, Result: &claim.Result{}}, false},
		{"its result left out", claim.Record{State: claim.StateDone, Nonce: nonce, Result: &claim.Result{Omitted: true}}, false},
		{"recorded", claim.Record{State: claim.StateDone, Nonce: nonce, Result: &claim.Result{}}, true},
	} {
		store.set(t, c.record)
		assert.Equal(t, isRecorded(t.Context(), client, result), c.want, c.what)
	}
}
