// Package config holds the configuration that operators declare: pipeline templates,
// models, drained upstreams and the parameters of each workspace.
//
// The configuration of one revision is stored as a head and the parts that the head
// references by their content hashes: one part with the templates, models and
// drained upstreams, and one for each shard of the workspaces. Parts are immutable.
// Each change writes the parts that it touches, an immutable copy of the new head,
// and then the head itself.
package config

// StageKind is the way in which a service runs a stage.
type StageKind string

// The kinds of stages.
const (
	// KindEngine is a generation stage on a model engine; its output is streamed.
	KindEngine StageKind = "engine"
	// KindPool is a stage on a stage pool: an encoder, retriever or reranker.
	KindPool StageKind = "pool"
	// KindService is a call to a plain service.
	KindService StageKind = "service"
)

// Stage is one step of a pipeline. Its input is the output of the previous stage, or
// the request's body for the first stage.
type Stage struct {
	Name string `json:"name" toml:"name"`
	// Service names the group of upstreams that run the stage.
	Service string    `json:"service" toml:"service"`
	Kind    StageKind `json:"kind" toml:"kind"`
	// NonIdempotent marks a stage that must run at most once per request.
	NonIdempotent bool `json:"non_idempotent,omitempty" toml:"non_idempotent,omitempty"`
	// Model and Version identify the model that an engine must have loaded; they are
	// empty for other kinds of stages.
	Model   string `json:"model,omitempty" toml:"model,omitempty"`
	Version string `json:"version,omitempty" toml:"version,omitempty"`
	// MaxTokens bounds the output of an engine stage.
	MaxTokens int `json:"max_tokens,omitempty" toml:"max_tokens,omitzero"`
	// ExpectedMS is the declared median service time in milliseconds, used until a
	// measured one is available.
	ExpectedMS int `json:"expected_ms,omitempty" toml:"expected_ms,omitzero"`
}

// Template is a pipeline of 3 to 6 stages.
type Template struct {
	Name string `json:"name" toml:"name"`
	// DeadlineMS is the default deadline of a request in milliseconds; MaxDeadlineMS
	// is the longest deadline that a request may set.
	DeadlineMS    int     `json:"deadline_ms" toml:"deadline_ms"`
	MaxDeadlineMS int     `json:"max_deadline_ms" toml:"max_deadline_ms"`
	Stages        []Stage `json:"stages" toml:"stages"`
}

// StageParameters are the values that a workspace sets for one stage of one pipeline.
// Empty fields keep the template's value.
type StageParameters struct {
	Pipeline  string `json:"pipeline" toml:"pipeline"`
	Stage     string `json:"stage" toml:"stage"`
	Model     string `json:"model,omitempty" toml:"model,omitempty"`
	Version   string `json:"version,omitempty" toml:"version,omitempty"`
	MaxTokens int    `json:"max_tokens,omitempty" toml:"max_tokens,omitzero"`
	// Prefix is prepended to the stage's input; engines cache it.
	Prefix string `json:"prefix,omitempty" toml:"prefix,omitempty"`
}

// Workspace holds one customer's parameters.
type Workspace struct {
	Name string `json:"name" toml:"name"`
	// Pipelines are the templates that the workspace may call.
	Pipelines []string `json:"pipelines" toml:"pipelines"`
	// Priority orders the queues of the upstreams; higher is served first.
	Priority int `json:"priority,omitempty" toml:"priority,omitzero"`
	// Weight is the workspace's relative share among workspaces of equal priority, at
	// least 1.
	Weight int `json:"weight" toml:"weight"`
	// DeadlineMS overrides the templates' default deadline if it is not zero.
	DeadlineMS int `json:"deadline_ms,omitempty" toml:"deadline_ms,omitzero"`
	// MaxInFlight bounds the workspace's requests in flight across the whole fleet;
	// zero means no bound.
	MaxInFlight int               `json:"max_in_flight,omitempty" toml:"max_in_flight,omitzero"`
	Stages      []StageParameters `json:"stages,omitempty" toml:"stages,omitempty"`
}

// Model is a model version that the fleet should keep loaded.
type Model struct {
	Name    string `json:"name" toml:"name"`
	Version string `json:"version" toml:"version"`
	// Service names the group of engines that may load the model.
	Service string `json:"service" toml:"service"`
	// Replicas is the number of engines that should have the model loaded.
	Replicas int `json:"replicas" toml:"replicas"`
}

// Templates is the part of the configuration that all workspaces share.
type Templates struct {
	Templates []Template `json:"templates" toml:"templates"`
	Models    []Model    `json:"models,omitempty" toml:"models,omitempty"`
	// Drained names the upstreams that operators have drained.
	Drained []string `json:"drained,omitempty" toml:"drained,omitempty"`
}
