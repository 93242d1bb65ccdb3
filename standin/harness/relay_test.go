package harness

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// startEchoServer starts a TCP server that returns every byte it receives and runs
// until the test ends. It returns the server's address and a channel of the received
// bytes; bytes that exceed the channel's capacity are dropped.
func startEchoServer(t *testing.T) (string, <-chan byte) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	received := make(chan byte, 64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveEcho(conn, received)
		}
	}()
	return listener.Addr().String(), received
}

// serveEcho serves one connection of an echo server.
func serveEcho(conn net.Conn, received chan<- byte) {
	defer conn.Close()
	buffer := make([]byte, 1)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		select {
		case received <- buffer[0]:
		default:
		}
		if _, err := conn.Write(buffer); err != nil {
			return
		}
	}
}

// startRelay starts a relay to an echo server. It returns the relay, its address and
// the bytes that the echo server received.
func startRelay(t *testing.T) (*Relay, string, <-chan byte) {
	target, received := startEchoServer(t)
	relay, err := NewRelay("127.0.0.1:0", target)
	assert.NilError(t, err)
	t.Cleanup(relay.Close)
	return relay, relay.listener.Addr().String(), received
}

// dial opens a connection that is closed when the test ends.
func dial(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// roundTrip sends one byte and waits for its echo.
func roundTrip(conn net.Conn) error {
	if _, err := conn.Write([]byte{'x'}); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestRelayPassesAndBreaks(t *testing.T) {
	relay, address, _ := startRelay(t)
	conn := dial(t, address)
	assert.NilError(t, roundTrip(conn))
	relay.Break()
	assert.Assert(t, roundTrip(conn) != nil)
	assert.NilError(t, roundTrip(dial(t, address)))
}

func TestRelayStaysCutUntilHealed(t *testing.T) {
	relay, address, _ := startRelay(t)
	conn := dial(t, address)
	assert.NilError(t, roundTrip(conn))
	relay.Cut()
	assert.Assert(t, roundTrip(conn) != nil)
	assert.Assert(t, roundTrip(dial(t, address)) != nil)
	relay.Heal()
	assert.NilError(t, roundTrip(dial(t, address)))
}

func TestRelaySilencesOneWay(t *testing.T) {
	relay, address, received := startRelay(t)
	conn := dial(t, address)
	assert.NilError(t, roundTrip(conn))
	<-received
	relay.Silence(FromTarget)
	for range 2 {
		_, err := conn.Write([]byte{'y'})
		assert.NilError(t, err)
		assert.Equal(t, <-received, byte('y'))
	}
	relay.Heal()
	echoed, _ := io.ReadAll(conn)
	assert.Equal(t, len(echoed), 0)
	assert.NilError(t, roundTrip(dial(t, address)))
}

func TestRelayPassesTheEndOfAStream(t *testing.T) {
	_, address, _ := startRelay(t)
	conn := dial(t, address)
	_, err := conn.Write([]byte("whole"))
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	got, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "whole")
}
