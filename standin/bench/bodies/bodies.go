// Package bodies measures what a gateway does when many clients send long bodies at once: its peak memory,
// and how many requests are served, refused and lost, beside clients with small requests.
package bodies

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"acaciawinch/standin/platformdoc"
	"acaciawinch/standin/platformfleet"
)

// Modes of the bodies.
const (
	// Length gives each body a Content-Length, Chunked none.
	Length  = "length"
	Chunked = "chunked"
	// Stalling is Length, but every second client stops after half of its body and keeps its connection.
	Stalling = "stalling"
)

// Parameters of a run.
const (
	bodyBytes = 4 << 20
	partBytes = 64 << 10
	// arriveTime is the time within which all clients begin, sendTime how long each takes for its body.
	arriveTime = 500 * time.Millisecond
	sendTime   = 2500 * time.Millisecond
	// patience is how long a client repeats a request that was refused.
	patience = 12 * time.Second
	// leastTime is the time that a client must have left to try again.
	leastTime = time.Second
	// smallClients send small requests one after the other.
	smallClients = 16
	// smallTimeout bounds a small request, smallPause is the time between two of a client.
	smallTimeout = 3 * time.Second
	smallPause   = 20 * time.Millisecond
	// applyTime is longer than a change of the configuration takes, workTime is how long the upstream works.
	applyTime = time.Second
	workTime  = 50 * time.Millisecond
	// memoryMB is that of the gateway's settings; a process above it is killed, as by the platform.
	memoryMB = 284
)

// Options are the settings of a run.
type Options struct {
	// Bin is the folder of the built programs.
	Bin     string
	Clients int
	Mode    string
}

// Result is what clients saw.
type Result struct {
	Clients int
	Mode    string
	// PeakMB is the peak of the gateway's memory in MiB; Killed is set if it exceeded its setting.
	PeakMB float64
	Killed bool
	// Sending clients sent their whole body. Served of them got a success, Refused were refused at their last
	// try, the others got no response.
	Sending, Served, Refused int
	// Tries counts the requests with long bodies.
	Tries int
	// SmallServed and SmallFailed count the small requests.
	SmallServed, SmallFailed int
}

// run is the state of a run.
type run struct {
	options Options
	address string

	mu     sync.Mutex
	result Result
}

// Run plays one run.
func Run(ctx context.Context, o Options) (Result, error) {
	upstream := httptest.NewServer(http.HandlerFunc(answer))
	defer upstream.Close()
	fleet, err := platformfleet.Start(ctx, platformfleet.Options{Bin: o.Bin, Gateways: 1})
	if err != nil {
		return Result{}, err
	}
	defer fleet.Kill()
	if err := prepare(fleet, strings.TrimPrefix(upstream.URL, "http://")); err != nil {
		return Result{}, err
	}
	gateway := fleet.Gateways[0]
	r := &run{options: o, address: gateway.Clients, result: Result{Clients: o.Clients, Mode: o.Mode}}
	watching, stop := context.WithCancel(ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		r.watchMemory(watching, gateway)
	}()
	small, stopSmall := context.WithCancel(ctx)
	var clients, smallOnes sync.WaitGroup
	for number := range smallClients {
		smallOnes.Go(func() { r.sendSmall(small, number) })
	}
	for number := range o.Clients {
		clients.Go(func() {
			time.Sleep(arriveTime * time.Duration(number) / time.Duration(o.Clients))
			r.sendLong(number)
		})
	}
	clients.Wait()
	stopSmall()
	smallOnes.Wait()
	stop()
	<-watched
	return r.result, nil
}

// answer is the upstream: it reads the body and responds.
func answer(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Response-Stamp", "stamp")
	time.Sleep(workTime)
}

// prepare makes the configuration allow long bodies, and puts the upstream in the place of the stand-ins.
func prepare(f *platformfleet.Fleet, upstream string) error {
	document := platformfleet.Configuration()
	document.Version, document.Limits.MaxBodyBytes = 2, bodyBytes
	service := document.Routes[0].Service
	for i := range document.Routes {
		document.Routes[i].TimeoutMS = int(patience.Milliseconds())
	}
	f.Store.Put("config", "main", document)
	for _, name := range f.WorkerIDs(service) {
		f.Store.Remove("servers", name)
	}
	f.Store.Put("servers", "bodies-1", platformdoc.Worker{Service: service, Address: upstream, Zone: "sala-inaquito", Slots: 512, State: "ready"})
	time.Sleep(applyTime)
	return nil
}

// watchMemory records the peak of the gateway's memory, and kills it above memoryMB.
func (r *run) watchMemory(ctx context.Context, g *platformfleet.Gateway) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for g.Running() {
		used := residentMB(g.PID())
		r.mu.Lock()
		r.result.PeakMB = max(r.result.PeakMB, used)
		r.result.Killed = r.result.Killed || used > memoryMB
		killed := r.result.Killed
		r.mu.Unlock()
		if killed {
			g.Kill()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// residentMB returns the memory of a process in MiB.
func residentMB(pid int) float64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(content))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// sendSmall sends small requests on one connection until ctx ends.
func (r *run) sendSmall(ctx context.Context, number int) {
	for try := 0; ctx.Err() == nil; try++ {
		conn, err := net.Dial("tcp", r.address)
		reader := bufio.NewReader(conn)
		for ; err == nil && ctx.Err() == nil; try++ {
			var status int
			_ = conn.SetDeadline(time.Now().Add(smallTimeout)) // if it fails, so does the write
			if err = writeHead(conn, fmt.Sprintf("small-%d-%d", number, try), "Content-Length: 0\r\n", smallTimeout); err == nil {
				status, _, err = readStatus(reader)
			}
			r.countSmall(err == nil && status == http.StatusOK)
			time.Sleep(smallPause)
		}
		if conn != nil {
			_ = conn.Close() // it has failed, or the run is over
		}
		time.Sleep(smallPause)
	}
}

// countSmall counts a small request.
func (r *run) countSmall(served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if served {
		r.result.SmallServed++
	} else {
		r.result.SmallFailed++
	}
}

// sendLong sends a request with a long body, again when it is refused, until it is served or patience is over.
func (r *run) sendLong(number int) {
	stalls := r.options.Mode == Stalling && number%2 == 0
	status, began := 0, time.Now()
	for try := 0; time.Since(began) < patience-leastTime; try++ {
		var after time.Duration
		var err error
		status, after, err = r.tryLong(fmt.Sprintf("long-%d-%d", number, try), patience-time.Since(began), stalls)
		r.mu.Lock()
		r.result.Tries++
		r.mu.Unlock()
		if err != nil || status != http.StatusServiceUnavailable || stalls {
			break
		}
		time.Sleep(after)
	}
	if stalls {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sending++
	switch status {
	case http.StatusOK:
		r.result.Served++
	case http.StatusServiceUnavailable, http.StatusRequestTimeout:
		r.result.Refused++
	}
}

// tryLong sends one request and reads its response.
func (r *run) tryLong(id string, remaining time.Duration, stalls bool) (status int, retryAfter time.Duration, err error) {
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = conn.Close() }() // the response was read
	if err := conn.SetDeadline(time.Now().Add(remaining)); err != nil {
		return 0, 0, err
	}
	length := fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)
	if r.options.Mode == Chunked {
		length = "Transfer-Encoding: chunked\r\n"
	}
	if err := writeHead(conn, id, length, remaining); err != nil {
		return 0, 0, err
	}
	refused := make(chan struct{})
	go func() {
		defer close(refused)
		status, retryAfter, err = readStatus(bufio.NewReader(conn))
	}()
	r.writeBody(conn, refused, stalls)
	<-refused
	return status, retryAfter, err
}

// writeBody writes a body at the pace of its client until a response has come.
func (r *run) writeBody(conn net.Conn, responded <-chan struct{}, stalls bool) {
	part := make([]byte, partBytes)
	began := time.Now()
	for sent := 0; sent < bodyBytes; sent += partBytes {
		select {
		case <-responded:
			return
		case <-time.After(time.Until(began.Add(sendTime * time.Duration(sent) / bodyBytes))):
		}
		if stalls && sent >= bodyBytes/2 {
			return
		}
		if r.options.Mode == Chunked {
			_, _ = fmt.Fprintf(conn, "%x\r\n", partBytes) // the next write fails too
		}
		if _, err := conn.Write(part); err != nil {
			return
		}
		if r.options.Mode == Chunked {
			_, _ = io.WriteString(conn, "\r\n") // the next write fails too
		}
	}
	if r.options.Mode == Chunked {
		_, _ = io.WriteString(conn, "0\r\n\r\n") // a client that is cut gets its response, or none
	}
}

// writeHead writes the head of a request.
func writeHead(to net.Conn, id, length string, remaining time.Duration) error {
	_, err := fmt.Fprintf(to, "POST /saldo/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s\r\n",
		platformfleet.Host, id, remaining.Milliseconds(), platformfleet.Key, length)
	return err
}

// readStatus reads a response and returns its status and Retry-After.
func readStatus(from *bufio.Reader) (int, time.Duration, error) {
	resp, err := http.ReadResponse(from, nil)
	if err != nil {
		return 0, 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 if there is none
	return resp.StatusCode, time.Duration(seconds * float64(time.Second)), err
}
