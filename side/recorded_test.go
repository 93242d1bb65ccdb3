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

// claimStore is an object API that holds one claim once it is set.
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

// set sets the claim.
func (s *claimStore) set(t *testing.T, record claim.Record) {
	value, err := record.Encode()
	assert.NilError(t, err)
	s.value.Store(&value)
}

// TestStopDoesNotWaitForALostAcknowledgement stops a side whose caller recorded a
// result and never acknowledged it.
func TestStopDoesNotWaitForALostAcknowledgement(t *testing.T) {
	store := &claimStore{}
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	upstream := &upstreamServer{arrived: make(chan struct{}, 1), release: make(chan struct{})}
	ctx, stop := context.WithCancel(context.Background())
	p, r, _, ended := startProcess(t, ctx, upstream)
	p.settings.Platform.Objects = storeServer.URL
	p.objects = objects.NewClient(storeServer.URL)
	await(t, "it is ready", p.life.Ready)
	request := r.claimed()
	request.Key.SideIncarnation = uint64(p.incarnation)
	s := r.run(context.Background(), request)
	<-upstream.arrived
	close(upstream.release)
	r.read(s)
	stop()
	await(t, "it drains", func() bool { return p.life.State() == chart.State("draining") })
	store.set(t, claim.Record{State: claim.StateDone, Nonce: request.GetClaim().GetNonce(), Result: &claim.Result{Count: 1}})
	select {
	case err := <-ended:
		assert.NilError(t, err)
	case <-time.After(waitLimit):
		t.Fatal("it waits for an acknowledgement that nobody will send")
	}
	assert.Equal(t, p.life.State(), chart.State("stopped"))
}

// TestOnlyARecordedResultNeedsNoSide checks which claims tell that nobody asks the
// side for a result any longer.
func TestOnlyARecordedResultNeedsNoSide(t *testing.T) {
	r := newRig(t, gate.Options{})
	request := r.claimed()
	held := heldResult{key: keyOf(request.GetKey()), claim: request.GetClaim()}
	store := &claimStore{}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	client := objects.NewClient(server.URL)
	assert.Assert(t, !recorded(t.Context(), client, held), "there is no claim")
	nonce := held.claim.GetNonce()
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
		assert.Equal(t, recorded(t.Context(), client, held), c.want, c.what)
	}
}
