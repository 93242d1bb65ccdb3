package platformfleet

import "fmt"

// discovered is a worker's entry in discovery.
type discovered struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

// document is the operator's configuration.
type document struct {
	Version  int64     `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Tenants  []tenant  `json:"tenants"`
}

// route is one route.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"path_prefix"`
	Kind        string  `json:"route_kind"`
	TimeoutMS   int     `json:"timeout_ms"`
	GoalMS      int     `json:"goal_ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max_attempts"`
	Resumable   bool    `json:"resumable"`
	Stages      []stage `json:"stages"`
}

// stage is one stage of a route.
type stage struct {
	Service   string `json:"service"`
	After     []int  `json:"after"`
	ByteCount int    `json:"byte_count"`
}

// service is one service.
type service struct {
	Name   string  `json:"name"`
	Pieces *pieces `json:"pieces,omitempty"`
	Engine *engine `json:"engine,omitempty"`
}

// pieces is how a stage service works.
type pieces struct {
	Slots      int     `json:"slots"`
	Queue      int     `json:"queue"`
	Batch      int     `json:"batch"`
	CallMS     float64 `json:"call_ms"`
	ItemMS     float64 `json:"item_ms"`
	HeadroomMB float64 `json:"headroom_mb"`
	HandleS    float64 `json:"handle_s"`
}

// engine is how a model service works.
type engine struct {
	Slots int `json:"slots"`
}

// limits bound what clients send.
type limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMS int `json:"header_timeout_ms"`
	IdleTimeoutMS   int `json:"idle_timeout_ms"`
}

// tenant is a workspace.
type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

// configuration returns the deployment's configuration: a route of each kind.
func configuration() document {
	pool := &pieces{Slots: 1, Queue: 2, Batch: 8, CallMS: 20, ItemMS: 1, HeadroomMB: 1, HandleS: 4}
	return document{
		Version: 1,
		Routes: []route{
			{Name: "saldo", Host: Host, Prefix: "/saldo/", Kind: "unsafe", TimeoutMS: 800, GoalMS: 300, Priority: 2, Service: desks, MaxAttempts: 1},
			{Name: "cupon", Host: Host, Prefix: "/cupon/", Kind: "safe", TimeoutMS: 800, GoalMS: 300, Priority: 2, Service: desks, MaxAttempts: 2},
			{Name: "consulta", Host: Host, Prefix: "/consulta/", Kind: "streaming", TimeoutMS: 6000, GoalMS: 1800, Priority: 1, Service: engines,
				MaxAttempts: 2, Resumable: true, Stages: []stage{
					{Service: encoders, After: []int{}, ByteCount: 8000},
					{Service: rankers, After: []int{0}, ByteCount: 6000},
				}},
		},
		Services: []service{{Name: desks}, {Name: engines, Engine: &engine{Slots: 64}}, {Name: encoders, Pieces: pool}, {Name: rankers, Pieces: pool}},
		Limits:   limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants:  []tenant{{Name: workspace, APIKeys: []string{Key}, Priority: 1}},
	}
}

// settings returns a gateway's settings file; ports are those for clients, readiness,
// the fleet and metrics.
func settings(name, store string, ports [4]string) string {
	return fmt.Sprintf(`[process]
name = %q
zone = "sala-inaquito"
memory_mb = 284

[listen]
clients = %q
readiness = %q
fleet = %q
metrics = %q

[store]
address = %q

[bounds]
revoke_ms = 5000
grace_s = 4
retry_ratio = 0.2
retry_slack = 54

[fleet]
key = "demo"
`, name, ports[0], ports[1], ports[2], ports[3], store)
}
