package hostlist

import (
	"net/http"

	"acaciawinch/core/fleet"
)

// View is the host list for the readers of one availability zone. It replaces the
// addresses of the hosts that the zone reaches through relays.
type View struct {
	Zone      string    `json:"zone"`
	Addresses []Address `json:"addresses"`
}

// Address replaces the address of one host in a view.
type Address struct {
	Host string `json:"host"`
	// Addr is the IP:port in the view. HostAddr is the host's own; the entry applies only
	// while the host list has this address for the host.
	Addr     string `json:"addr"`
	HostAddr string `json:"own"`
}

// AddView adds a view and serves it below ViewPath. It must be called before the server
// handles requests.
func (s *Server) AddView(view View) {
	s.mux.HandleFunc("GET "+ViewPath(view.Zone)+"/v1/hosts", withGzip(func(w http.ResponseWriter, r *http.Request) {
		s.writeList(w, r, view.apply)
	}))
}

// ViewPath returns the path below which a zone's view is served.
func ViewPath(zone string) string { return "/views/" + zone }

// apply returns a copy of the list with the view's addresses.
func (v View) apply(list fleet.List) fleet.List {
	viewed := fleet.List{Version: list.Version}
	for _, host := range list.Hosts {
		for _, address := range v.Addresses {
			if address.Host == host.Name && address.HostAddr == host.Addr {
				host.Addr = address.Addr
			}
		}
		viewed.Hosts = append(viewed.Hosts, host)
	}
	return viewed
}
