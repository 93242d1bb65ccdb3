package config

import "regexp"

// Limits on the configuration that operators may declare.
const (
	MinStages = 3
	MaxStages = 6
	// MaxDeadlineMS bounds every deadline. It is below the lifetime of a sidecar's
	// tickets, so that a claimed attempt is dispatched within that lifetime or never.
	MaxDeadlineMS      = 60_000
	MaxTokens          = 8192
	MaxPrefixBytes     = 2048
	MaxTemplates       = 64
	MaxModels          = 64
	MaxDrained         = 1024
	MaxPipelines       = 16
	MaxStageParameters = MaxPipelines * MaxStages
	MaxReplicas        = 10_000
	MaxWeight          = 1000
	MinPriority        = -10
	MaxPriority        = 10
	MaxInFlightLimit   = 1_000_000
	// MaxShardBytes is the maximum size of one object in the platform's store.
	MaxShardBytes = 1 << 20
)

// namePattern matches valid names of templates, stages, services and workspaces.
// They are used in URLs, object keys and log lines.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// modelPattern matches valid names and versions of models.
var modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
