package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"acaciawinch/standin/platformfleet"
)

// clients is the number of concurrent clients, clientTimeout the time after which a
// client gives up on a request.
const (
	clients       = 6
	clientTimeout = 8 * time.Second
)

// streamEvents is the number of events of a complete stream.
const streamEvents = 5

// demo sends requests and records the responses. mu guards responses.
type demo struct {
	fleet *platformfleet.Fleet

	mu        sync.Mutex
	responses []response
}

// response is the result of one send of a request. status is 0 if no response arrived.
type response struct {
	id, kind string
	status   int
	body     string
	// complete is set if the whole body was read.
	complete bool
}

// kinds are the kinds of requests, which are sent in rotation.
var kinds = []string{"saldo", "cupon", "consulta"}

// sendAll sends requests from concurrent clients. After a third of the requests it removes
// a worker, after two thirds it kills a gateway, after five sixths it restarts that
// gateway.
func (d *demo) sendAll(ctx context.Context, requests int) {
	numbers := make(chan int)
	var senders sync.WaitGroup
	for range clients {
		senders.Go(func() {
			for number := range numbers {
				d.sendWithRetries(ctx, number)
			}
		})
	}
	for number := range requests {
		switch number {
		case requests / 3:
			d.fleet.RemoveWorker("libro-bonos")
		case 2 * requests / 3:
			d.fleet.Gateways[0].Kill()
		case 5 * requests / 6:
			if err := d.fleet.Gateways[0].Restart(ctx); err != nil {
				fmt.Println("the killed gateway does not come back:", err)
			}
		}
		numbers <- number
	}
	close(numbers)
	senders.Wait()
}

// sendWithRetries sends a request like the platform's load balancer would. It starts at
// the gateway next in rotation and retries at the following ones if the connection could
// not be opened, if the status is 503, or if a request of the idempotent kind failed.
func (d *demo) sendWithRetries(ctx context.Context, number int) {
	kind := kinds[number%len(kinds)]
	var result response
	for attempt := range len(d.fleet.Gateways) {
		id := fmt.Sprintf("r%d-%d", number, attempt)
		gateway := d.fleet.Gateways[(number+attempt)%len(d.fleet.Gateways)]
		result = response{id: id, kind: kind}
		err := sendOnce(ctx, gateway.Clients, &result)
		d.mu.Lock()
		d.responses = append(d.responses, result)
		d.mu.Unlock()
		var dialError *net.OpError
		retry := errors.As(err, &dialError) && dialError.Op == "dial" || result.status == http.StatusServiceUnavailable || kind == "cupon" && result.status != http.StatusOK
		if !retry {
			return
		}
	}
}

// sendOnce sends one request on a new connection and fills in the response r.
func sendOnce(ctx context.Context, address string, r *response) error {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, requestText(r)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	r.status, r.body, r.complete = resp.StatusCode, string(body), err == nil
	return nil
}

// requestText returns the HTTP request for r as it is written to the connection.
func requestText(r *response) string {
	method := "POST"
	if r.kind == "cupon" {
		method = "GET"
	}
	head := fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 6000\r\nAuthorization: Bearer %s\r\n",
		method, r.kind, platformfleet.Host, r.id, platformfleet.Key)
	if r.kind == "consulta" {
		head += "X-Pieces: 2,3\r\nX-Piece-Key: k\r\nX-Prompt-Prefix: aa:100,bb:20\r\nX-Token-Counts: 120,15\r\n"
	}
	return head + "\r\n"
}

// judge checks the clients' responses against the runs at the workers and prints a
// summary.
func (d *demo) judge() error {
	runs := d.fleet.Runs()
	counts := make(map[string]int)
	var violations []error
	for _, r := range d.responses {
		switch {
		case r.complete && r.status == http.StatusOK:
			counts["answered"]++
		case r.status == 0:
			counts["no answer"]++
		default:
			counts[fmt.Sprintf("status %d", r.status)]++
		}
		violations = append(violations, checkResponse(r, runs[r.id]))
	}
	fmt.Printf("%d sends: %v\n", len(d.responses), counts)
	if counts["answered"] == 0 {
		violations = append(violations, errors.New("nothing was answered"))
	}
	return errors.Join(violations...)
}

// checkResponse checks one response against the number of runs of its request.
func checkResponse(r response, runs int) error {
	switch {
	case r.kind == "saldo" && runs > 1:
		return fmt.Errorf("%s ran %d times", r.id, runs)
	case r.status == http.StatusServiceUnavailable && runs > 0:
		return fmt.Errorf("%s was refused with 503 and ran", r.id)
	case r.complete && r.status == http.StatusOK && runs == 0:
		return fmt.Errorf("%s was answered and never ran", r.id)
	case r.complete && r.status == http.StatusOK && !strings.Contains(r.body, r.id):
		return fmt.Errorf("%s got another answer: %q", r.id, r.body)
	case r.complete && r.status == http.StatusOK && r.kind == "consulta" && strings.Count(r.body, "id: ") != streamEvents:
		return fmt.Errorf("%s got a stream with gaps: %q", r.id, r.body)
	}
	return nil
}
