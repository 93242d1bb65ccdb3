package harness

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// echo answers every connection with what it sends, until the test ends. Each
// byte that it got is reported on the channel, as far as that has room.
func echo(t *testing.T) (string, <-chan byte) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	got := make(chan byte, 64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveEcho(conn, got)
		}
	}()
	return listener.Addr().String(), got
}

// serveEcho serves one connection of an echo.
func serveEcho(conn net.Conn, got chan<- byte) {
	defer conn.Close()
	buffer := make([]byte, 1)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		select {
		case got <- buffer[0]:
		default:
		}
		if _, err := conn.Write(buffer); err != nil {
			return
		}
	}
}

// relayed returns a relay before an echo, its address, and what the echo got.
func relayed(t *testing.T) (*Relay, string, <-chan byte) {
	target, got := echo(t)
	relay, err := NewRelay("127.0.0.1:0", target)
	assert.NilError(t, err)
	t.Cleanup(relay.Close)
	return relay, relay.listener.Addr().String(), got
}

// dial opens a connection that ends with the test.
func dial(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// say sends a byte and waits for its echo.
func say(conn net.Conn) error {
	if _, err := conn.Write([]byte{'x'}); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestRelayPassesAndBreaks(t *testing.T) {
	relay, address, _ := relayed(t)
	conn := dial(t, address)
	assert.NilError(t, say(conn))
	relay.Break()
	assert.Assert(t, say(conn) != nil)
	assert.NilError(t, say(dial(t, address)))
}

func TestRelayStaysCutUntilHealed(t *testing.T) {
	relay, address, _ := relayed(t)
	conn := dial(t, address)
	assert.NilError(t, say(conn))
	relay.Cut()
	assert.Assert(t, say(conn) != nil)
	assert.Assert(t, say(dial(t, address)) != nil)
	relay.Heal()
	assert.NilError(t, say(dial(t, address)))
}

func TestRelaySilencesOneWay(t *testing.T) {
	relay, address, got := relayed(t)
	conn := dial(t, address)
	assert.NilError(t, say(conn))
	<-got
	relay.Silence(FromTarget)
	for range 2 {
		_, err := conn.Write([]byte{'y'})
		assert.NilError(t, err)
		assert.Equal(t, <-got, byte('y'))
	}
	relay.Heal()
	echoed, _ := io.ReadAll(conn)
	assert.Equal(t, len(echoed), 0)
	assert.NilError(t, say(dial(t, address)))
}

func TestRelayPassesTheEndOfAStream(t *testing.T) {
	_, address, _ := relayed(t)
	conn := dial(t, address)
	_, err := conn.Write([]byte("whole"))
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	got, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "whole")
}
