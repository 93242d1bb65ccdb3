package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"acaciawinch/standin/platformfleet"
)

// BurstBodies makes many clients send long bodies to a gateway at once, some of them in chunks; half of them stop within their
// body.
// Steps of this kind are drawn from a random source of their own, so that the plans of older seeds do not change.
const BurstBodies Kind = "long bodies"

// Parameters of BurstBodies.
const (
	// longBody is the longest body that the configuration allows.
	longBody = 4 << 20
	// fewestBodies and mostBodies bound the clients of a step; a gateway has memory for about 20 of them.
	fewestBodies = 60
	mostBodies   = 240
	// chunkedEvery is how many clients there are for each one that sends its body in chunks.
	chunkedEvery = 3
	// bodyPause is the time between the first quarter of a body and the rest.
	bodyPause = 300 * time.Millisecond
	// bodyPatience bounds how long a client waits for its response.
	bodyPatience = 5 * time.Second
)

// planBodies returns the steps of a seed on long bodies.
func planBodies(seed uint64, count int) []Step {
	random := rand.New(rand.NewPCG(seed, seed^0x1f83d9ab))
	var plan []Step
	for range count {
		plan = append(plan, Step{At: between(random, 0, faultsFor), Kind: BurstBodies, Target: random.IntN(1 << 16), Choice: random.IntN(mostBodies - fewestBodies)})
	}
	return plan
}

// burstBodies sends the bodies of a step and waits until all clients have a response or have given up.
func (s *soak) burstBodies(ctx context.Context, step Step) {
	address := s.fleet.Gateways[step.Target%len(s.fleet.Gateways)].Clients
	body := bytes.Repeat([]byte("x"), longBody)
	var clients sync.WaitGroup
	for number := range fewestBodies + step.Choice {
		sent := body
		if number%2 == 0 {
			sent = body[:longBody/2]
		}
		chunked := number%chunkedEvery == 0
		clients.Go(func() {
			s.sendLong(ctx, address, fmt.Sprintf("%sbody-%d-%d", probePrefix, step.At, number), sent, chunked)
		})
	}
	clients.Wait()
	s.checkMemory()
}

// sendLong sends the head of a request with a long body, and what its client sends of the body. A gateway that
// faults strike gives no response.
func (s *soak) sendLong(ctx context.Context, address, id string, part []byte, chunked bool) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // the response was read
	if conn.SetDeadline(time.Now().Add(bodyPatience)) != nil {
		return
	}
	length, end := fmt.Sprintf("Content-Length: %d\r\n\r\n", longBody), ""
	if chunked {
		length, end = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", longBody), "\r\n0\r\n\r\n"
	}
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s",
			safeRoute, platformfleet.Host, id, bodyPatience.Milliseconds(), platformfleet.Key, length)
		// All bodies have begun before the first one ends. A refused client is cut.
		_, _ = conn.Write(part[:longBody/4])
		sleep(ctx, bodyPause)
		_, _ = conn.Write(part[longBody/4:])
		if len(part) == longBody {
			_, _ = io.WriteString(conn, end)
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	stalled := len(part) < longBody
	switch {
	case stalled && response.StatusCode == http.StatusOK:
		s.addViolation("a request whose body never came got status 200")
	case stalled && response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "":
		s.addViolation("a request whose body never came got status 503 without a Retry-After")
	}
}

// checkMemory checks that no running gateway has used more memory than its settings allow.
func (s *soak) checkMemory() {
	for i, g := range s.fleet.Gateways {
		if !g.Running() {
			continue
		}
		if peak := peakMB(g.PID()); peak > platformfleet.MemoryMB {
			s.addViolation("gateway %d has used %d of %d MB", i+1, peak, platformfleet.MemoryMB)
		}
	}
}

// peakMB returns the most memory that a process has used, in MiB; 0 if it has ended.
func peakMB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB")) // 0 if it can't be read
			return kb >> 10
		}
	}
	return 0
}
