package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// memory lets clients send the longest bodies that the configuration allows, at the pace of their own links. The
// stand-in of the platform kills a process that exceeds its memory, as DEPLOY.md says.
func memory(root string, r *record, trouble bool) int {
	usual, burst := 24, 2.5
	if v := os.Getenv("CLIENTS"); v != "" {
		fmt.Sscan(v, &usual)
	}
	if !trouble {
		burst = 1
	}
	f, err := startFleet(root, r, 1, configuration(), func(s *store) error {
		for i := range 3 {
			w, err := startWorker(fmt.Sprintf("i-desk%d", i+1), "plain", 6, r)
			if err != nil {
				return err
			}
			s.put("servers", w.id, w.entry("orderdesk", "hall-a", "ready"))
		}
		return nil
	})
	defer f.close()
	if err != nil {
		r.add("can't start: %v", err)
		return 2
	}
	g := f.gateways[0]
	killed, most := false, 0.0
	done := make(chan struct{})
	go func() {
		for g.running() {
			if rss := g.rssMB(); rss > most {
				most = rss
			}
			if most > memoryMB*1.048576 {
				killed = true
				r.breaks("FAULT: %s uses %.0f MB, more than its %d MB: the platform kills it", g.name, most, memoryMB)
				_ = g.command.Process.Signal(syscall.SIGKILL)
				return
			}
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	body := bytes.Repeat([]byte("x"), 4194304)
	var all sync.WaitGroup
	for i := range int(float64(usual) * burst) {
		all.Go(func() {
			time.Sleep(rand.N(500 * time.Millisecond))
			id := fmt.Sprintf("%016x", 0x7c41000000000000+uint64(i))
			c, err := net.Dial("tcp", g.clients)
			if err != nil {
				r.add("client can't connect for %s: %v", id, err)
				return
			}
			defer c.Close()
			fmt.Fprintf(c, "POST /orders/2f HTTP/1.1\r\nHost: orders.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", id, key, len(body))
			started := time.Now()
			for sent := 0; sent < len(body); sent += 65536 {
				if _, err := c.Write(body[sent : sent+65536]); err != nil {
					break
				}
				time.Sleep(time.Until(started.Add(time.Duration(float64(sent) / float64(len(body)) * 2.5 * float64(time.Second)))))
			}
			answer, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				r.add("client gets no answer to %s: %v", id, err)
				return
			}
			_, err = io.Copy(io.Discard, answer.Body)
			r.add("client gets %d for %s, error %v", answer.StatusCode, id, err)
		})
	}
	all.Wait()
	close(done)
	r.add("most memory %.0f MB, killed %t", most, killed)
	fmt.Printf("most memory %.0f MB, killed %t\n", most, killed)
	return r.end()
}
