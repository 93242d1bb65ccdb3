package hostlist

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fleet"
)

// initial is a host list with two hosts.
var initial = fleet.List{Hosts: []fleet.Host{{Name: "a"}, {Name: "b"}}}

// do sends a request to the server and returns the response's status and body.
func do(s *Server, method, path, body string) (int, string) {
	response := httptest.NewRecorder()
	s.ServeHTTP(response, httptest.NewRequest(method, path, strings.NewReader(body)))
	return response.Code, response.Body.String()
}

// visible returns the list that readers see.
func visible(t *testing.T, s *Server) fleet.List {
	_, body := do(s, http.MethodGet, "/v1/hosts", "")
	var list fleet.List
	assert.NilError(t, json.Unmarshal([]byte(body), &list))
	return list
}

func TestChangesRaiseTheVersion(t *testing.T) {
	s := NewServer(initial, 0)
	first := visible(t, s)
	status, _ := do(s, http.MethodPost, "/control/leaving", `{"name":"b","leaving":true}`)
	assert.Equal(t, status, http.StatusOK)
	second := visible(t, s)
	assert.Assert(t, second.Version > first.Version)
	assert.Assert(t, second.Hosts[1].Leaving && !second.Hosts[0].Leaving)
	assert.Assert(t, !initial.Hosts[1].Leaving, "the initial list was changed in place")
	status, _ = do(s, http.MethodPost, "/control/remove", `{"name":"a"}`)
	assert.Equal(t, status, http.StatusOK)
	third := visible(t, s)
	assert.Equal(t, len(third.Hosts), 1)
	assert.Equal(t, third.Hosts[0].Name, "b")
	status, _ = do(s, http.MethodPost, "/control/remove", `{"name":"a"}`)
	assert.Equal(t, status, http.StatusNotFound)
}

func TestReadersSeeTheOldListWithinTheLag(t *testing.T) {
	s := NewServer(initial, time.Hour)
	status, _ := do(s, http.MethodPut, "/control/hosts", `{"hosts":[]}`)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, len(visible(t, s).Hosts), 2)
}

func TestAReaderThatTakesGzipGetsTheListCompressed(t *testing.T) {
	var long fleet.List
	for range 100 {
		long.Hosts = append(long.Hosts, fleet.Host{Name: "a-host", Zone: "a-zone"})
	}
	s := NewServer(long, 0)
	request := httptest.NewRequest(http.MethodGet, "/v1/hosts", nil)
	request.Header.Set("Accept-Encoding", "gzip")
	response := httptest.NewRecorder()
	s.ServeHTTP(response, request)
	assert.Equal(t, response.Header().Get("Content-Encoding"), "gzip")
	assert.Assert(t, response.Body.Len() < 1000)
	body, err := gzip.NewReader(response.Body)
	assert.NilError(t, err)
	var list fleet.List
	assert.NilError(t, json.NewDecoder(body).Decode(&list))
	assert.DeepEqual(t, list.Hosts, long.Hosts)

	request.Header.Set("If-None-Match", response.Header().Get("ETag"))
	revalidation := httptest.NewRecorder()
	s.ServeHTTP(revalidation, request)
	assert.Equal(t, revalidation.Code, http.StatusNotModified)
	assert.Equal(t, revalidation.Body.Len(), 0)
}
