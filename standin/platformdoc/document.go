// Package platformdoc defines the documents that the operator and the workers write into the
// platform's store. They use the platform's own field names.
package platformdoc

// Worker is the entry of a worker in discovery.
type Worker struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	// ColdLeftMS is for how many more ms the worker is cold.
	ColdLeftMS int `json:"cold_left_ms"`
	// Version is the version of the worker's software; workers of older builds leave it out.
	Version string `json:"version,omitempty"`
}

// Document is the configuration that the operator writes.
type Document struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants,omitempty"`
}

// Route is a route of the configuration.
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
	// GapGoalMS is the longest time allowed between two events of a stream, 0 if none is set.
	GapGoalMS int `json:"gap_goal_ms,omitempty"`
	// AllowedRegions are the regions that may process its requests; empty for all.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
	Stages         []Stage  `json:"stages,omitempty"`
}

// Stage is one stage of a route.
type Stage struct {
	Service   string `json:"service"`
	After     []int  `json:"after"`
	ByteCount int    `json:"byte_count"`
}

// Service is a service of the configuration.
type Service struct {
	Name string `json:"name"`
	// ColdStartS is for how many seconds a worker is cold after its start, and ColdPerS how many
	// requests a second it takes while it is cold.
	ColdStartS float64 `json:"cold_start_s"`
	ColdPerS   float64 `json:"cold_per_s"`
	Pieces     *Pieces `json:"pieces,omitempty"`
	Engine     *Engine `json:"engine,omitempty"`
}

// Pieces describes the workers of a stage service.
type Pieces struct {
	Slots      int     `json:"slots"`
	Queue      int     `json:"queue"`
	Batch      int     `json:"batch"`
	CallMS     float64 `json:"call_ms"`
	ItemMS     float64 `json:"item_ms"`
	HeadroomMB float64 `json:"headroom_mb"`
	HandleS    float64 `json:"handle_s"`
}

// Engine describes the workers of a model service.
type Engine struct {
	Slots int `json:"slots"`
}

// Limits bound the requests of clients.
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
	// AllowedRegions are the regions that may process its requests; empty for all.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
	Priority       int      `json:"priority"`
}
