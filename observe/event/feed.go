package event

// Events of the configuration and of the feed of the fleet's state: 5000 to 5999.
var (
	ConfigInForce    = define(5001, "config_in_force", "A newer configuration is in force in this process.", "revision", "change_id", "source")
	FeedStarted      = define(5002, "feed_started", "The process has its first full state and may serve.", "revision", "hosts_version", "placement_version", "authority")
	FeedProvider     = define(5003, "feed_provider_chosen", "The process follows the feed of an entry.", "provider", "zone", "reason", "alternatives")
	FeedProviderLost = define(5004, "feed_provider_lost", "The feed of an entry ended or stopped sending.", "provider", "error", "avoid_ms")
	FeedDirect       = define(5005, "feed_direct", "No entry feeds this process; it reads directly from the platform.", "reason")
	RelayBegan       = define(5006, "relay_began", "This entry became a relay: it watches the platform on behalf of other processes.", "reason")
	RelayEnded       = define(5007, "relay_ended", "This entry stopped being a relay.", "reason")
	FeedMismatch     = define(5008, "feed_digest_mismatch", "Applying a configuration change did not yield the sender's digest; the full state is requested.", "provider", "error")
	FeedCatchUp      = define(5009, "feed_catch_up", "A message named a newer revision than this process has, and no feed delivered it.", "wanted", "held", "peer")
	HostsChanged     = define(5010, "hosts_changed", "A newer host list is in force in this process.", "version", "hosts", "leaving", "source")
	PlacementChanged = define(5011, "placement_changed", "A newer desired placement is in force in this process.", "version", "source")
	ConfigCleaned    = define(5012, "config_cleaned", "A cleanup pass over old configurations removed what is past its retention.", "outcome", "oldest", "listed", "copies", "parts", "spared", "detail")

	ConfigCleanUnfinished = define(5013, "config_clean_unfinished", "A cleanup pass over old configurations did not complete; the next one continues.", "outcome", "oldest", "listed", "copies", "parts", "spared", "detail")

	FeedReadFailed = define(5014, "feed_read_failed", "A starting process could not read the state directly from the platform; it retries.", "wanted", "error")
)
