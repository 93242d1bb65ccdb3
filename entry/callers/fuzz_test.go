package callers

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"gotest.tools/v3/assert"

	"acaciawinch/core"
	"acaciawinch/entry/pipeline"
)

// FuzzSubmit sends requests with arbitrary content. A refusal must be a problem document
// with the outcome not_run; a request that reaches the runner must respect every bound.
func FuzzSubmit(f *testing.F) {
	f.Add("POST", "w", "p", "{}", "key", "100", "text/event-stream")
	f.Add("PUT", "x", "q", "{", "", "-1", "")
	f.Add("POST", "%2f", "..", `"\ud800"`, "\xff", "99999999999", "*/*")
	f.Add("POST", "w", "p", "0", "\x00\x80y", "", "")
	f.Add("POST", "w", "p", strings.Repeat("[", 64), strings.Repeat("k", 256), "0x10", "text/event-stream, */*")
	f.Fuzz(func(t *testing.T, method, workspace, name, body, key, deadline, accept string) {
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
		r.Method = method
		r.URL.Path = "/v1/workspaces/" + workspace + "/pipelines/" + name + "/requests"
		r.Header = http.Header{headerKey: {key}, headerDeadline: {deadline}, "Accept": {accept}}
		runner := &fakeRunner{result: pipeline.Result{Outcome: core.OutcomeAnswered}}
		s, _ := newServer(runner)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		if runner.calls == 0 {
			verifyRefusal(t, w)
			return
		}
		assert.Equal(t, w.Code, http.StatusOK)
		verifyAdmitted(t, runner.got)
	})
}

// verifyRefusal checks the response to a request that did not reach the runner. The mux of
// the standard library redirects paths that are not clean by itself.
func verifyRefusal(t *testing.T, w *httptest.ResponseRecorder) {
	if w.Code/100 == 3 {
		return
	}
	p := problemFrom(t, w)
	assert.Assert(t, w.Code >= 400, "status %d", w.Code)
	assert.Equal(t, p.Outcome, core.OutcomeNotRun)
}

// verifyAdmitted checks the properties that the entry relies on after admission.
func verifyAdmitted(t *testing.T, got pipeline.Request) {
	assert.Equal(t, got.Workspace.Name+"/"+got.Template.Name, "w/p")
	assert.Assert(t, json.Valid(got.Body) && len(got.Body) <= 64, "%q", got.Body)
	assert.Assert(t, got.Deadline > 0 && got.Deadline <= 5*time.Second, "%v", got.Deadline)
	assert.Assert(t, got.Key != "" && len(got.Key) <= maxKeyBytes && utf8.ValidString(got.Key), "%q", got.Key)
}
