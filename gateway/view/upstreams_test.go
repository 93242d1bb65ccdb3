package view

import (
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/replica"
	"acaciawinch/observe"
)

// entry returns an upstream's object.
func entry(name, state string, born int64) replica.Object {
	spec := fmt.Sprintf(`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":%q,"born":%d}`, state, born)
	return replica.Object{Name: name, Spec: json.RawMessage(spec)}
}

// following returns a follower of upstreams and its View.
func following(t *testing.T) (*upstreamFollower, *View) {
	t.Helper()
	logger, err := observe.NewLogger(io.Discard, "test", "error")
	assert.NilError(t, err)
	v := New(Options{Logger: logger})
	return newUpstreamFollower(v), v
}

func TestAnEntryThatCanNotBeReadNamesNoUpstreamAndTheOthersHold(t *testing.T) {
	f, v := following(t)
	broken := replica.Object{Name: "b", Spec: json.RawMessage(`{"service":7}`)}
	f.Reset([]replica.Object{entry("a", "ready", 1), broken, entry("c", "ready", 1)})
	assert.Equal(t, len(v.Upstreams().Of("s")), 2)

	f.Apply([]replica.Change{{Object: replica.Object{Name: "a", Spec: json.RawMessage(`"x"`)}}})
	assert.Assert(t, !v.Upstreams().Knows("a"), "what it said before is no longer its word")
	assert.Assert(t, v.Upstreams().Knows("c"))
	f.Apply([]replica.Change{{Object: entry("a", "ready", 1)}})
	assert.Assert(t, v.Upstreams().Knows("a"))
}

func TestAnEntryOfAnEarlierStartDoesNotReplaceThatOfALaterOne(t *testing.T) {
	f, v := following(t)
	f.Reset([]replica.Object{entry("a", "ready", 9)})
	f.Apply([]replica.Change{{Object: entry("a", "draining", 8)}})
	upstream, _ := v.Upstreams().Find("a")
	assert.Assert(t, !upstream.Leaving && upstream.Born == 9)
	f.Apply([]replica.Change{{Object: entry("a", "draining", 9)}})
	upstream, _ = v.Upstreams().Find("a")
	assert.Assert(t, upstream.Leaving)
}

// TestAStartThatSaidThatItLeavesIsNotTakenBackByItsEntry: an operator who drains an upstream for a while writes
// that it is ready again, whatever it has said itself meanwhile.
func TestAStartThatSaidThatItLeavesIsNotTakenBackByItsEntry(t *testing.T) {
	f, v := following(t)
	f.Reset([]replica.Object{entry("a", "ready", 1)})
	upstream, _ := v.Upstreams().Find("a")
	f.noteAsked(Asked{Upstream: upstream, Leaving: true}, time.Now())
	for _, state := range []string{"draining", "ready"} {
		f.Apply([]replica.Change{{Object: entry("a", state, 1)}})
		upstream, _ = v.Upstreams().Find("a")
		assert.Assert(t, upstream.Leaving, state)
	}
	f.Apply([]replica.Change{{Object: entry("a", "ready", 2)}})
	upstream, _ = v.Upstreams().Find("a")
	assert.Assert(t, !upstream.Leaving, "another start")
}
