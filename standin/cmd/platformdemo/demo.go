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

// clients is how many clients send at once, and patience how long one waits.
const (
	clients  = 6
	patience = 8 * time.Second
)

// streamEvents is how many events a whole stream has.
const streamEvents = 5

// demo sends requests and keeps what came back.
type demo struct {
	fleet *platformfleet.Fleet

	mu      sync.Mutex
	answers []answer
}

// answer is what a client got for a request.
type answer struct {
	id, kind string
	status   int
	body     string
	// whole is set if the answer came to its end.
	whole bool
}

// kinds are the kinds of requests in turn.
var kinds = []string{"saldo", "cupon", "consulta"}

// send sends requests from several clients. A third of the way a worker leaves, at two
// thirds a gateway is killed and started again.
func (d *demo) send(ctx context.Context, requests int) {
	numbers := make(chan int)
	var senders sync.WaitGroup
	for range clients {
		senders.Go(func() {
			for number := range numbers {
				d.one(ctx, number)
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

// one sends a request to the gateways in turn, as the platform's balancer would. An
// idempotent one, or one whose connection could not be opened, goes to the next.
func (d *demo) one(ctx context.Context, number int) {
	kind := kinds[number%len(kinds)]
	var got answer
	for try := range len(d.fleet.Gateways) {
		id := fmt.Sprintf("r%d-%d", number, try)
		gateway := d.fleet.Gateways[(number+try)%len(d.fleet.Gateways)]
		got = answer{id: id, kind: kind}
		err := ask(ctx, gateway.Clients, &got)
		d.mu.Lock()
		d.answers = append(d.answers, got)
		d.mu.Unlock()
		var refused *net.OpError
		again := errors.As(err, &refused) && refused.Op == "dial" || got.status == http.StatusServiceUnavailable || kind == "cupon" && got.status != http.StatusOK
		if !again {
			return
		}
	}
}

// ask sends one request on a connection of its own.
func ask(ctx context.Context, address string, a *answer) error {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, text(a)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	a.status, a.body, a.whole = resp.StatusCode, string(body), err == nil
	return nil
}

// text returns a request as it is sent.
func text(a *answer) string {
	method := "POST"
	if a.kind == "cupon" {
		method = "GET"
	}
	head := fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 6000\r\nAuthorization: Bearer %s\r\n",
		method, a.kind, platformfleet.Host, a.id, platformfleet.Key)
	if a.kind == "consulta" {
		head += "X-Pieces: 2,3\r\nX-Piece-Key: k\r\nX-Prompt-Prefix: aa:100,bb:20\r\nX-Token-Counts: 120,15\r\n"
	}
	return head + "\r\n"
}

// judge checks what clients got against what workers ran, and prints a summary.
func (d *demo) judge() error {
	runs := d.fleet.Runs()
	counts := make(map[string]int)
	var wrong []error
	for _, a := range d.answers {
		switch {
		case a.whole && a.status == http.StatusOK:
			counts["answered"]++
		case a.status == 0:
			counts["no answer"]++
		default:
			counts[fmt.Sprintf("status %d", a.status)]++
		}
		wrong = append(wrong, check(a, runs[a.id]))
	}
	fmt.Printf("%d sends: %v\n", len(d.answers), counts)
	if counts["answered"] == 0 {
		wrong = append(wrong, errors.New("nothing was answered"))
	}
	return errors.Join(wrong...)
}

// check checks one answer against the runs of its request.
func check(a answer, runs int) error {
	switch {
	case a.kind == "saldo" && runs > 1:
		return fmt.Errorf("%s ran %d times", a.id, runs)
	case a.status == http.StatusServiceUnavailable && runs > 0:
		return fmt.Errorf("%s was refused with 503 and ran", a.id)
	case a.whole && a.status == http.StatusOK && runs == 0:
		return fmt.Errorf("%s was answered and never ran", a.id)
	case a.whole && a.status == http.StatusOK && !strings.Contains(a.body, a.id):
		return fmt.Errorf("%s got another answer: %q", a.id, a.body)
	case a.whole && a.status == http.StatusOK && a.kind == "consulta" && strings.Count(a.body, "id: ") != streamEvents:
		return fmt.Errorf("%s got a stream with gaps: %q", a.id, a.body)
	}
	return nil
}
