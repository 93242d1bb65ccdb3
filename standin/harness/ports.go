package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// The range of ports that processes get. It lies below the range from which the
// kernel takes the ports of outgoing connections, so that a port found free
// stays free until its process listens.
const (
	firstPort = 12000
	lastPort  = 31000
)

// ports hands out free ports of 127.0.0.1, each once.
type ports struct {
	mu   sync.Mutex
	next int
}

// newPorts starts at a random port, so that trials side by side seldom meet.
func newPorts() *ports {
	return &ports{next: firstPort + rand.IntN(lastPort-firstPort)}
}

// address returns a free address, IP:port.
func (p *ports) address() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range lastPort - firstPort {
		address := fmt.Sprintf("127.0.0.1:%d", p.next)
		p.next++
		if p.next == lastPort {
			p.next = firstPort
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", fmt.Errorf("no free port between %d and %d", firstPort, lastPort)
}
