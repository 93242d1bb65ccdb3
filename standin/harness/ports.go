package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
)

// The range of ports that processes get. It lies below the range from which the
// kernel takes the ports of outgoing connections, so that a port found free
// stays free until its process listens.
const (
	firstPort = 12000
	lastPort  = 31000
)

// lanePorts is how many ports one lane has.
const lanePorts = 100

// Ports hands out free ports of 127.0.0.1, each once. It takes them from lanes,
// and owns a lane by listening on its first port: a port whose process has been
// killed must not go to another trial before the process starts again.
type Ports struct {
	mu    sync.Mutex
	lanes []net.Listener
	next  int
	end   int
}

// NewPorts returns ports without a lane.
func NewPorts() *Ports { return &Ports{} }

// Address returns a free address, IP:port.
func (p *Ports) Address() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.next == p.end {
			if err := p.takeLane(); err != nil {
				return "", err
			}
		}
		address := fmt.Sprintf("127.0.0.1:%d", p.next)
		p.next++
		if free(address) {
			return address, nil
		}
	}
}

// Listen listens on a free address. Unlike an address that is found free and used later
// it can't be taken by another in between, which stopped one of 52 runs of the soak.
func (p *Ports) Listen() (net.Listener, error) {
	for range lanePorts {
		address, err := p.Address()
		if err != nil {
			return nil, err
		}
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%d ports in a row were taken by others", lanePorts)
}

// free tells whether nobody listens on an address. No process is forked meanwhile:
// until it executes its program it would hold a copy of the listener, and the port
// would still be in use a moment after this has closed it.
func free(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	return err == nil && listener.Close() == nil
}

// takeLane takes a lane that no other trial owns, from a random one on.
func (p *Ports) takeLane() error {
	count := (lastPort - firstPort) / lanePorts
	first := rand.IntN(count)
	for i := range count {
		port := firstPort + (first+i)%count*lanePorts
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		p.lanes = append(p.lanes, listener)
		p.next = port + 1
		p.end = port + lanePorts
		return nil
	}
	return fmt.Errorf("no free port between %d and %d", firstPort, lastPort)
}

// Close gives the lanes back. The trial's processes must have ended.
func (p *Ports) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var failures []error
	for _, lane := range p.lanes {
		failures = append(failures, lane.Close())
	}
	p.lanes = nil
	p.next = p.end
	return errors.Join(failures...)
}
