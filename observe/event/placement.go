package event

// Events of the placement of models on engines: 6000 to 6999.
var (
	PlacementLeaseTaken = define(6001, "placement_lease_taken",
		"This process holds the placement lease now.", "term")
	PlacementLeaseLost = define(6002, "placement_lease_lost",
		"This process no longer holds the placement lease.", "term", "reason")
	PlacementWritten = define(6003, "placement_written",
		"A plan is in force.", "sequence", "version", "revision", "assignments", "loads", "reason")
	PlacementDecided = define(6004, "placement_decided",
		"One change of a plan that is in force, with the engines that were weighed and why.",
		"sequence", "action", "upstream", "model", "version", "reason", "alternatives")
	PlacementNotWritten = define(6005, "placement_not_written",
		"A plan was not written: another process wrote one first, or the store did not answer.",
		"sequence", "error")
	PlacementEngineSilent = define(6006, "placement_engine_silent",
		"An engine's side did not answer for the whole grace; its models are placed elsewhere.",
		"upstream", "addr", "silent_ms")
	PlacementLoadStuck = define(6007, "placement_load_stuck",
		"An engine did not come to hold a model in the time allowed; it is placed elsewhere.",
		"upstream", "model", "version", "waited_ms")
	PlacementShort = define(6008, "placement_short",
		"Wanted replicas have no engine with room.", "model", "version", "reason")
)
