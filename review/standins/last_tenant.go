package main

import (
	"fmt"
	"maps"
	"net/http"
	"time"
)

func init() { cases["last-tenant"] = lastTenant }

// Timing of the case last-tenant.
const (
	// revokeTime is the bound revoke_ms; requests come only after revokeTime and revokeMargin.
	revokeTime   = 5 * time.Second
	revokeMargin = 2 * time.Second
	// requestsAfter is the number of requests with each key after that time.
	requestsAfter = 10
	unknownKey    = "never-in-a-configuration"
)

// lastTenant takes the keys of the only tenant away, by a version without that tenant, while its requesters go on.
func lastTenant(s *setup) error {
	s.figures = blendops
	app := &worker{id: "i-app1", service: "wuno96b", record: s.record, slots: make(chan struct{}, 6)}
	ran := make(chan string, 1000)
	app.handle = func(w *worker, _ *channel, r *http.Request, _ []byte) []byte {
		id := r.Header.Get("X-Attempt-Id")
		s.record.line("%s: runs %s, X-Tenant %q", w.id, id, r.Header.Get("X-Tenant"))
		ran <- id
		return w.response(r, 200, "X-Response-Stamp: s."+randomID()+"\r\n", "text/plain", []byte("done "+id))
	}
	if err := s.startWorker(app); err != nil {
		return err
	}
	first := config(blendops)
	s.store.put("config", "main", first)
	for _, zone := range []string{"hall-a", "hall-b"} {
		if err := s.startGateway(fmt.Sprintf("edge-%s-1", zone), zone); err != nil {
			return err
		}
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	if got := s.order("before", s.key()); got.status != http.StatusOK {
		return fmt.Errorf("the request before got %d, %v", got.status, got.err)
	}
	if got := s.order("before-unknown", unknownKey); got.status != http.StatusUnauthorized {
		return fmt.Errorf("the request with an unknown key got %d, %v", got.status, got.err)
	}
	if s.trouble {
		next := maps.Clone(first)
		next["version"], next["tenants"] = 9, []any{}
		s.store.put("config", "main", next)
		s.record.line("DISRUPTION, the store has acknowledged version 9, in which no tenant has a key")
	}
	time.Sleep(revokeTime + revokeMargin)
	for len(ran) > 0 {
		<-ran
	}
	for i := range requestsAfter {
		s.order(fmt.Sprintf("taken%d", i), s.key())
		s.order(fmt.Sprintf("unknown%d", i), unknownKey)
	}
	for len(ran) > 0 {
		switch id := <-ran; {
		case id[0] == 'u':
			s.record.broken("ROUTE: %s ran, whose key no configuration ever held", id)
		case s.trouble:
			s.record.broken("CONFIG: %s ran, sent over %v after the ack of the version that took its key away", id, revokeTime+revokeMargin)
		}
	}
	return nil
}

// key is the key of the tenant in the first configuration.
func (s *setup) key() string { return "9dnn2ctnfzs989anu6ws" }

// order sends an unsafe request with a key to one gateway after the other.
func (s *setup) order(id, key string) answer {
	s.orders++
	return s.send(s.gateways[s.orders%len(s.gateways)], id, "/bobo563/x", time.Second, "Host", "jepu9.example", "Authorization", "Bearer "+key)
}
