package harness

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestARelayPassesAResetOn guards against a relay that shows an orderly end in place of a reset, so that what was sent before
// looks whole. It has received all that the dialing side sends when the reset comes, or is still forwarding it.
func TestARelayPassesAResetOn(t *testing.T) {
	for name, size := range map[string]int{"idle": 1000, "forwarding": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			relay, err := NewRelay("127.0.0.1:0", listener.Addr().String())
			assert.NilError(t, err)
			defer relay.Close()
			for i := range 50 {
				conn, err := net.Dial("tcp", relay.listener.Addr().String())
				assert.NilError(t, err)
				target, err := listener.Accept()
				assert.NilError(t, err)
				sent := make(chan error, 1)
				go func() {
					_, err := conn.Write(make([]byte, size))
					sent <- err
				}()
				if size < relayBuffer {
					_, err = io.ReadFull(target, make([]byte, size))
					assert.NilError(t, err)
				}
				_, err = io.WriteString(target, "part")
				assert.NilError(t, err)
				assert.NilError(t, target.(*net.TCPConn).SetLinger(0))
				assert.NilError(t, target.Close())
				_, readErr := io.ReadAll(conn)
				assert.NilError(t, conn.SetWriteDeadline(time.Unix(1, 0))) // ends a write that waits
				assert.Assert(t, readErr != nil || <-sent != nil, "try %d: the reset was passed on as an orderly end", i)
				assert.NilError(t, conn.Close())
			}
		})
	}
}
