package event

// Events of the platform's services as this process sees them: 8000 to 8999.
var (
	StoreLost    = define(8001, "store_lost", "The object API stopped answering this process.", "step", "error")
	StoreBack    = define(8002, "store_back", "The object API answers this process again.", "step", "lost_ms")
	HostListLost = define(8003, "host_list_lost", "The host list stopped answering this process.", "error")
	HostListBack = define(8004, "host_list_back", "The host list answers this process again.", "lost_ms")
)
