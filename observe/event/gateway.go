package event

// Events of a gateway's view of the fleet: 10000 to 10019.
var (
	WatchLost            = define(10001, "watch_lost", "The watch of one kind of objects in the platform's store was lost.", "kind", "revision", "error")
	WatchRegained        = define(10002, "watch_regained", "The watch of one kind of objects in the platform's store works again.", "kind", "revision")
	WatchHistoryGone     = define(10003, "watch_history_gone", "The store no longer has the changes since a revision; all objects of the kind are listed again.", "kind", "revision")
	TableInForce         = define(10004, "table_in_force", "A newer configuration is in force in this process.", "version", "revision")
	TableRefused         = define(10005, "table_refused", "A configuration can't be decoded; the previous one stays in force.", "revision", "error")
	UpstreamChanged      = define(10006, "upstream_changed", "An upstream was added, restarted, or reported that it is leaving or cold, or its software version changed.", "upstream", "service", "address", "software", "leaving", "born", "cold_ms", "revision")
	UpstreamGone         = define(10007, "upstream_gone", "An upstream's entry was removed; it gets no new work.", "upstream", "service", "address")
	UpstreamUnreadable   = define(10008, "upstream_unreadable", "An upstream's entry can't be decoded; the upstream is not used.", "upstream", "revision", "error")
	MembersChanged       = define(10009, "members_changed", "The list of the other gateways changed.", "members")
	MemberUnreadable     = define(10010, "member_unreadable", "A gateway's object can't be decoded; the gateway gets no work.", "member", "error")
	RegisterFailed       = define(10011, "register_failed", "This process's own object could not be written or removed.", "member", "error")
	SettingsReloaded     = define(10012, "settings_reloaded", "The settings file was reloaded.", "changed", "error")
	UpstreamEntryStale   = define(10014, "upstream_outdated", "An upstream's entry is of an earlier incarnation than the one known and is ignored.", "upstream", "revision", "born", "known_born")
	ZoneEvacuated        = define(10015, "zone_evacuated", "The operator requested the evacuation of a zone: its upstreams get no new work.", "zone", "revision", "upstreams")
	ZoneEvacuationEnded  = define(10016, "zone_taken_back", "The evacuation of a zone ended: its upstreams get work again.", "zone", "after_ms", "upstreams")
	ZoneEmptied          = define(10017, "zone_emptied", "No request of this process is in flight in an evacuated zone any more.", "zone", "after_ms")
	UpstreamBackoff      = define(10018, "upstream_asked", "An upstream's response announced that it is leaving or requested a backoff; it gets no new work from this process, or none until the backoff ends.", "upstream", "service", "request", "leaving", "retry_after_ms")
	RegistrationOutdated = define(10019, "registration_outdated", "The store returned from an older copy without this process's own object, or with the one that this process had removed at its stop; the object is written or removed again.", "member", "present", "lost", "delay_ms")
	MemoryRefused        = define(10107, "memory_refused", "Connections, heads, bodies, responses or messages were refused as they found no room in the memory budget, so often since the last line. Sizes are in bytes.", "refused", "reserved", "peak", "budget")
	LinesDropped         = define(10013, "lines_dropped", "Log lines were dropped because standard output was too slow.", "lines")
)

// Events of upstreams and zones after the store returned from an older copy: 10090 to 10099.
var (
	UpstreamHeld       = define(10090, "upstream_held", "The store returned from an older copy, in which the entry of an upstream is ready that was leaving or removed before; the upstream gets no new work until its entry is written again or the hold ends.", "upstream", "service", "address", "reason", "revision", "hold_ms")
	UpstreamHoldEnded  = define(10091, "upstream_hold_ended", "The entry of a held upstream counts again; cause is written if it was written since the return, expired if the hold has ended.", "upstream", "reason", "cause")
	ZoneEvacuationKept = define(10092, "zone_evacuation_kept", "The store returned from an older copy that lacks the evacuation of a zone; it stays in force until the operator writes it again or the hold ends.", "zone", "hold_ms")
)

// Events of a store that has returned from an older copy of itself, and of watches that it does not answer: 10100 to 10109.
var (
	StoreEraChanged  = define(10100, "store_era_changed", "The store has returned from an older copy of itself: the objects of a kind were replaced by those that it holds now.", "kind", "old_era", "old_revision", "era", "revision", "objects_before", "objects")
	StoreDataIgnored = define(10101, "store_data_ignored", "A list or changes of a kind were ignored, as the copy is newer.", "kind", "list", "era", "revision", "known_era", "known_revision")
	WatchUnanswered  = define(10106, "watch_unanswered", "The store made a change that neither the watch of a kind nor that of another one has returned; the watch is made again.", "kind", "revision", "store_revision", "waited_ms")
	StoreEraForeign  = define(10102, "store_era_foreign", "Another gateway reported an era that the store of this process has not reached; all kinds are listed again.", "era", "heard")
	ProofHeldOff     = define(10103, "proof_held_off", "Proofs do not count for API keys yet: the store may lack what it had acknowledged before its return.", "era", "from", "hops", "age_ms")
	FollowerRefused  = define(10105, "follower_refused", "A gateway of an older build, which knows no eras of the store, was refused as a follower.", "peer", "era")
	ProofCountsAgain = define(10104, "proof_counts_again", "Proofs count for API keys again: what the store lost at its return was written again.", "era", "from", "hops", "age_ms")
)

// Events of requests at a gateway: 10020 to 10049.
var (
	GatewayRefused  = define(10020, "gateway_refused", "The gateway responded to a request itself; with status 429 or 503 no part of the request ran.", "request", "route", "status", "step", "detail", "version", "retry_after_ms", "duration_us")
	GatewaySent     = define(10021, "gateway_sent", "A request was sent to an upstream. Attempts with one fingerprint have the same workspace, target and body; parts are the IDs of the parts of its prompt that other requests may share.", "request", "fingerprint", "parts", "route", "version", "service", "upstream", "software", "attempt", "reason", "load", "cold", "idle", "copy_from", "used_ms", "value", "remaining_ms", "after", "expected_first_ms", "expected_pause_ms", "excluded")
	GatewayFailed   = define(10022, "gateway_failed", "A request sent to an upstream got no usable response.", "request", "fingerprint", "upstream", "attempt", "step", "ran", "error")
	GatewayAnswered = define(10023, "gateway_answered", "A response was sent to the client up to its end; proved reports whether that end is known to be the end of the upstream's response.", "request", "route", "status", "upstream", "events", "proved", "first_us", "used_ms", "objective_ms", "duration_us")
	GatewayBroken   = define(10024, "gateway_broken", "A response could not be completed; the client's connection was closed.", "request", "route", "upstream", "events", "error", "duration_us")
	GatewayLeft     = define(10025, "gateway_left", "The client disconnected before its response; the work was cancelled.", "request", "route", "step", "duration_us")
	GatewayUnproved = define(10028, "gateway_unproved", "A stream ended with its upstream's connection, which does not prove that it is complete; another upstream is asked for the remainder if that is allowed.", "request", "upstream", "attempt", "events", "last")
	GatewayDisorder = define(10029, "gateway_disorder", "An event of an upstream's stream had an ID that is not above that of the last event that the client has; nothing more of that upstream is passed on.", "request", "upstream", "attempt", "events", "last", "got")
	GatewaySilent   = define(10040, "gateway_silent", "A send was given up, as its upstream was silent for longer than the limit that follows from the usual time of the other upstreams; the request is sent to another one. Events is the number of events that came from the silent one, last the last event that the client has.", "request", "route", "service", "upstream", "attempt", "events", "last", "waited_ms", "limit_ms", "usual_ms", "client_waits_ms")
	StageDone       = define(10026, "stage_done", "A stage of a request completed with results.", "request", "stage", "service", "owner", "pieces", "duration_us")
	StageFailed     = define(10027, "stage_failed", "A stage of a request ended without results.", "request", "stage", "service", "owner", "reason", "duration_us")
)

// Events of stage pools and their owners: 10050 to 10069.
var (
	PoolCall          = define(10050, "pool_call", "An upstream of a pool returned the results of a batch.", "service", "upstream", "items", "made", "waiting", "duration_us")
	PoolCallFailed    = define(10051, "pool_call_failed", "A call for a batch failed or its response broke off; items without a result are retried.", "service", "upstream", "items", "made", "error", "duration_us")
	PoolOwnerLost     = define(10052, "pool_owner_lost", "An owner of pools does not respond or is gone; its tasks go to the next owner.", "owner", "tasks", "error")
	PoolOwnerJoined   = define(10053, "pool_owner_joined", "A connection to an owner of pools was opened.", "owner")
	PoolFreeFailed    = define(10054, "pool_free_failed", "Results could not be freed; the upstream drops them itself when they expire.", "upstream", "handles", "error")
	PoolHandedOver    = define(10055, "pool_handed_over", "Tasks queued here were handed over to the new owner of the pool.", "service", "part", "owner", "tasks")
	PoolCallWithdrawn = define(10056, "pool_call_withdrawn", "A batch was not sent, because its upstream took no new work any more once the connection was open; its items are queued again.", "service", "upstream", "items", "duration_us")
	PoolCallerGone    = define(10064, "pool_caller_gone", "A gateway is gone from the list of gateways, ended_ms after its last link here broke; the results that it had been handed were freed.", "caller", "incarnation", "results", "bytes", "ended_ms")
	PoolHeldLearned   = define(10065, "pool_held_learned", "A gateway told this new owner of a part of a pool which results it uses; new counts those that this owner did not know, and bytes is their size, which counts as used room.", "service", "part", "caller", "results", "new", "bytes")
	PoolRoomLearned   = define(10066, "pool_room_learned", "An upstream told a new owner of its part how much room for results it has. What it stores beyond the known results counts as used until results stored then have expired.", "service", "part", "upstream", "free_bytes", "known_bytes", "unaccounted_bytes", "duration_us")
	PoolRoomUnknown   = define(10067, "pool_room_unknown", "An upstream did not tell a new owner of its part how much room it has; only the known results count.", "service", "part", "upstream", "error", "duration_us")
	PoolLateKept      = define(10057, "pool_late_kept", "Since the last such line of a part of a pool, tasks that can't be in time any more were kept for the capacity that is expected to be free after the tasks in time; free is that forecast in items a second, waiting the number of all waiting items.", "service", "part", "tasks", "items", "waiting", "free")
	PoolLateStarted   = define(10058, "pool_late_started", "Items of a late task that was kept are in a call; ahead is the number of late items ahead of it, free the forecast in items a second.", "request", "stage", "service", "part", "items", "ahead", "free", "remaining_ms", "kept_ms")
	PoolLateRefused   = define(10059, "pool_late_refused", "A late task was refused: the free capacity until its deadline does not exceed the late items ahead of it, or too little time remains.", "request", "stage", "service", "part", "items", "ahead", "free", "remaining_ms", "kept_ms")
)

// Events of requests that crash upstreams: 10070 to 10079.
var (
	CrashFound         = define(10070, "crash_found", "An upstream closed the connection on which it ran a request; ended reports whether it accepts no more connections, crashes is the number of upstreams that have crashed with this request, parts are the IDs of the parts of its prompt that other requests may share.", "fingerprint", "request", "parts", "upstream", "ended", "crashes", "refused")
	CrashesCleared     = define(10071, "crashes_cleared", "A request completed; its earlier crashes, or those under a part of its prompt, no longer count.", "fingerprint", "part", "request", "trials")
	CrashDismissed     = define(10077, "crash_disproved", "An upstream that counted as crashed responded again; the crash no longer counts against the requests that ran there.", "upstream")
	CrashesLearned     = define(10072, "crashes_learned", "Another gateway's crash record was read; revision is 0 if it was removed.", "gateway", "revision", "crashes", "cleared")
	CrashesWritten     = define(10073, "crashes_written", "This gateway's crash record was written.", "revision", "crashes", "cleared")
	RecordUnwritten    = define(10074, "crash_record_unwritten", "A crash record or trial object could not be written or removed.", "object", "error")
	RecordOutdated     = define(10085, "crash_record_outdated", "The store returned from an older copy, in which crash records may be older or missing; this gateway's is written again, and those of kept other gateways stay in use until they are.", "era", "kept", "delay_ms")
	RecordUnreadable   = define(10075, "crash_record_unreadable", "A gateway's crash record can't be decoded; its last readable version stays in use.", "gateway", "revision", "error")
	TrialAsked         = define(10076, "crash_trial_asked", "A quarantined request is due for a trial; outcome reports whether this gateway runs it. Parts are those for which it is refused, empty if it is refused as a whole.", "fingerprint", "parts", "request", "trial", "outcome")
	TrialReturned      = define(10080, "crash_trial_returned", "A trial did not run and this gateway may retry it; reached reports whether an upstream rejected it.", "fingerprint", "request", "trial", "reached")
	TrialReserved      = define(10081, "crash_trial_reserved", "A trial was to be sent to an upstream, which no other trial may use meanwhile; outcome is held if it may be sent, failed otherwise.", "fingerprint", "request", "trial", "upstream", "outcome", "error")
	CrashPresumed      = define(10082, "crash_presumed", "An upstream that was sent a trial has ended, and the outcome of the trial is not known; the trial counts as the cause.", "fingerprint", "request", "upstream", "crashes", "refused")
	TrialSurvived      = define(10083, "crash_trial_survived", "The upstream of a trial was found running after the trial had ended without an answer; the request gets another trial.", "fingerprint", "trial", "upstream")
	PlannedEndFound    = define(10084, "planned_end_found", "An upstream that closed its connections had announced that it ends, or its entry was removed sooner than that of a crashed one; this gateway withdraws the crashes that it has just reported there.", "upstream", "crashes")
	PartBlamed         = define(10086, "part_blamed", "Requests with a part in their prompts are refused from now on, as upstreams crash while running them: crashes are those that nothing else explains, the other counts are the completions of such requests at all gateways before and since the first crash, those in trials of the part, and the bursts of the crashes. Parts of one group are not told apart by them.", "part", "group", "crashes", "score", "before", "since", "trials", "bursts", "upstreams", "convicted")
	PartFreed          = define(10087, "part_freed", "Requests with a part in their prompts are no longer refused; what still speaks against the part is given.", "part", "crashes", "score", "before", "since", "trials", "bursts")
	SendWithheld       = define(10088, "crash_send_withheld", "A request was not written to its upstream, as it is refused since it arrived; unconfirmed reports that a crash is still being checked.", "request", "fingerprint", "part", "crashes", "unconfirmed")
	PartTrialCompleted = define(10089, "part_trial_completed", "A trial of a part completed; the part is cleared after some of them.", "part", "request", "trial")
	TrialsRemoved      = define(10078, "crash_trials_removed", "Trial objects of requests without counted crashes were removed; left is the number of trial objects that remain.", "removed", "left")
	TrialsUnlisted     = define(10079, "crash_trials_unlisted", "The trial objects could not be listed; the next cleanup pass tries again.", "error")
)

// Events of limits that upstreams name in their responses: 10110 to 10119.
var (
	RateLimitChanged     = define(10110, "rate_limit_changed", "This process learned that an upstream names a limit on its requests, another one than before, or none any more. It was told by the response to a request (source response) or by a coordinator (source notice).", "upstream", "born", "service", "ended", "per_second", "before", "source", "request", "coordinator", "version")
	RateLimitCoordinator = define(10111, "rate_limit_coordinator", "This process asks another coordinator than before for the permits of a service.", "service", "coordinator", "incarnation", "before", "gateways")
	RateLimitVotes       = define(10112, "rate_limit_votes", "The number of gateways that gave this process their vote on a service changed; it grants that part of the limits.", "service", "votes", "before", "gateways")
	RateLimitLinkLost    = define(10113, "rate_limit_link_lost", "A coordinator closed the connection, does not respond or is unreachable; its asks go to the next one.", "coordinator", "incarnation", "asks", "silent_ms", "error")
	RateLimitPermit      = define(10114, "rate_limit_permit", "A request to an upstream with a limit got a permit, was refused one, or did not use it in time; the limit, its age and the coordinator that decided are given.", "request", "service", "outcome", "upstream", "per_second", "limit_age_ms", "coordinator", "waited_ms", "ahead", "optional", "retry_after_ms")
	RateLimitNoticeLost  = define(10116, "rate_limit_notice_lost", "A gateway could not be told the limits of a service; it is told again later.", "service", "peer", "error")
	RateLimitWithheld    = define(10115, "rate_limit_withheld", "A request was not written, as its upstream has named a limit since it was chosen, or its permit had expired.", "request", "upstream", "per_second", "permit_age_ms")
)

// Events of the software versions of streams: 10120 to 10129.
var (
	StreamVersionsChanged  = define(10120, "stream_versions_changed", "This process read, wrote or learned at which software versions streams of a service may begin; settled is set if that is only one. Source is the store or a gateway.", "service", "settled", "usable", "listed", "source", "revision")
	StreamRegisterUnsynced = define(10121, "stream_register_unsynced", "The register of a service's software versions could not be read or written; what was known stays in use.", "service", "error")
	StreamRecordCopied     = define(10122, "stream_record_copied", "Other gateways hold the software version at which a stream began; its first event is passed on.", "request", "stream", "service", "software", "copies", "needed", "waited_us")
	StreamRecordUncopied   = define(10123, "stream_record_uncopied", "Too few gateways hold the software version at which a stream began, and its first event is passed on; the client may be refused if it takes the stream up elsewhere.", "request", "stream", "service", "software", "copies", "needed", "waited_us")
	StreamTakenUp          = define(10124, "stream_taken_up", "A client took a stream up. Outcome is goes_on if the software version that began it is known, not_now if it may be known later, refused otherwise; source is the gateway that had the record, or the store if only one version serves.", "request", "stream", "after", "service", "outcome", "software", "reason", "source", "asked", "silent", "waited_us")
	StreamRecordsSent      = define(10125, "stream_records_sent", "Records of streams were copied to another gateway, as several versions serve now (reason mixed) or the gateways have changed (reason gateways).", "peer", "records", "reason")
	StreamRecordsUnsent    = define(10126, "stream_records_unsent", "Records of streams could not be copied to another gateway.", "peer", "records", "reason", "error")
)
