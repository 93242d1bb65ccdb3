package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// key is the API key of the only tenant.
const key = "9dnn2ctnfzs989anu6ws"

// pools are the services that run stages: each has one worker.
var pools = []string{"lotledger", "shipyard", "tastenotes"}

// configuration is a configuration with a route for each pool, and one to a plain service.
func configuration() map[string]any {
	routes := []any{
		map[string]any{"name": "orders", "host": "orders.example", "path_prefix": "/orders/", "route_kind": "unsafe", "timeout_ms": 4000, "goal_ms": 150, "priority": 2,
			"service": "orderdesk", "max_attempts": 1, "stages": []any{}, "anonymous": false, "sticky": false, "resumable": false},
	}
	services := []any{
		map[string]any{"name": "blendmodel", "health_path": "/healthz", "max_conns": 280, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kv_capacity": 404836, "kv_token_bytes": 163840, "link_mbps": 130000.0}},
		map[string]any{"name": "orderdesk", "health_path": "/healthz", "max_conns": 280, "protocol": "h1", "tls": false},
	}
	for _, pool := range pools {
		routes = append(routes, map[string]any{"name": "drafts-" + pool, "host": "blend.example", "path_prefix": "/" + pool + "/", "route_kind": "streaming", "timeout_ms": 8000, "goal_ms": 2000, "priority": 1,
			"service": "blendmodel", "max_attempts": 2, "resumable": true, "sticky": true, "gap_goal_ms": 300, "anonymous": false,
			"stages": []any{map[string]any{"service": pool, "after": []int{}, "byte_count": 8000}}})
		services = append(services, map[string]any{"name": pool, "health_path": "/healthz", "max_conns": 280, "protocol": "h1", "tls": false,
			"pieces": map[string]any{"slots": 1, "queue": 2, "batch": 8, "call_ms": 200.0, "item_ms": 21.0, "headroom_mb": 18.0, "handle_s": 4.0, "link_mbps": 10000}})
	}
	return map[string]any{
		"version": 1, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "bozi300", "api_keys": []string{key}, "priority": 1}},
	}
}

// fleet is a small deployment.
type fleet struct {
	store    *store
	gateways []*gateway
	folder   string
	record   *record
}

// startFleet starts the store, the workers that register registers, and some gateways.
func startFleet(root string, r *record, gateways int, config map[string]any, register func(s *store) error) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, record: r}
	if f.store, err = startStore(); err != nil {
		return f, err
	}
	if err := register(f.store); err != nil {
		return f, err
	}
	f.store.put("config", "main", config)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for i := range gateways {
		zone := []string{"hall-a", "hall-b", "annex"}[i%3]
		g, err := startGateway(root, folder, fmt.Sprintf("edge-%s-%d", zone, i+1), zone, f.store.address())
		// Another program may have taken one of the ports before the process listens on it.
		for tries := 0; err == nil && tries < 3 && g.endsAtOnce(); tries++ {
			g, err = startGateway(root, folder, g.name, zone, f.store.address())
		}
		if err != nil {
			return f, err
		}
		f.gateways = append(f.gateways, g)
	}
	for _, g := range f.gateways {
		if err := g.awaitReady(ctx); err != nil {
			return f, err
		}
	}
	time.Sleep(3 * time.Second) // until all are in touch
	return f, nil
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	for _, g := range f.gateways {
		g.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}

var lastID atomic.Uint64

// draft sends one request with one piece in its stage, which a pool runs, and reads its answer.
func (f *fleet) draft(g *gateway, client *http.Client, pool string) {
	id := fmt.Sprintf("%016x", 0x9c41000000000000+lastID.Add(1))
	f.record.want(id, 1)
	r, _ := http.NewRequest("POST", "http://"+g.clients+"/"+pool+"/2f", bytes.NewReader([]byte("body of "+id)))
	r.Host = "blend.example"
	for name, value := range map[string]string{"X-Attempt-Id": id, "X-Model": "m", "X-Token-Counts": "1460,12", "X-Prompt-Prefix": "5c1e07a2:800," + id + ":660",
		"X-Deadline-Ms": "8000", "Authorization": "Bearer " + key, "X-Pieces": "1", "X-Piece-Key": "k" + id} {
		r.Header.Set(name, value)
	}
	f.record.add("client sends %s to %s", id, g.name)
	answer, err := client.Do(r)
	if err != nil {
		f.record.add("client gets no answer to %s: %v", id, err)
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	f.record.add("client gets %d for %s, %d bytes, error %v", answer.StatusCode, id, len(body), err)
}

const (
	// extraShare bounds the share of the answers of a stage's worker that it sends twice: the largest share of
	// garble with "extra" in the site file.
	extraShare = 0.03
	// mixedTime is how long requests are sent.
	mixedTime = 90 * time.Second
	// groupPause is the mean pause between two groups of requests for a pool.
	groupPause = time.Second
)

// groupTimes are when the requests of a group are sent: three clients ask one after the other. A call of a
// stage takes 221 ms.
var groupTimes = []time.Duration{0, 250 * time.Millisecond, 540 * time.Millisecond}

// mixed sends groups of drafts for each pool while its worker sends an extra copy of a few answers.
func mixed(root string, r *record, trouble bool) int {
	var stages []*worker
	f, err := startFleet(root, r, 2, configuration(), func(s *store) error {
		for _, pool := range pools {
			w, err := startWorker("i-"+pool, "stage", 1, r)
			if err != nil {
				return err
			}
			stages = append(stages, w)
			s.put("servers", w.id, w.entry(pool, "hall-a", "ready"))
		}
		for i := range 2 {
			w, err := startWorker(fmt.Sprintf("i-model%d", i+1), "model", 64, r)
			if err != nil {
				return err
			}
			w.workTime = 500 * time.Millisecond
			s.put("servers", w.id, w.entry("blendmodel", "hall-a", "ready"))
		}
		return nil
	})
	defer f.close()
	if err != nil {
		r.add("can't start: %v", err)
		return 2
	}
	client := &http.Client{Timeout: 9 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	var all sync.WaitGroup
	end := time.Now().Add(mixedTime)
	for i, pool := range pools {
		all.Go(func() {
			for time.Now().Before(end) {
				f.group(client, pool, stages[i], trouble)
				time.Sleep(groupPause/2 + rand.N(groupPause))
			}
		})
	}
	all.Wait()
	for _, w := range stages {
		w.mu.Lock()
		r.add("%s answered %d calls and sent %d extra copies", w.id, w.calls, w.extras)
		fmt.Printf("%s answered %d calls and sent %d extra copies\n", w.id, w.calls, w.extras)
		w.mu.Unlock()
	}
	return r.end()
}

// group sends the requests of a group. With trouble, the worker of their stage sends its answer to the first
// of them twice, as far as extraShare allows.
func (f *fleet) group(client *http.Client, pool string, w *worker, trouble bool) {
	var sent sync.WaitGroup
	if trouble {
		w.doubleNext(extraShare)
	}
	for i, at := range groupTimes {
		sent.Go(func() {
			time.Sleep(at + rand.N(10*time.Millisecond))
			f.draft(f.gateways[(i+len(pool))%len(f.gateways)], client, pool)
		})
	}
	sent.Wait()
}
