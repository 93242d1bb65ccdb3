package hostlist

import (
	"net/http"

	"acaciawinch/core/fleet"
)

// View is the list as the readers of one availability zone see it: with other
// addresses for the hosts that they reach another way.
type View struct {
	Zone      string    `json:"zone"`
	Addresses []Address `json:"addresses"`
}

// Address is where the readers of a view reach a host.
type Address struct {
	Host string `json:"host"`
	// Addr and Own are IP:port pairs: the view's, and the host's own.
	Addr string `json:"addr"`
	Own  string `json:"own"`
}

// Show adds a view, served under its own path, ViewPath. Call it before serving.
func (s *Server) Show(view View) {
	s.mux.HandleFunc("GET "+ViewPath(view.Zone)+"/v1/hosts", gzipped(func(w http.ResponseWriter, r *http.Request) {
		s.write(w, r, view.apply)
	}))
}

// ViewPath is the path below which a zone's view is served.
func ViewPath(zone string) string { return "/views/" + zone }

// apply returns the list with the view's addresses.
func (v View) apply(list fleet.List) fleet.List {
	seen := fleet.List{Version: list.Version}
	for _, host := range list.Hosts {
		for _, address := range v.Addresses {
			if address.Host == host.Name && address.Own == host.Addr {
				host.Addr = address.Addr
			}
		}
		seen.Hosts = append(seen.Hosts, host)
	}
	return seen
}
