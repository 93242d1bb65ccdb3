package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// mill is a service that runs a stage of one route and all requests of another one.
	mill = "mill"
	// twiceTime is how long requests are sent.
	twiceTime = 95 * time.Second
	// garbleTime is how long one worker of three garbles its answers, garblePause the pause until another one does:
	// the site file has a share of 0.6 for 5 s.
	garbleTime, garblePause = 5 * time.Second, 2 * time.Second
	// orderClients and draftClients are the clients of the two routes, which ask after each answer again.
	orderClients, draftClients = 9, 4
)

// millConfiguration is a configuration in which one service serves a stage and a route.
func millConfiguration() map[string]any {
	c := configuration()
	stages := []any{map[string]any{"service": mill, "after": []int{}, "byte_count": 8000}}
	c["routes"] = []any{
		map[string]any{"name": "drafts", "host": "blend.example", "path_prefix": "/" + mill + "/", "route_kind": "streaming", "timeout_ms": 8000, "goal_ms": 2000, "priority": 1,
			"service": "blendmodel", "max_attempts": 2, "resumable": true, "sticky": true, "gap_goal_ms": 300, "anonymous": false, "stages": stages},
		map[string]any{"name": "orders", "host": "orders.example", "path_prefix": "/orders/", "route_kind": "unsafe", "timeout_ms": 4000, "goal_ms": 500, "priority": 2,
			"service": mill, "max_attempts": 2, "stages": []any{}, "anonymous": false, "sticky": false, "resumable": false},
	}
	c["services"] = []any{
		map[string]any{"name": "blendmodel", "health_path": "/healthz", "max_conns": 280, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kv_capacity": 404836, "kv_token_bytes": 163840, "link_mbps": 130000.0}},
		map[string]any{"name": mill, "health_path": "/healthz", "max_conns": 280, "protocol": "h1", "tls": false,
			"pieces": map[string]any{"slots": 1, "queue": 2, "batch": 8, "call_ms": 200.0, "item_ms": 21.0, "headroom_mb": 18.0, "handle_s": 4.0, "link_mbps": 10000}},
	}
	return c
}

// twice sends orders, which must not run twice, and drafts, whose stage the same workers run. A worker that is full
// rejects calls of the stage, and sends some of these rejections twice.
func twice(root string, r *record, trouble bool) int {
	var workers []*worker
	f, err := startFleet(root, r, 2, millConfiguration(), func(s *store) error {
		for i := range 3 {
			w, err := startWorker(fmt.Sprintf("i-mill%d", i+1), "stage", 1, r)
			if err != nil {
				return err
			}
			w.queue = 2
			workers = append(workers, w)
			s.put("servers", w.id, w.entry(mill, "hall-a", "ready"))
		}
		for i := range 2 {
			w, err := startWorker(fmt.Sprintf("i-model%d", i+1), "model", 64, r)
			if err != nil {
				return err
			}
			s.put("servers", w.id, w.entry("blendmodel", "hall-a", "ready"))
		}
		return nil
	})
	defer f.close()
	if err != nil {
		r.add("can't start: %v", err)
		return 2
	}
	var mu sync.Mutex
	runs := map[string][]string{}
	statuses := map[string]int{}
	r.arrival = func(w *worker, request *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		id := request.Header.Get("X-Attempt-Id")
		runs[id] = append(runs[id], w.id)
	}
	client := &http.Client{Timeout: 9 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	end := time.Now().Add(twiceTime)
	var all sync.WaitGroup
	for i := range orderClients {
		all.Go(func() {
			for time.Now().Before(end) {
				id, status := f.unsafe(client, f.gateways[i%len(f.gateways)])
				mu.Lock()
				statuses[id] = status
				mu.Unlock()
				time.Sleep(rand.N(100 * time.Millisecond))
			}
		})
	}
	if trouble {
		all.Go(func() {
			for i := 0; time.Now().Add(garbleTime).Before(end); i++ {
				w := workers[i%len(workers)]
				r.add("%s begins to garble its answers", w.id)
				w.garble(true)
				time.Sleep(garbleTime)
				w.garble(false)
				r.add("%s garbles its answers no longer", w.id)
				time.Sleep(garblePause)
			}
		})
	}
	for i := range draftClients {
		all.Go(func() {
			for time.Now().Before(end) {
				f.draft(f.gateways[i%len(f.gateways)], client, mill)
				time.Sleep(rand.N(100 * time.Millisecond))
			}
		})
	}
	all.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	for id, status := range statuses {
		switch at := runs[id]; {
		case len(at) > 1:
			r.breaks("TWICE: the unsafe request %s ran at %v, answered %d", id, at, status)
		case len(at) > 0 && (status == 503 || status == 429 || status == 408 || status == 421):
			r.breaks("REFUSED: the unsafe request %s ran at %v and was answered %d", id, at, status)
		}
	}
	mu.Unlock()
	for _, w := range workers {
		w.mu.Lock()
		text := fmt.Sprintf("%s gave %d answers, %d of them rejections of calls of the stage, and sent %d of these twice", w.id, w.answers, w.rejected, w.extras)
		w.mu.Unlock()
		r.add("%s", text)
		fmt.Println(text)
	}
	return r.end()
}

// unsafe sends one order and returns its id and the status of the answer, 0 for none.
func (f *fleet) unsafe(client *http.Client, g *gateway) (string, int) {
	id := fmt.Sprintf("%016x", 0x5c41000000000000+lastID.Add(1))
	r, _ := http.NewRequest("POST", "http://"+g.clients+"/orders/2f", bytes.NewReader([]byte("order "+id)))
	r.Host = "orders.example"
	for name, value := range map[string]string{"X-Attempt-Id": id, "X-Deadline-Ms": "4000", "Authorization": "Bearer " + key} {
		r.Header.Set(name, value)
	}
	f.record.add("client sends the unsafe request %s to %s", id, g.name)
	answer, err := client.Do(r)
	if err != nil {
		f.record.add("client gets no answer to %s: %v", id, err)
		return id, 0
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	f.record.add("client gets %d for %s, error %v", answer.StatusCode, id, err)
	return id, answer.StatusCode
}
