package harness

import (
	"io"
	"net"
	"sync"
	"time"
)

// Direction names one way through a relay.
type Direction int

// The directions.
const (
	// ToTarget is from who dialled to the target.
	ToTarget Direction = iota
	// FromTarget is from the target to who dialled.
	FromTarget
)

// relayBuffer is how many bytes a relay passes on at once.
const relayBuffer = 32 << 10

// Relay passes TCP connections on to a target and can cut, hold up or delay
// them. It may be used by many goroutines.
type Relay struct {
	target   string
	listener net.Listener

	mu sync.Mutex
	// cut closes new connections at once; silent drops the bytes of a direction.
	cut    bool
	silent [2]bool
	delay  time.Duration
	conns  map[net.Conn]struct{}
}

// NewRelay listens on address and passes connections on to target.
func NewRelay(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return RelayOn(listener, target), nil
}

// RelayOn passes connections that come in at a listener on to target. It closes the
// listener in the end.
func RelayOn(listener net.Listener, target string) *Relay {
	r := &Relay{target: target, listener: listener, conns: map[net.Conn]struct{}{}}
	go r.accept()
	return r
}

// Cut closes all connections, and new ones as they come.
func (r *Relay) Cut() {
	r.mu.Lock()
	r.cut = true
	r.mu.Unlock()
	r.Break()
}

// Break closes all connections once; new ones are passed on.
func (r *Relay) Break() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeAll()
}

// closeAll closes all connections. The caller holds mu.
func (r *Relay) closeAll() {
	for conn := range r.conns {
		conn.Close()
	}
}

// Silence drops every byte of one direction from now on, and keeps the
// connections open.
func (r *Relay) Silence(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent[d] = true
}

// Delay holds up every piece of both directions by d.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Heal ends all faults. Connections that lost bytes are closed first, so that
// their ends never take what comes behind a gap for the whole.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent[ToTarget] || r.silent[FromTarget] {
		r.closeAll()
	}
	r.cut = false
	r.silent = [2]bool{}
	r.delay = 0
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.Cut()
}

// accept passes on connections until the listener is closed.
func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

// serve passes on one connection.
func (r *Relay) serve(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer far.Close()
	if !r.enter(near, far) {
		return
	}
	defer r.leave(near, far)
	var done sync.WaitGroup
	done.Go(func() { r.pass(far, near, ToTarget) })
	done.Go(func() { r.pass(near, far, FromTarget) })
	done.Wait()
}

// enter records two connections, or returns false if connections are cut.
func (r *Relay) enter(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		return false
	}
	for _, conn := range conns {
		r.conns[conn] = struct{}{}
	}
	return true
}

// leave forgets two connections.
func (r *Relay) leave(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		delete(r.conns, conn)
	}
}

// pass copies one direction until its source ends, then closes that direction
// of its destination.
func (r *Relay) pass(to, from net.Conn, d Direction) {
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.passPiece(to, buffer[:n], d) {
			break
		}
		if err == io.EOF {
			closeWrite(to)
			return
		}
		if err != nil {
			break
		}
	}
	to.Close()
	from.Close()
}

// passPiece writes one piece under the present faults. It returns false if the
// destination is gone.
func (r *Relay) passPiece(to net.Conn, piece []byte, d Direction) bool {
	r.mu.Lock()
	silent, delay := r.silent[d], r.delay
	r.mu.Unlock()
	if silent {
		return true
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	_, err := to.Write(piece)
	return err == nil
}

// closeWrite ends the writing side of a TCP connection.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// An error means that the connection is gone already.
		_ = tcp.CloseWrite()
	}
}
