package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// longBody is max_body_bytes, the longest body that a requester may send.
	longBody = 4194304
	// uploadTime is how long a client takes for its body: 60 of them take 0.8 of the gateway's link.
	uploadTime = 2500 * time.Millisecond
	// usualUploads is the usual number of clients that send a long body at the same time, burst the largest x of a burst.
	usualUploads, burst = 24, 2.5
	// keptClients is the number of clients that send orders on kept channels, allowedLosses how many of these may be
	// lost.
	keptClients, allowedLosses = 16, 3
)

// memory lets clients send long bodies at the pace of their own links, while others send orders on kept channels.
// With trouble many clients come at once. The stand-in of the platform kills a process that exceeds its memory.
func memory(root string, r *record, trouble bool) int {
	uploads := usualUploads
	if trouble {
		uploads = int(usualUploads * burst)
	}
	f, err := startFleet(root, r, 1, configuration(), func(s *store) error {
		for i := range 3 {
			w, err := startWorker(fmt.Sprintf("i-desk%d", i+1), "plain", 6, r)
			if err != nil {
				return err
			}
			w.workTime = 200 * time.Millisecond
			s.put("servers", w.id, w.entry("orderdesk", "hall-a", "ready"))
		}
		return nil
	})
	defer f.close()
	if err != nil {
		r.add("can't start: %v", err)
		return 2
	}
	var mu sync.Mutex
	ran := map[string]bool{}
	r.arrival = func(_ *worker, request *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		ran[request.Header.Get("X-Attempt-Id")] = true
	}
	g := f.gateways[0]
	done := make(chan struct{})
	var all, watch sync.WaitGroup
	most := 0.0
	watch.Go(func() {
		for g.running() {
			most = max(most, g.rssMB())
			if most > float64(memoryMB)*1.048576 {
				r.add("%s uses %.0f MB, more than its %d MB: the platform kills it", g.name, most/1.048576, memoryMB)
				_ = g.command.Process.Signal(syscall.SIGKILL)
				return
			}
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
	end := time.Now().Add(6 * time.Second)
	var lost []string
	for range keptClients {
		all.Go(func() {
			id := f.keepOrdering(g, end)
			mu.Lock()
			defer mu.Unlock()
			if id != "" && ran[id] {
				lost = append(lost, id)
			}
		})
	}
	time.Sleep(time.Second)
	for range uploads {
		all.Go(func() { f.upload(g) })
	}
	all.Wait()
	close(done)
	watch.Wait()
	text := fmt.Sprintf("%d long bodies at once: most memory %.0f of %d MB", uploads, most/1.048576, memoryMB)
	r.add("%s", text)
	fmt.Println(text)
	if len(lost) > allowedLosses {
		r.breaks("LOST: %d requests from kept channels were passed on to sound workers, and their channels closed without an answer: %v", len(lost), lost)
	}
	return r.end()
}

// keepOrdering sends orders on one channel until a time. It returns the id of the order on which the channel was
// closed without an answer, if there was one.
func (f *fleet) keepOrdering(g *gateway, end time.Time) (lost string) {
	c, err := net.Dial("tcp", g.clients)
	if err != nil {
		return ""
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for time.Now().Before(end) {
		id := fmt.Sprintf("%016x", 0x5c41000000000000+lastID.Add(1))
		f.record.add("client sends %s to %s on a kept channel", id, g.name)
		fmt.Fprintf(c, "POST /orders/2f HTTP/1.1\r\nHost: orders.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", id, key)
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			f.record.add("client gets no answer to %s: %v", id, err)
			return id
		}
		_, err = io.Copy(io.Discard, answer.Body)
		f.record.add("client gets %d for %s, error %v", answer.StatusCode, id, err)
		time.Sleep(rand.N(50 * time.Millisecond))
	}
	return ""
}

// upload sends one order with a long body.
func (f *fleet) upload(g *gateway) {
	time.Sleep(rand.N(500 * time.Millisecond))
	id := fmt.Sprintf("%016x", 0x7c41000000000000+lastID.Add(1))
	c, err := net.Dial("tcp", g.clients)
	if err != nil {
		f.record.add("client can't connect for %s: %v", id, err)
		return
	}
	defer c.Close()
	f.record.add("client sends %s to %s, with a body of %d bytes", id, g.name, longBody)
	fmt.Fprintf(c, "POST /orders/2f HTTP/1.1\r\nHost: orders.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", id, key, longBody)
	const part = 65536
	piece := bytes.Repeat([]byte("x"), part)
	started := time.Now()
	for sent := 0; sent < longBody; sent += part {
		if _, err := c.Write(piece); err != nil {
			break
		}
		time.Sleep(time.Until(started.Add(uploadTime * time.Duration(sent) / longBody)))
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		f.record.add("client gets no answer to %s: %v", id, err)
		return
	}
	_, err = io.Copy(io.Discard, answer.Body)
	f.record.add("client gets %d for %s, error %v", answer.StatusCode, id, err)
}
