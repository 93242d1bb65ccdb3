package event

// Events of gateways that pass on updates of the platform's store: 10060 to 10069.
var (
	SourceChanged = define(10060, "source_changed", "The process gets updates of the platform's store from another source than before: from the store itself (reads), from another gateway (follows), or from both.", "reads", "follows", "incarnation", "reason", "proof_age_ms", "hops")
	SourceLost    = define(10061, "source_lost", "The gateway that this process followed closed the connection, stopped sending or is unreachable.", "source", "incarnation", "proof_age_ms", "error")
	FollowerCame  = define(10062, "follower_came", "Another gateway started to follow this one.", "peer")
	FollowerLeft  = define(10063, "follower_left", "A gateway stopped following this one.", "peer", "after_ms", "error")
)
