// Package hostlist is a small stand-in of the platform's host list. What readers
// see lags behind what the control endpoints set.
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

// Server speaks the host list's protocol over HTTP.
type Server struct {
	mu      sync.Mutex
	truth   fleet.List
	visible *lag.Value[fleet.List]
	mux     *http.ServeMux
}

// NewServer returns a server that shows initial at once and every change after lagTime.
func NewServer(initial fleet.List, lagTime time.Duration) *Server {
	if initial.Version == 0 {
		initial.Version = 1
	}
	s := &Server{
		truth:   initial,
		visible: lag.New(initial, lagTime, time.Now),
		mux:     http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /v1/hosts", gzipped(s.get))
	s.mux.HandleFunc("PUT /control/hosts", s.replace)
	s.mux.HandleFunc("POST /control/leaving", s.leaving)
	s.mux.HandleFunc("POST /control/remove", s.remove)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// get answers GET /v1/hosts, without a body if the reader has the list already.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.write(w, r, func(list fleet.List) fleet.List { return list })
}

// write answers with the list as a reader sees it.
func (s *Server) write(w http.ResponseWriter, r *http.Request, seen func(fleet.List) fleet.List) {
	list := s.visible.Get()
	tag := "W/" + strconv.Quote(strconv.FormatUint(list.Version, 10))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	jsonhttp.Write(w, http.StatusOK, seen(list))
}

// replace answers PUT /control/hosts.
func (s *Server) replace(w http.ResponseWriter, r *http.Request) {
	var list fleet.List
	if !jsonhttp.Read(w, r, &list) {
		return
	}
	s.change(func([]fleet.Host) []fleet.Host { return list.Hosts })
}

// leaving answers POST /control/leaving.
func (s *Server) leaving(w http.ResponseWriter, r *http.Request) {
	var body Leaving
	if !jsonhttp.Read(w, r, &body) {
		return
	}
	s.changeHost(w, body.Name, func(hosts []fleet.Host, i int) []fleet.Host {
		hosts[i].Leaving = body.Leaving
		return hosts
	})
}

// remove answers POST /control/remove.
func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	var body Remove
	if !jsonhttp.Read(w, r, &body) {
		return
	}
	s.changeHost(w, body.Name, func(hosts []fleet.Host, i int) []fleet.Host {
		return slices.Delete(hosts, i, i+1)
	})
}

// changeHost applies edit at the named host, or answers 404.
func (s *Server) changeHost(w http.ResponseWriter, name string, edit func([]fleet.Host, int) []fleet.Host) {
	found := false
	s.change(func(hosts []fleet.Host) []fleet.Host {
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

// change replaces the truth by what edit makes of a copy of the hosts.
func (s *Server) change(edit func([]fleet.Host) []fleet.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hosts := edit(slices.Clone(s.truth.Hosts))
	s.truth = fleet.List{Version: s.truth.Version + 1, Hosts: hosts}
	s.visible.Set(s.truth)
}
