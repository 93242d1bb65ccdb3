// Package platformdoc has the documents that stand-ins write into the platform's store
// as the operator and the workers do, in the platform's own names.
package platformdoc

// Worker is a worker's entry in discovery.
type Worker struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	// ColdLeftMS is how much longer it is cold, in ms.
	ColdLeftMS int `json:"cold_left_ms"`
}

// Document is the operator's configuration.
type Document struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants,omitempty"`
}

// Route is one route.
type Route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"path_prefix"`
	Kind        string `json:"route_kind"`
	TimeoutMS   int    `json:"timeout_ms"`
	GoalMS      int    `json:"goal_ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
	Resumable   bool   `json:"resumable"`
	// AllowedRegions are those that may process its requests; none allows all.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
	Stages         []Stage  `json:"stages,omitempty"`
}

// Stage is one stage of a route.
type Stage struct {
	Service   string `json:"service"`
	After     []int  `json:"after"`
	ByteCount int    `json:"byte_count"`
}

// Service is one service.
type Service struct {
	Name string `json:"name"`
	// ColdStartS is how long a worker is cold after its start, in s, and ColdPerS what it takes
	// meanwhile, in requests a second.
	ColdStartS float64 `json:"cold_start_s"`
	ColdPerS   float64 `json:"cold_per_s"`
	Pieces     *Pieces `json:"pieces,omitempty"`
	Engine     *Engine `json:"engine,omitempty"`
}

// Pieces is how a stage service works.
type Pieces struct {
	Slots      int     `json:"slots"`
	Queue      int     `json:"queue"`
	Batch      int     `json:"batch"`
	CallMS     float64 `json:"call_ms"`
	ItemMS     float64 `json:"item_ms"`
	HeadroomMB float64 `json:"headroom_mb"`
	HandleS    float64 `json:"handle_s"`
}

// Engine is how a model service works.
type Engine struct {
	Slots int `json:"slots"`
}

// Limits bound what clients send.
type Limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMS int `json:"header_timeout_ms"`
	IdleTimeoutMS   int `json:"idle_timeout_ms"`
}

// Tenant is a workspace.
type Tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"api_keys"`
	// AllowedRegions are those that may process its requests; none allows all.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
	Priority       int      `json:"priority"`
}
