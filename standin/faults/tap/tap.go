// Package tap stands between the entries and one side process. It speaks the
// drpc service of sides in both directions, so that a trial can hold single
// messages, and can deliver them late, twice, out of order or to the wrong
// request, which a real side never does. It can also cut connections.
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

// Direction names one way through a tap.
type Direction int

// The directions.
const (
	ToSide Direction = iota
	FromSide
)

// Point names where a message is on its way.
type Point string

// The points at which messages can be held.
const (
	// Probe, Run, Cancel, Acknowledge and Resolve are requests that have not
	// reached the side yet.
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

// Message is one message on its way through a tap.
type Message struct {
	Point Point
	// Upstream is the name of the side's upstream.
	Upstream string
	Request  string
	Stage    string
	// Chunk is the number of a chunk.
	Chunk uint64
}

// Board holds messages of all taps of a trial.
type Board = hold.Board[Message]

// Tap stands before one side process. It may be used by many goroutines.
type Tap struct {
	name   string
	target string
	addr   string
	board  *Board
	server *link.Server
	dialer *link.Dialer
	silent [2]atomic.Bool
	runs   atomic.Uint64

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	tamper   NewTamper
	meddle   Meddle
	replays  int
	cut      bool
}

// New returns a tap that listens on address before the side at target. Key is the
// fleet's, which both ends of a connection prove to each other.
func New(name, address, target, key string, board *Board) (*Tap, error) {
	t := &Tap{
		name:   name,
		target: target,
		addr:   address,
		board:  board,
		server: link.NewServer(key),
		dialer: link.NewDialer(key),
		conns:  map[net.Conn]struct{}{},
	}
	if err := wirepb.DRPCRegisterSide(t.server.Mux(), t); err != nil {
		return nil, err
	}
	return t, t.Accept()
}

// Accept listens again after Refuse.
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

// Refuse makes dialling fail, as it does when the side process is dead, and
// breaks the open connections.
func (t *Tap) Refuse() {
	t.mu.Lock()
	listener := t.listener
	t.mu.Unlock()
	listener.Close()
	t.Break()
}

// Cut breaks the open connections, and new ones as they come.
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

// Heal ends all faults of connections. Those that lost bytes are broken.
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

// Runs returns how many Run messages have come.
func (t *Tap) Runs() uint64 { return t.runs.Load() }

// Tamper changes the events of all calls from now on; nil ends that.
func (t *Tap) Tamper(tamper NewTamper) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tamper = tamper
}

// Meddle changes all Runs from now on; nil ends that.
func (t *Tap) Meddle(meddle Meddle) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.meddle = meddle
}

// Replay sends each Run to the side this many times more.
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
		if t.enter(conn) {
			go t.serveOne(conn)
		}
	}
}

// enter records a connection, or closes it while connections are cut.
func (t *Tap) enter(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cut {
		conn.Close()
		return false
	}
	t.conns[conn] = struct{}{}
	return true
}

// serveOne serves the calls of one connection.
func (t *Tap) serveOne(conn net.Conn) {
	ctx, cancel := context.WithCancel(withNear(context.Background(), conn))
	defer cancel()
	t.server.ServeConn(ctx, nearConn{Conn: conn, tap: t})
	t.mu.Lock()
	delete(t.conns, conn)
	t.mu.Unlock()
}

// pass holds a message if the trial wants it.
func (t *Tap) pass(point Point, key *wirepb.AttemptKey, chunk uint64) {
	t.board.Pass(Message{
		Point:    point,
		Upstream: t.name,
		Request:  key.GetRequestId(),
		Stage:    key.GetStage(),
		Chunk:    chunk,
	})
}
