// Package hostlist is a stand-in of the platform's host list. Changes made through its
// control endpoints become visible to readers after a delay.
package hostlist

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"acaciawinch/core/fleet"
	"acaciawinch/standin/internal/jsonhttp"
	"acaciawinch/standin/internal/lag"
)

// Leaving is the body of POST /control/leaving.
type Leaving struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// Remove is the body of POST /control/remove.
type Remove struct {
	Name string `json:"name"`
}

// Server implements the host list's HTTP protocol and the control endpoints.
type Server struct {
	mu      sync.Mutex
	current fleet.List
	visible *lag.Value[fleet.List]
	mux     *http.ServeMux
}

// NewServer returns a server that serves initial at once and each change after lagTime.
func NewServer(initial fleet.List, lagTime time.Duration) *Server {
	if initial.Version == 0 {
		initial.Version = 1
	}
	s := &Server{
		current: initial,
		visible: lag.New(initial, lagTime, time.Now),
		mux:     http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /v1/hosts", withGzip(s.get))
	s.mux.HandleFunc("PUT /control/hosts", s.replace)
	s.mux.HandleFunc("POST /control/leaving", s.leaving)
	s.mux.HandleFunc("POST /control/remove", s.remove)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// get handles GET /v1/hosts.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.writeList(w, r, func(list fleet.List) fleet.List { return list })
}

// writeList writes the visible list, changed by transform, or status 304 without a body if
// the reader has this version already.
func (s *Server) writeList(w http.ResponseWriter, r *http.Request, transform func(fleet.List) fleet.List) {
	list := s.visible.Get()
	tag := "W/" + strconv.Quote(strconv.FormatUint(list.Version, 10))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	jsonhttp.Write(w, http.StatusOK, transform(list))
}

// replace handles PUT /control/hosts.
func (s *Server) replace(w http.ResponseWriter, r *http.Request) {
	var list fleet.List
	if !jsonhttp.Read(w, r, &list) {
		return
	}
	s.update(func([]fleet.Host) []fleet.Host { return list.Hosts })
}

// leaving handles POST /control/leaving.
func (s *Server) leaving(w http.ResponseWriter, r *http.Request) {
	var body Leaving
	if !jsonhttp.Read(w, r, &body) {
		return
	}
	s.updateHost(w, body.Name, func(hosts []fleet.Host, i int) []fleet.Host {
		hosts[i].Leaving = body.Leaving
		return hosts
	})
}

// remove handles POST /control/remove.
func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	var body Remove
	if !jsonhttp.Read(w, r, &body) {
		return
	}
	s.updateHost(w, body.Name, func(hosts []fleet.Host, i int) []fleet.Host {
		return slices.Delete(hosts, i, i+1)
	})
}

// updateHost applies edit to the named host, or writes status 404 if there is none.
func (s *Server) updateHost(w http.ResponseWriter, name string, edit func([]fleet.Host, int) []fleet.Host) {
	found := false
	s.update(func(hosts []fleet.Host) []fleet.Host {
		i := slices.IndexFunc(hosts, func(h fleet.Host) bool { return h.Name == name })
		if i < 0 {
			return hosts
		}
		found = true
		return edit(hosts, i)
	})
	if !found {
		http.Error(w, "no such host", http.StatusNotFound)
	}
}

// update applies edit to a copy of the current hosts and publishes the result as the next
// version.
func (s *Server) update(edit func([]fleet.Host) []fleet.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hosts := edit(slices.Clone(s.current.Hosts))
	s.current = fleet.List{Version: s.current.Version + 1, Hosts: hosts}
	s.visible.Set(s.current)
}
