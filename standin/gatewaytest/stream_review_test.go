package gatewaytest

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// clientPatience is the shortest time without an event after which clients abandon a stream.
const clientPatience = 2 * time.Second

// TestAnEndInDoubtIsNotHeldUp: clients abandon a stream that stays silent, so that one that may be
// complete must end before that, whatever the upstream does that is asked for the remainder.
func TestAnEndInDoubtIsNotHeldUp(t *testing.T) {
	for name, second := range map[string]answer{
		"no event": {frame: stalled},
		"no head":  {frame: silent},
	} {
		t.Run(name, func(t *testing.T) {
			f, g, s := streamFleet(t, 2, answer{frame: untilClose, body: numbered(1, 2)}, second)
			d := baseConfig(2)
			d.Routes[2].Stages = nil
			d.Routes[2].GoalMS = 300 // clients wait for the longest of clientPatience and four times this
			f.apply(d)
			f.waitLines(1, "table_in_force", `"version":2`)
			started := time.Now()
			got := f.fetch(g, "HTTP/1.1", "POST", "/stream/x")
			took := time.Since(started)
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, numbered(1, 2))
			assert.DeepEqual(t, s.asked(), []string{"", "2"})
			assert.Assert(t, took < clientPatience, "the stream ended after %s", took)
		})
	}
}
