package config

import "regexp"

// Limits of what operators may declare.
const (
	MinStages = 3
	MaxStages = 6
	// MaxDeadlineMS bounds every deadline. It is below the lifetime of a side's
	// tickets, so that a claimed attempt is dispatched within it or never.
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
	// MaxShardBytes is what one object of the platform holds.
	MaxShardBytes = 1 << 20
)

// namePattern is what names of templates, stages, services and workspaces look
// like: they stand in URLs, object keys and log lines.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// modelPattern is what names and versions of models look like.
var modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
