package event

// Events of configuration and of the feed of the fleet's state: 5000 to 5999.
var (
	ConfigInForce    = define(5001, "config_in_force", "A newer configuration is in force in this process.", "revision", "change_id", "source")
	FeedStarted      = define(5002, "feed_started", "The process holds its first state and may serve.", "revision", "hosts_version", "placement_version", "authority")
	FeedProvider     = define(5003, "feed_provider_chosen", "The process follows the feed of an entry.", "provider", "zone", "reason", "alternatives")
	FeedProviderLost = define(5004, "feed_provider_lost", "The feed of an entry ended or fell silent.", "provider", "error", "avoid_ms")
	FeedDirect       = define(5005, "feed_direct", "No entry feeds this process; it reads the platform itself.", "reason")
	RelayBegan       = define(5006, "relay_began", "This entry became a relay: it watches the platform for others.", "reason")
	RelayEnded       = define(5007, "relay_ended", "This entry is no relay any more.", "reason")
	FeedMismatch     = define(5008, "feed_digest_mismatch", "A change of the configuration did not lead to the sender's digest; everything is asked for.", "provider", "error")
	FeedCatchUp      = define(5009, "feed_catch_up", "A message carried a newer revision than this process holds, and no feed brought it.", "wanted", "held", "peer")
	HostsChanged     = define(5010, "hosts_changed", "A newer host list is in force in this process.", "version", "hosts", "leaving", "source")
	PlacementChanged = define(5011, "placement_changed", "A newer desired placement is in force in this process.", "version", "source")
	ConfigCleaned    = define(5012, "config_cleaned", "A pass removed what is no longer kept of old configurations.", "outcome", "oldest", "listed", "copies", "parts", "spared", "detail")

	ConfigCleanUnfinished = define(5013, "config_clean_unfinished", "A pass over old configurations did not come to its end; the next one goes on.", "outcome", "oldest", "listed", "copies", "parts", "spared", "detail")

	FeedReadFailed = define(5014, "feed_read_failed", "A process that starts could not read the state from the platform itself; it asks again.", "wanted", "error")
)
