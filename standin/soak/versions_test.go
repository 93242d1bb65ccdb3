package soak

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// versioned returns the events of a stream, written by a version.
func versioned(id, version string, from, to int) string {
	lines := strings.Split(strings.TrimSuffix(streamAfter(id, from-1), "\n\n"), "\n\n")
	text := ""
	for _, line := range lines[:to-from+1] {
		text += line + " " + version + "\n\n"
	}
	return text
}

// brokenStream returns the outcome of a stream that broke off.
func brokenStream(id, version string) Outcome {
	o := served(streamingRoute)
	o.ID, o.Complete, o.Err, o.Body = id, false, "unexpected EOF", versioned(id, version, 1, 2)+"id: "
	return o
}

func TestABrokenStreamIsTakenUpAfterItsLastEvent(t *testing.T) {
	next, broken := takeUpOf(brokenStream("r", "v1.0"), "r-t1")
	assert.Assert(t, broken)
	assert.Equal(t, next.Stream, "r")
	assert.Equal(t, next.After, 2)
	next.Status, next.Body, next.Err = 200, versioned("r-t1", "v1.0", 3, 3), "EOF"
	again, broken := takeUpOf(next, "r-t2")
	assert.Assert(t, broken)
	assert.Equal(t, again.Stream, "r")
	assert.Equal(t, again.After, 3)
	next.Body, next.Err = versioned("r-t1", "v1.0", 3, 5), ""
	_, broken = takeUpOf(next, "r-t2")
	assert.Assert(t, !broken)
}

// TestStreamsOfTwoVersionsAreFound: within one answer, and over a client's attempts.
func TestStreamsOfTwoVersionsAreFound(t *testing.T) {
	for name, second := range map[string]string{"one version": "v1.0", "two versions": "v1.1"} {
		e := evidence{runs: map[string]int{}}
		for _, id := range []string{"a", "b", "c"} {
			first := brokenStream(id, "v1.0")
			next, _ := takeUpOf(first, id+"-t1")
			next.Status, next.Complete, next.Signed, next.Body = 200, true, true, versioned(next.ID, second, 3, 5)
			e.outcomes = append(e.outcomes, first, next)
			e.runs[first.ID], e.runs[next.ID] = 1, 1
		}
		found := strings.Join(e.violations(true), "; ")
		assert.Equal(t, strings.Contains(found, "3 streams hold events of two software versions"), second == "v1.1", "%s: %s", name, found)
		assert.Equal(t, found == "", second == "v1.0", "%s: %s", name, found)
	}
	within := brokenStream("w", "v1.0")
	within.Body = versioned("w", "v1.0", 1, 2) + versioned("w", "v1.1", 3, 3)
	assert.Equal(t, len(versionsIn(within.Body)), 3)
}
