// Package tap is a proxy between the entries and one sidecar. It speaks the drpc service
// of sidecars in both directions, so that a test can hold single messages and deliver
// them late, twice, out of order or to the wrong request, which a real sidecar never
// does. It can also cut connections.
package tap

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"acaciawinch/standin/faults/hold"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

// Direction is a direction of traffic through a tap.
type Direction int

// The directions.
const (
	ToSide Direction = iota
	FromSide
)

// Point names a position on the path of a message.
type Point string

// The points at which messages can be held.
const (
	// Probe, Run, Cancel, Acknowledge and Resolve are requests that have not reached the
	// sidecar yet.
	Probe       Point = "probe"
	Run         Point = "run"
	Cancel      Point = "cancel"
	Acknowledge Point = "acknowledge"
	Resolve     Point = "resolve"
	// Started, Chunk and Done are events that have not reached the entry yet.
	Started Point = "started"
	Chunk   Point = "chunk"
	Done    Point = "done"
)

// Message is one message in transit through a tap.
type Message struct {
	Point Point
	// Upstream is the name of the sidecar's upstream.
	Upstream string
	Request  string
	Stage    string
	// Chunk is the number of a chunk.
	Chunk uint64
}

// Gate holds the messages of all taps of a test.
type Gate = hold.Gate[Message]

// Tap is the proxy of one sidecar. It is safe for concurrent use.
type Tap struct {
	name   string
	target string
	addr   string
	gate   *Gate
	server *link.Server
	dialer *link.Dialer
	silent [2]atomic.Bool
	runs   atomic.Uint64

	mu         sync.Mutex
	listener   net.Listener
	conns      map[net.Conn]struct{}
	tamper     NewTamper
	runRewrite RunRewrite
	replays    int
	cut        bool
}

// New returns a tap that listens on address and forwards to the sidecar at target. Key
// is the fleet's key, which both ends of a connection prove to each other.
func New(name, address, target, key string, gate *Gate) (*Tap, error) {
	t := &Tap{
		name:   name,
		target: target,
		addr:   address,
		gate:   gate,
		server: link.NewServer(key),
		dialer: link.NewDialer(key),
		conns:  map[net.Conn]struct{}{},
	}
	if err := wirepb.DRPCRegisterSide(t.server.Mux(), t); err != nil {
		return nil, err
	}
	return t, t.Accept()
}

// Accept starts to listen, also again after Refuse.
func (t *Tap) Accept() error {
	listener, err := net.Listen("tcp", t.addr)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.listener = listener
	t.mu.Unlock()
	go t.serve(listener)
	return nil
}

// Refuse makes dials fail, as they do when the sidecar is dead, and breaks the open
// connections.
func (t *Tap) Refuse() {
	t.mu.Lock()
	listener := t.listener
	t.mu.Unlock()
	listener.Close()
	t.Break()
}

// Cut breaks the open connections, and new ones as they are accepted.
func (t *Tap) Cut() {
	t.mu.Lock()
	t.cut = true
	t.mu.Unlock()
	t.Break()
}

// Break closes the open connections once.
func (t *Tap) Break() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		conn.Close()
	}
}

// Silence drops every byte of a direction and keeps the connections open.
func (t *Tap) Silence(d Direction) { t.silent[d].Store(true) }

// Heal ends all connection faults. It breaks the connections if bytes were dropped.
func (t *Tap) Heal() {
	t.mu.Lock()
	t.cut = false
	t.mu.Unlock()
	lossy := t.silent[ToSide].Swap(false)
	lossy = t.silent[FromSide].Swap(false) || lossy
	if lossy {
		t.Break()
	}
}

// Runs returns the number of Run messages received.
func (t *Tap) Runs() uint64 { return t.runs.Load() }

// Tamper changes the events of all calls from now on; nil stops that.
func (t *Tap) Tamper(tamper NewTamper) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tamper = tamper
}

// RewriteRuns changes all Runs from now on; nil stops that.
func (t *Tap) RewriteRuns(rewrite RunRewrite) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runRewrite = rewrite
}

// Replay sends each Run to the sidecar this many additional times.
func (t *Tap) Replay(times int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replays = times
}

// serve accepts connections until the listener is closed.
func (t *Tap) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if t.track(conn) {
			go t.serveConn(conn)
		}
	}
}

// track records a connection, or closes it and returns false while connections are cut.
func (t *Tap) track(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cut {
		conn.Close()
		return false
	}
	t.conns[conn] = struct{}{}
	return true
}

// serveConn serves the calls of one connection.
func (t *Tap) serveConn(conn net.Conn) {
	ctx, cancel := context.WithCancel(withEntryConn(context.Background(), conn))
	defer cancel()
	t.server.ServeConn(ctx, entryConn{Conn: conn, tap: t})
	t.mu.Lock()
	delete(t.conns, conn)
	t.mu.Unlock()
}

// holdMessage blocks while the test holds the message.
func (t *Tap) holdMessage(point Point, key *wirepb.AttemptKey, chunk uint64) {
	t.gate.Pass(Message{
		Point:    point,
		Upstream: t.name,
		Request:  key.GetRequestId(),
		Stage:    key.GetStage(),
		Chunk:    chunk,
	})
}
