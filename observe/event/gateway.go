package event

// Events of a gateway's knowledge of the fleet: 10000 to 10019.
var (
	WatchLost          = define(10001, "watch_lost", "The platform's store no longer answers for a kind of objects.", "kind", "revision", "error")
	WatchRegained      = define(10002, "watch_regained", "The platform's store answers again for a kind of objects.", "kind", "revision")
	WatchHistoryGone   = define(10003, "watch_history_gone", "The store no longer has the changes after a revision; the kind is listed again.", "kind", "revision")
	TableInForce       = define(10004, "table_in_force", "A newer configuration is in force in this process.", "version", "revision")
	TableRefused       = define(10005, "table_refused", "A configuration can't be read; the one before stays in force.", "revision", "error")
	UpstreamChanged    = define(10006, "upstream_changed", "An upstream came, started again, or said that it is leaving or cold.", "upstream", "service", "address", "leaving", "born", "cold_ms", "revision")
	UpstreamGone       = define(10007, "upstream_gone", "An upstream's entry was removed; it gets no new work.", "upstream", "service", "address")
	UpstreamUnreadable = define(10008, "upstream_unreadable", "An upstream's entry can't be read, so that it names none to use.", "upstream", "revision", "error")
	MembersChanged     = define(10009, "members_changed", "The list of the other gateways changed.", "members")
	MemberUnreadable   = define(10010, "member_unreadable", "A gateway's object can't be read; it gets no work.", "member", "error")
	RegisterFailed     = define(10011, "register_failed", "This process's own object could not be written or removed.", "member", "error")
	SettingsReloaded   = define(10012, "settings_reloaded", "The settings file was read again.", "changed", "error")
	UpstreamOutdated   = define(10014, "upstream_outdated", "An upstream's entry tells of an earlier start than the one known, and is passed over.", "upstream", "revision", "born", "known_born")
	ZoneEvacuated      = define(10015, "zone_evacuated", "The operator asks that a zone be emptied: its upstreams get nothing new.", "zone", "revision", "upstreams")
	ZoneTakenBack      = define(10016, "zone_taken_back", "A zone's evacuation has ended: its upstreams take work again.", "zone", "after_ms", "upstreams")
	ZoneEmptied        = define(10017, "zone_emptied", "Nothing that this process sent to an evacuated zone is open there any more.", "zone", "after_ms")
	UpstreamAsked      = define(10018, "upstream_asked", "An upstream's answer said that it leaves, or for how long it wants nothing from this process; it gets nothing new, or not until then.", "upstream", "service", "request", "leaving", "retry_after_ms")
	LinesDropped       = define(10013, "lines_dropped", "Log lines were dropped because standard output took them too slowly.", "lines")
)

// Events of requests at a gateway: 10020 to 10049.
var (
	GatewayRefused  = define(10020, "gateway_refused", "The gateway answered a request itself. With 429 or 503 nothing of it ran.", "request", "route", "status", "step", "detail", "version", "retry_after_ms", "duration_us")
	GatewaySent     = define(10021, "gateway_sent", "A request was sent to an upstream. Attempts with one fingerprint have the same workspace, target and body.", "request", "fingerprint", "route", "version", "service", "upstream", "attempt", "reason", "load", "cold", "idle", "copy_from", "used_ms", "value", "remaining_ms", "after")
	GatewayFailed   = define(10022, "gateway_failed", "A sent request brought no usable answer.", "request", "fingerprint", "upstream", "attempt", "step", "ran", "error")
	GatewayAnswered = define(10023, "gateway_answered", "An answer was handed to the client whole.", "request", "route", "status", "upstream", "events", "first_us", "used_ms", "objective_ms", "duration_us")
	GatewayBroken   = define(10024, "gateway_broken", "An answer could not be completed; the client's connection was ended.", "request", "route", "upstream", "events", "error", "duration_us")
	GatewayLeft     = define(10025, "gateway_left", "The client left before its answer; the work was ended.", "request", "route", "step", "duration_us")
	StageDone       = define(10026, "stage_done", "A stage of a request has its results.", "request", "stage", "service", "owner", "pieces", "duration_us")
	StageFailed     = define(10027, "stage_failed", "A stage of a request has no results.", "request", "stage", "service", "owner", "reason", "duration_us")
)

// Events of stage pools at their owner: 10050 to 10069.
var (
	PoolCall        = define(10050, "pool_call", "A batch was answered by an upstream of a pool.", "service", "upstream", "items", "made", "waiting", "duration_us")
	PoolCallFailed  = define(10051, "pool_call_failed", "A batch brought no results; its items are tried again.", "service", "upstream", "items", "error", "duration_us")
	PoolOwnerLost   = define(10052, "pool_owner_lost", "The owner of pools is silent or gone; its tasks go to the next.", "owner", "tasks", "error")
	PoolOwnerJoined = define(10053, "pool_owner_joined", "A connection to an owner of pools is open.", "owner")
	PoolFreeFailed  = define(10054, "pool_free_failed", "Results could not be freed; the upstream drops them itself after a while.", "upstream", "handles", "error")
	PoolHandedOver  = define(10055, "pool_handed_over", "Tasks that wait here were given to the process that owns the pool now.", "service", "part", "owner", "tasks")
)

// Events of requests under which upstreams crash: 10070 to 10079.
var (
	CrashFound       = define(10070, "crash_found", "An upstream closed the connection on which it ran a request; ended says whether it takes no more connections, crashes under how many upstreams the request was by now.", "fingerprint", "request", "upstream", "ended", "crashes", "refused")
	CrashesCleared   = define(10071, "crashes_cleared", "A request has run to its end, and the crashes under which it was count no longer.", "fingerprint", "request", "trials")
	CrashDisproved   = define(10077, "crash_disproved", "An upstream that counted as crashed has answered again; what ran there is cleared of it.", "upstream")
	CrashesLearned   = define(10072, "crashes_learned", "Another gateway's record of crashes was read; revision 0 if it was removed.", "gateway", "revision", "crashes", "cleared")
	CrashesWritten   = define(10073, "crashes_written", "This gateway's record of crashes was written.", "revision", "crashes", "cleared")
	RecordUnwritten  = define(10074, "crash_record_unwritten", "An object of crashes or trials could not be written or removed.", "object", "error")
	RecordUnreadable = define(10075, "crash_record_unreadable", "A gateway's record of crashes can't be read; what was known of it stays.", "gateway", "revision", "error")
	TrialAsked       = define(10076, "crash_trial_asked", "A request that is refused for its crashes is due for a trial; the outcome says whether this gateway makes it.", "fingerprint", "request", "trial", "outcome")
	TrialReturned    = define(10080, "crash_trial_returned", "A trial did not run and may be made again by this gateway; reached says whether an upstream turned it away.", "fingerprint", "request", "trial", "reached")
	TrialsRemoved    = define(10078, "crash_trials_removed", "Objects of trials were removed whose requests have no crashes that count; left says how many there are still.", "removed", "left")
	TrialsUnlisted   = define(10079, "crash_trials_unlisted", "The objects of trials could not be listed; the next round looks for those that are left.", "error")
)
