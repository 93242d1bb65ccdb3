package side

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/settings"
	"acaciawinch/wire/link"
	"acaciawinch/wire/wirepb"
)

func TestARefusedConnectionIsLogged(t *testing.T) {
	loaded := Defaults()
	assert.NilError(t, settings.Decode("side.toml", []byte(validSettings), &loaded))
	p, err := newProcess(loaded)
	assert.NilError(t, err)
	defer p.close()
	lines, out := io.Pipe()
	p.logger, err = observe.NewLogger(out, "u1", "warn")
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- p.rpc.Serve(ctx, listener) }()
	defer func() { stop(); assert.NilError(t, <-served) }()
	dialer := link.NewDialer("another")

	_, err = wirepb.NewDRPCSideClient(dialer.Conn(ctx, listener.Addr().String())).Probe(ctx, &wirepb.ProbeRequest{})
	assert.ErrorContains(t, err, "refuses this process's key")

	var line struct {
		Fields struct {
			Event   int    `json:"event"`
			Peer    string `json:"peer"`
			Error   string `json:"error"`
			Refused uint64 `json:"refused"`
		} `json:"fields"`
	}
	assert.NilError(t, json.NewDecoder(lines).Decode(&line))
	assert.Equal(t, line.Fields.Event, event.ConnectionRefused.Number)
	assert.Equal(t, line.Fields.Error, "refused at link.handshake with "+line.Fields.Peer+": the peer does not hold this fleet's key")
	assert.Equal(t, line.Fields.Refused, uint64(1))
}
