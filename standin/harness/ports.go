package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
)

// The range of ports for the processes of trials. It lies below the range of the
// kernel's ephemeral ports, so that no outgoing connection takes a free port before
// its process listens.
const (
	firstPort = 12000
	lastPort  = 31000
)

// portsPerBlock is the number of ports of one block.
const portsPerBlock = 100

// Ports allocates free ports of 127.0.0.1, each once. It takes them from blocks of
// consecutive ports and owns a block by listening on its first port: the port of a
// killed process must not go to another trial before the process is restarted.
type Ports struct {
	mu     sync.Mutex
	blocks []net.Listener
	next   int
	end    int
}

// NewPorts returns an allocator that owns no block yet.
func NewPorts() *Ports { return &Ports{} }

// Address returns a free address as IP:port.
func (p *Ports) Address() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.next == p.end {
			if err := p.claimBlock(); err != nil {
				return "", err
			}
		}
		address := fmt.Sprintf("127.0.0.1:%d", p.next)
		p.next++
		if isFree(address) {
			return address, nil
		}
	}
}

// Listen returns a listener on a free address. Unlike an address from Address, which
// is only used later, it can't be taken by another process in between; that made one of
// 52 runs of the soak fail.
func (p *Ports) Listen() (net.Listener, error) {
	for range portsPerBlock {
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
	return nil, fmt.Errorf("%d consecutive ports were taken by other processes", portsPerBlock)
}

// isFree reports whether an address has no listener. It holds the fork lock: a process
// that is forked meanwhile would have a copy of the listener until it executes its
// program, and the port would stay in use after the listener is closed here.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	return err == nil && listener.Close() == nil
}

// claimBlock claims a block that no other trial owns. The search starts at a random block.
func (p *Ports) claimBlock() error {
	count := (lastPort - firstPort) / portsPerBlock
	first := rand.IntN(count)
	for i := range count {
		port := firstPort + (first+i)%count*portsPerBlock
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		p.blocks = append(p.blocks, listener)
		p.next = port + 1
		p.end = port + portsPerBlock
		return nil
	}
	return fmt.Errorf("no free block of ports between %d and %d", firstPort, lastPort)
}

// Close releases the blocks. The trial's processes must have exited.
func (p *Ports) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var failures []error
	for _, block := range p.blocks {
		failures = append(failures, block.Close())
	}
	p.blocks = nil
	p.next = p.end
	return errors.Join(failures...)
}
