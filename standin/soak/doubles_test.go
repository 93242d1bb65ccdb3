package soak

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/worker"
)

// TestInputsOfOthersAreFound checks the judgement of the results with which requests ran at engines.
func TestInputsOfOthersAreFound(t *testing.T) {
	made := map[string]worker.Item{"other": {ID: "b", Stage: 1}, "early": {ID: "a", Stage: 0}}
	var own []string
	for i := range rankItems {
		handle := string(rune('0' + i))
		made[handle] = worker.Item{ID: "a", Stage: 1, Index: i}
		own = append(own, handle)
	}
	for text, want := range map[string]string{
		strings.Join(own, ","):                         "",
		strings.Join(own[1:], ","):                     "lacked inputs",
		strings.Join(append(own[1:], own[1]), ","):     "lacked inputs",
		strings.Join(append(own[1:], "other"), ","):    "got the input other of another request or stage",
		strings.Join(append(own[1:], "early"), ","):    "got the input early of another request or stage",
		strings.Join(append(own[1:], "nobody's"), ","): "got the input nobody's of another request or stage",
	} {
		e := &evidence{itemByHandle: made}
		assert.Equal(t, e.judgeInputsOf(worker.Run{ID: "a", Header: http.Header{"X-Inputs": {text}}}), want)
	}
}
