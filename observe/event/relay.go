package event

// Events of gateways that pass on what they know of the platform's store: 10060 to 10069.
var (
	SourceChanged = define(10060, "source_changed", "The process learns what the platform's store holds from elsewhere than before: from the store itself (reads), from another gateway (follows), or from both.", "reads", "follows", "incarnation", "reason", "proof_age_ms", "hops")
	SourceLost    = define(10061, "source_lost", "The gateway that this process followed broke off, fell silent or can't be reached.", "source", "incarnation", "proof_age_ms", "error")
	FollowerCame  = define(10062, "follower_came", "Another gateway follows this one from now on.", "peer")
	FollowerLeft  = define(10063, "follower_left", "A gateway that followed this one does so no longer.", "peer", "after_ms", "error")
)
