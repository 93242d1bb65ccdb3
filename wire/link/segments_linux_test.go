package link

import (
	"encoding/binary"
	"net"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"acaciawinch/wire/wirepb"
)

// Offsets of the segment counts in Linux's struct tcp_info, and the bytes read of it.
const (
	segmentsOutAt = 136
	segmentsInAt  = 140
	tcpInfoBytes  = 256
)

// betweenCalls is long enough for the acknowledgement of a call's last segment to be sent
// before the next call, as between the probes of one pair of processes.
const betweenCalls = 60 * time.Millisecond

// segments returns how many segments the pooled connection to addr sent and received,
// including pure acknowledgements.
func segments(b *testing.B, d *Dialer, addr string) (out, in uint32) {
	conn, found := d.pool.Take(addr)
	assert.Assert(b, found)
	defer d.pool.Put(addr, conn)
	transport := conn.(interface{ Transport() drpc.Transport }).Transport()
	raw, err := transport.(countedConn).Conn.(*net.TCPConn).SyscallConn()
	assert.NilError(b, err)
	var info [tcpInfoBytes]byte
	size := uint32(len(info))
	var failed syscall.Errno
	assert.NilError(b, raw.Control(func(fd uintptr) {
		_, _, failed = syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	}))
	assert.Equal(b, failed, syscall.Errno(0))
	return binary.NativeEndian.Uint32(info[segmentsOutAt:]), binary.NativeEndian.Uint32(info[segmentsInAt:])
}

// BenchmarkSegments counts the TCP segments and the payload of one unary call over a
// pooled connection, with calls as far apart as probes are.
func BenchmarkSegments(b *testing.B) {
	addr := startProbeServer(b)
	dialer := NewDialer(fleetKey)
	defer func() { _ = dialer.Close() }()
	client := wirepb.NewDRPCSideClient(dialer.Conn(b.Context(), addr))
	call := func() {
		_, err := client.Probe(b.Context(), &wirepb.ProbeRequest{Revision: 1, PrefixHash: 0x1234567890abcdef})
		assert.NilError(b, err)
	}
	call()
	pace := time.NewTicker(betweenCalls)
	defer pace.Stop()
	<-pace.C
	out, in := segments(b, dialer, addr)
	bytes := dialer.Traffic().Written() + dialer.Traffic().Read()
	for range b.N {
		call()
		<-pace.C
	}
	lastOut, lastIn := segments(b, dialer, addr)
	b.ReportMetric(float64(lastOut-out)/float64(b.N), "segments-out/op")
	b.ReportMetric(float64(lastIn-in)/float64(b.N), "segments-in/op")
	b.ReportMetric(float64(dialer.Traffic().Written()+dialer.Traffic().Read()-bytes)/float64(b.N), "bytes/op")
}
