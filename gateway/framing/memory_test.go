package framing

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/memory"
)

// releaseTimeout bounds the time until closed connections have returned their memory.
const releaseTimeout = 20 * time.Second

// TestHeadsAndConnectionsWithoutRoomAreRefused guards against clients that fill the memory with heads that they never
// end, or with connections: the response says that nothing ran, and when to come back.
func TestHeadsAndConnectionsWithoutRoomAreRefused(t *testing.T) {
	for name, begin := range map[string]string{"connections": "", "heads": "GET / HTTP/1.1\r\nX-Long: " + strings.Repeat("h", 16<<10)} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			budget := memory.New(8 * connBytes)
			server := &http.Server{Handler: http.NotFoundHandler(), MaxHeaderBytes: 32 << 10}
			Enable(server)
			go func() { _ = server.Serve(Listener{Listener: listener, Memory: budget}) }() // it returns when the server is closed
			defer server.Close()
			refused := make(chan *http.Response, 1)
			var opened []net.Conn
			for range 12 {
				conn, err := net.Dial("tcp", listener.Addr().String())
				assert.NilError(t, err)
				opened = append(opened, conn)
				_, _ = io.WriteString(conn, begin) // a refused connection is closed
				go func() {
					if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
						select {
						case refused <- response:
						default:
						}
					}
				}()
			}
			response := <-refused
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, response.Header.Get("Retry-After") != "" && response.Close)
			for _, conn := range opened {
				_ = conn.Close() // some are closed already
			}
			for until := time.Now().Add(releaseTimeout); budget.Usage().Used > 0; runtime.Gosched() {
				assert.Assert(t, time.Now().Before(until), "%d bytes are still reserved", budget.Usage().Used)
			}
		})
	}
}
