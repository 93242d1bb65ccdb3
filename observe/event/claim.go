package event

// Events of the claims of at-most-once stages: 4000 to 4999.
var (
	ClaimDecided = define(4001, "claim_decided",
		"A claim was opened, reassigned, released or checked, with the verdict and the reason.",
		"action", "claim", "status", "reason", "request", "attempt", "nonce", "upstream", "version")
	ClaimRefused = define(4002, "claim_refused",
		"A claim belongs to another request body or key, or its object can't be decoded.",
		"action", "claim", "error")
	ClaimSideUnreachable = define(4003, "claim_side_unreachable",
		"The sidecar named in a claim did not report the outcome of the attempt.",
		"claim", "upstream", "addr", "error")
	ClaimNotRecorded = define(4004, "claim_not_recorded",
		"The result of a claimed attempt could not be written to its claim.",
		"claim", "error")
	ClaimsExpired = define(4005, "claims_expired",
		"A pass over all claims ended; claims older than the retention period were deleted.",
		"listed", "deleted", "failed")
)
