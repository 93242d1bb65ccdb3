package event

// Events of model placement on engines: 6000 to 6999.
var (
	PlacementLeaseTaken = define(6001, "placement_lease_taken",
		"This process acquired the placement lease.", "term")
	PlacementLeaseLost = define(6002, "placement_lease_lost",
		"This process lost the placement lease.", "term", "reason")
	PlacementWritten = define(6003, "placement_written",
		"A placement plan was written and is in force.", "sequence", "version", "revision", "assignments", "loads", "reason")
	PlacementDecided = define(6004, "placement_decided",
		"One change of a plan that is in force, with the engines considered and the reason.",
		"sequence", "action", "upstream", "model", "version", "reason", "alternatives")
	PlacementNotWritten = define(6005, "placement_not_written",
		"A plan was not written: another process wrote one first, or the store did not respond.",
		"sequence", "error")
	PlacementEngineSilent = define(6006, "placement_engine_silent",
		"An engine's sidecar did not respond within the grace period; its models are placed elsewhere.",
		"upstream", "addr", "silent_ms")
	PlacementLoadStuck = define(6007, "placement_load_stuck",
		"An engine did not load a model within the timeout; the model is placed elsewhere.",
		"upstream", "model", "version", "waited_ms")
	PlacementShort = define(6008, "placement_short",
		"No engine has room for some of a model's desired replicas.", "model", "version", "reason")
)
