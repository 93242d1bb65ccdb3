package gatewaytest

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/gateway"
	"acaciawinch/standin/platformdoc"
	"acaciawinch/standin/worker"
)

const (
	// warmRequests show a gateway the usual times of a service, spread over its upstreams.
	warmRequests = 90
	// idleLoad is the load header of an engine with free slots.
	idleLoad = "X-Instance-Load: 1,0,8\r\n"
)

// silenceCase is a fleet whose upstreams answer many requests at once, and then by a script.
type silenceCase struct {
	*fleet
	gateway *runningGateway
	script  *script
	// pieces is the header with the items of the stages, empty if the route has none.
	pieces []string
}

// startSilence starts three upstreams of a service and a gateway, and sends the requests that show it the usual times.
func startSilence(t *testing.T, service, path string, adjust func(*platformdoc.Document, *gateway.Settings), answers ...answer) silenceCase {
	t.Helper()
	f := newFleet(t)
	d := baseConfig(1)
	f.adjust = func(settings *gateway.Settings) { adjust(&d, settings) }
	warm := answer{header: idleLoad, body: numbered(1, 2, 3)}
	c := silenceCase{fleet: f, script: f.startScripted(service, 3)}
	for range warmRequests {
		c.script.answers = append(c.script.answers, warm)
	}
	f.startWorker("enc-1", "enc", worker.Stage)
	c.gateway = f.launchIn("g1", "z1")
	f.apply(d)
	f.waitReady(c.gateway)
	if path == "/stream/" && len(d.Routes[2].Stages) > 0 {
		c.pieces = []string{"X-Pieces", "1,1", "X-Piece-Key", "k"}
	}
	for i := range warmRequests {
		assert.Equal(t, c.ask(fmt.Sprintf("warm-%d", i), path+"warm").status, http.StatusOK)
	}
	c.script.set(answers...)
	return c
}

// ask sends a request with a prompt prefix of its own, so that the engines take turns.
func (c silenceCase) ask(id, path string) received {
	c.t.Helper()
	return c.fetchAs(id, c.gateway, "HTTP/1.1", "POST", path, append(c.pieces, "X-Prompt-Prefix", id+":800")...)
}

// sends returns how many requests reached an upstream after the first ones.
func (c silenceCase) sends() int { return len(c.script.asked()) - warmRequests }

// withoutStages lets streams be sent to three upstreams.
func withoutStages(d *platformdoc.Document, _ *gateway.Settings) {
	d.Routes[2].Stages = nil
	d.Routes[2].MaxAttempts = 3
}

// TestAStreamOfASilentEngineGoesOnElsewhere guards against clients that wait until they give up for an engine which
// accepts a request and sends nothing, or nothing more after its third event; no event may be lost or come twice.
func TestAStreamOfASilentEngineGoesOnElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		first, second answer
		after         string
	}{
		"at once":        {first: answer{frame: silent}, second: answer{body: numbered(1, 2, 3, 4, 5)}},
		"after an event": {first: answer{frame: stalled, body: numbered(1, 2, 3)}, second: answer{body: numbered(4, 5)}, after: "3"},
	} {
		t.Run(name, func(t *testing.T) {
			f := startSilence(t, "llm", "/stream/", withoutStages, c.first, c.second)
			got := f.ask("r1", "/stream/x")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, numbered(1, 2, 3, 4, 5))
			assert.DeepEqual(t, f.script.asked()[warmRequests:], []string{"", c.after})
			line := f.waitLines(1, `"gateway_silent"`, `"request":"r1"`, `"attempt":1`, `"last":"`+c.after+`"`)[0]
			assert.Assert(t, logField(t, line, "limit_ms").(float64) < 2000, line)
			assert.Assert(t, logField(t, line, "client_waits_ms").(float64) > 2000, line)
			crashes, _ := f.log.lines("crash_found")
			assert.Equal(t, len(crashes), 0, "%v", crashes)
		})
	}
}

// TestAStreamThatMayNotRunTwiceIsNotRepeated guards against a second run of a request whose silent engine may be
// running it.
func TestAStreamThatMayNotRunTwiceIsNotRepeated(t *testing.T) {
	c := startSilence(t, "llm", "/strict/", func(d *platformdoc.Document, _ *gateway.Settings) {
		d.Routes[3].MaxAttempts = 2
		d.Routes[3].TimeoutMS = 2500
	}, answer{frame: silent}, answer{body: numbered(1)})
	assert.Equal(t, c.ask("r1", "/strict/x").status, http.StatusGatewayTimeout)
	assert.Equal(t, c.sends(), 1)
}

// TestARepeatableRequestIsSentAgainUnlessTheSettingsForbidIt guards against a setting without effect.
func TestARepeatableRequestIsSentAgainUnlessTheSettingsForbidIt(t *testing.T) {
	for mode, want := range map[string]struct{ status, sends int }{
		gateway.ModeAuto: {http.StatusOK, 2},
		gateway.ModeOff:  {http.StatusGatewayTimeout, 1},
	} {
		t.Run(mode, func(t *testing.T) {
			c := startSilence(t, "desk", "/safe/", func(d *platformdoc.Document, settings *gateway.Settings) {
				d.Routes[1].TimeoutMS = 2500
				settings.Load.RepeatSilent = mode
			}, answer{frame: silent}, answer{body: "done"})
			assert.Equal(t, c.ask("r1", "/safe/x").status, want.status)
			assert.Equal(t, c.sends(), want.sends)
		})
	}
}

// TestAServiceThatIsSilentAsAWholeIsNotRepeated guards against repeated requests that add to the load of a service
// of which no upstream responds.
func TestAServiceThatIsSilentAsAWholeIsNotRepeated(t *testing.T) {
	c := startSilence(t, "desk", "/safe/", func(d *platformdoc.Document, settings *gateway.Settings) {
		d.Routes[1].TimeoutMS = 2000
		settings.Bounds.RetrySlack = 1000 // the budget alone would allow all
	})
	const requests = 24
	for range 2 * requests {
		c.script.answers = append(c.script.answers, answer{frame: silent})
	}
	statuses := make(chan int, requests)
	for i := range requests {
		go func() { statuses <- c.ask(fmt.Sprintf("r-%d", i), fmt.Sprintf("/safe/x-%d", i)).status }()
	}
	for range requests {
		assert.Equal(t, <-statuses, http.StatusGatewayTimeout)
	}
	assert.Assert(t, c.sends() <= requests+requests/2, "%d sends", c.sends())
}

// TestTheSecondSendHasResultsOfTheStages guards against stages that run again because their small results were freed
// before a silent engine was given up, and against a request that fails since its results have been lost meanwhile.
func TestTheSecondSendHasResultsOfTheStages(t *testing.T) {
	served, lost := answer{body: numbered(1, 2, 3)}, answer{status: http.StatusConflict, header: "X-Not-Executed: 1\r\n"}
	for name, c := range map[string]struct {
		answers []answer
		stages  int
	}{"kept": {[]answer{{frame: silent}, served}, 2}, "lost": {[]answer{{frame: silent}, lost, served}, 4}} {
		t.Run(name, func(t *testing.T) {
			f := startSilence(t, "llm", "/stream/", func(d *platformdoc.Document, _ *gateway.Settings) { d.Routes[2].MaxAttempts = 3 }, c.answers...)
			got := f.ask("r1", "/stream/x")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, numbered(1, 2, 3))
			assert.Equal(t, logField(t, f.waitLines(len(c.answers), `"gateway_sent"`, `"request":"r1"`)[0], "idle"), true)
			done, _ := f.log.lines(`"stage_done"`, `"request":"r1"`)
			assert.Equal(t, len(done), c.stages, "%v", done)
		})
	}
}
