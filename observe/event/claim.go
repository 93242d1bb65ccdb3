package event

// Events of claims of stages that run at most once: 4000 to 4999.
var (
	ClaimDecided = define(4001, "claim_decided",
		"A claim was opened, reassigned, released or looked at, with the verdict and why.",
		"action", "claim", "status", "reason", "request", "attempt", "nonce", "upstream", "version")
	ClaimRefused = define(4002, "claim_refused",
		"A claim belongs to another body or key, or its object can't be read as a claim.",
		"action", "claim", "error")
	ClaimSideUnreachable = define(4003, "claim_side_unreachable",
		"The side that a claim names did not answer what became of the attempt.",
		"claim", "upstream", "addr", "error")
	ClaimNotRecorded = define(4004, "claim_not_recorded",
		"The result of a claimed attempt could not be written to its claim.",
		"claim", "error")
	ClaimsExpired = define(4005, "claims_expired",
		"One pass over all claims ended; those older than the retention were deleted.",
		"listed", "deleted", "failed")
)
