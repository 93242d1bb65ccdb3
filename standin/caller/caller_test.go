package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/config"
	"acaciawinch/standin/catalog"
	"acaciawinch/standin/output"
)

// testCatalog has one pipeline with a single engine stage.
var testCatalog = catalog.Catalog{
	Templates: []config.Template{{
		Name:   "p",
		Stages: []config.Stage{{Name: "g", Service: "e", Kind: config.KindEngine, MaxTokens: 3}},
	}},
	Workspaces: []config.Workspace{{Name: "w"}},
}

// request is a request for the pipeline.
var request = Request{Workspace: "w", Pipeline: "p", Body: []byte("{}"), Stream: true}

// tokens returns the expected chunks of the response.
func tokens() [][]byte {
	return output.StageOutput(testCatalog.Templates[0].Stages[0], request.Body)
}

// stream formats chunks as server-sent events, with a closing event if closing is
// set.
func stream(chunks [][]byte, closing bool) string {
	var text strings.Builder
	for i, chunk := range chunks {
		fmt.Fprintf(&text, "event: chunk\nid: %d\ndata: {\"index\":%d,\"text\":%q}\n\n", i, i, chunk)
	}
	if closing {
		digest := output.Digest(output.Join(chunks))
		fmt.Fprintf(&text, "event: done\ndata: {\"request_id\":\"r\",\"outcome\":\"answered\",\"chunks\":%d,\"digest\":%q}\n\n", len(chunks), digest)
	}
	return text.String()
}

// send returns the result that a client records for a response with the given
// content type and body.
func send(t *testing.T, r Request, contentType, text string) Result {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		_, _ = w.Write([]byte(text))
	}))
	defer server.Close()
	client := New(testCatalog)
	defer client.Close()
	return client.Send(t.Context(), server.URL, r)
}

func TestStreamVerdicts(t *testing.T) {
	good := tokens()
	foreign := [][]byte{[]byte("x "), good[1], good[2]}
	swapped := strings.Replace(stream(good, true), `"index":1`, `"index":2`, 1)
	badDigest := strings.Replace(stream(good, true), `"digest":"`, `"digest":"0`, 1)
	cases := []struct {
		name string
		text string
		want Verdict
	}{
		{"whole", stream(good, true), Complete},
		{"cut", stream(good, false), Truncated},
		{"short", stream(good[:2], true), Mismatch},
		{"another request's", stream(foreign, true), Mismatch},
		{"out of order", swapped, Mismatch},
		{"digest", badDigest, Mismatch},
		{"problem", stream(good[:1], false) + "event: problem\ndata: {\"outcome\":\"failed\"}\n\n", Problem},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			result := send(t, request, "text/event-stream", c.text)
			assert.Equal(t, result.Verdict, c.want, result.Detail)
		})
	}
}

func TestJSONVerdicts(t *testing.T) {
	r := request
	r.Stream = false
	for _, complete := range []bool{true, false} {
		joined := output.Join(tokens())
		if !complete {
			joined = joined[1:]
		}
		text, err := json.Marshal(jsonResponse{Outcome: "answered", Output: string(joined), Digest: output.Digest(joined)})
		assert.NilError(t, err)
		result := send(t, r, "application/json", string(text))
		assert.Equal(t, result.Verdict == Complete, complete)
	}
	result := send(t, r, "application/problem+json", `{"outcome":"not_run","retry_after_ms":5}`)
	assert.Equal(t, result.Verdict, Problem)
	assert.Equal(t, result.RetryAfter.Milliseconds(), int64(5))
}

func TestMissingResponseIsUnreadable(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	result := New(testCatalog).Send(t.Context(), server.URL, request)
	assert.Equal(t, result.Verdict, Unreadable)
}
