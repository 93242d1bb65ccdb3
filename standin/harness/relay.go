package harness

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Direction is one direction of a connection through a relay.
type Direction int

// The directions.
const (
	// ToTarget is from the dialing side to the target.
	ToTarget Direction = iota
	// FromTarget is from the target to the dialing side.
	FromTarget
)

// relayBuffer is the largest number of bytes that a relay forwards at once.
const relayBuffer = 32 << 10

// Relay forwards TCP connections to a target and can close them, drop their data or
// delay it. It is safe for concurrent use.
type Relay struct {
	target   string
	listener net.Listener

	mu sync.Mutex
	// cut closes new connections at once. silent drops the bytes of a direction.
	cut    bool
	silent [2]bool
	delay  time.Duration
	conns  map[net.Conn]struct{}
}

// NewRelay listens on address and forwards connections to target.
func NewRelay(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return RelayOn(listener, target), nil
}

// RelayOn forwards the connections that listener accepts to target. Close closes the
// listener.
func RelayOn(listener net.Listener, target string) *Relay {
	r := &Relay{target: target, listener: listener, conns: map[net.Conn]struct{}{}}
	go r.accept()
	return r
}

// Cut closes all connections, and new ones as they are accepted, until Heal.
func (r *Relay) Cut() {
	r.mu.Lock()
	r.cut = true
	r.mu.Unlock()
	r.Break()
}

// Break closes all connections once. New connections are forwarded.
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

// Silence drops all bytes of one direction until Heal and keeps the connections open.
func (r *Relay) Silence(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent[d] = true
}

// Delay delays each chunk of data by d in both directions.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Heal ends all faults. If a direction was silenced, it closes the connections first:
// their ends must not mistake the data after a gap for a complete stream.
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

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.Cut()
}

// accept accepts and serves connections until the listener is closed.
func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

// serve forwards one connection to the target.
func (r *Relay) serve(client net.Conn) {
	defer client.Close()
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer target.Close()
	if !r.track(client, target) {
		return
	}
	defer r.untrack(client, target)
	var done sync.WaitGroup
	var clientEnded, targetEnded atomic.Bool
	done.Go(func() { r.forward(target, client, ToTarget, &clientEnded, &targetEnded) })
	done.Go(func() { r.forward(client, target, FromTarget, &targetEnded, &clientEnded) })
	done.Wait()
}

// track registers connections. It returns false if the relay is cut.
func (r *Relay) track(conns ...net.Conn) bool {
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

// untrack unregisters connections.
func (r *Relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		delete(r.conns, conn)
	}
}

// forward copies one direction until the source ends in order, then closes the writing side of
// the destination. On any other error it resets both connections, as an orderly end would make what was
// copied look whole. It sets sourceEnded at the end of the source; destinationEnded is set once the other direction
// has ended.
func (r *Relay) forward(destination, source net.Conn, d Direction, sourceEnded, destinationEnded *atomic.Bool) {
	buffer := make([]byte, relayBuffer)
	for {
		n, err := source.Read(buffer)
		if n > 0 && !r.forwardChunk(destination, buffer[:n], d) {
			break
		}
		if err == io.EOF && (destinationEnded.Load() || !hasFailed(source)) {
			sourceEnded.Store(true)
			closeWrite(destination)
			return
		}
		if err != nil {
			break
		}
	}
	reset(destination)
	reset(source)
}

// reset closes a connection and tells its peer that it was broken off.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it is closed already if this fails
	}
	conn.Close()
}

// tcpClosed is the state of a connection that was reset or has failed.
const tcpClosed = 7

// hasFailed reports whether a connection whose end was read, and whose own end was not sent, was reset or has failed: the
// error was returned to the other direction if that wrote to the connection.
func hasFailed(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	failed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		failed = err == nil && info.State == tcpClosed
	})
	return failed || err != nil
}

// forwardChunk writes one chunk unless its direction is silenced, after the relay's
// delay. It returns false if the write fails.
func (r *Relay) forwardChunk(destination net.Conn, chunk []byte, d Direction) bool {
	r.mu.Lock()
	silent, delay := r.silent[d], r.delay
	r.mu.Unlock()
	if silent {
		return true
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	_, err := destination.Write(chunk)
	return err == nil
}

// closeWrite closes the writing side of a TCP connection.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// An error means that the connection is already closed.
		_ = tcp.CloseWrite()
	}
}
