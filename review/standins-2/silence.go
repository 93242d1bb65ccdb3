package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// drainBound is drain_ms, contact contact_ms of the sheets.
	drainBound = 2 * time.Second
	contact    = 3 * time.Second
	// silenceTime is how long the store is silent; the site's longest silence of it is 5.6 s.
	silenceTime = 500 * time.Millisecond
	// silences is how often the store is silent in a run.
	silences = 3
)

// silence makes the store silent for a moment, shortly after a worker has left. Later, when all is in touch again,
// another worker says that it leaves.
func silence(root string, r *record, trouble bool) int {
	desks := []*worker{}
	desk := func(s *store) (*worker, error) {
		w, err := startWorker(fmt.Sprintf("i-desk%d", len(desks)+1), "plain", 6, r)
		if err != nil {
			return nil, err
		}
		desks = append(desks, w)
		s.put("servers", w.id, w.entry("orderdesk", "hall-a", "ready"))
		return w, nil
	}
	f, err := startFleet(root, r, 2, configuration(), func(s *store) error {
		for range 3 + silences {
			if _, err := desk(s); err != nil {
				return err
			}
		}
		return nil
	})
	defer f.close()
	if err != nil {
		r.add("can't start: %v", err)
		return 2
	}
	var mu sync.Mutex
	left := map[string]time.Time{} // when the store acknowledged that a worker leaves
	r.arrival = func(w *worker, request *http.Request) {
		mu.Lock()
		at, leaving := left[w.id]
		mu.Unlock()
		if late := time.Since(at); leaving && late > drainBound {
			r.breaks("DRAIN: request %s reaches %s %d ms after the store acknowledged that it leaves", request.Header.Get("X-Attempt-Id"), w.id, late.Milliseconds())
		}
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	for i := range 8 {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
					f.order(client, f.gateways[i%len(f.gateways)])
				}
			}
		})
	}
	leave := func(w *worker) {
		w.mu.Lock()
		w.draining = true
		w.mu.Unlock()
		at := f.store.put("servers", w.id, w.entry("orderdesk", "hall-a", "draining"))
		r.add("%s leaves: acknowledged by the store", w.id)
		mu.Lock()
		left[w.id] = at
		mu.Unlock()
	}
	next := 0
	for range silences {
		added, err := desk(f.store) // the change of which the gateways hear before the silence
		if err != nil {
			return 2
		}
		r.add("%s starts: acknowledged by the store", added.id)
		time.Sleep(300 * time.Millisecond)
		if trouble {
			r.add("the store is silent for %v", silenceTime)
			f.store.silence(true)
		}
		time.Sleep(silenceTime)
		if trouble {
			f.store.silence(false)
			r.add("the store answers again")
		}
		time.Sleep(contact + 100*time.Millisecond)
		leave(desks[next])
		next++
		time.Sleep(8 * time.Second)
	}
	close(stop)
	clients.Wait()
	return r.end()
}

// order sends one request to the plain service and reads its answer.
func (f *fleet) order(client *http.Client, g *gateway) {
	id := fmt.Sprintf("%016x", 0x6c41000000000000+lastID.Add(1))
	r, _ := http.NewRequest("POST", "http://"+g.clients+"/orders/2f", nil)
	r.Host = "orders.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", "1000")
	r.Header.Set("Authorization", "Bearer "+key)
	f.record.add("client sends %s to %s", id, g.name)
	answer, err := client.Do(r)
	if err != nil {
		f.record.add("client gets no answer to %s: %v", id, err)
		return
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	f.record.add("client gets %d for %s, error %v", answer.StatusCode, id, err)
}
