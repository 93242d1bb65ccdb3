package event

// Events of the platform services, as seen by this process: 8000 to 8999.
var (
	StoreLost       = define(8001, "store_lost", "The object API stopped responding to this process.", "step", "error")
	StoreBack       = define(8002, "store_back", "The object API responds to this process again.", "step", "lost_ms")
	HostListLost    = define(8003, "host_list_lost", "The host list service stopped responding to this process.", "error")
	EntryUnreadable = define(8005, "entry_unreadable", "An entry in a list of the object API, the host list or an upstream can't be decoded. It alone is left out.", "peer", "entry", "error")
	HostListBack    = define(8004, "host_list_back", "The host list service responds to this process again.", "lost_ms")
)
