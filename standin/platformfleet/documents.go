package platformfleet

import (
	"fmt"
	"time"

	"acaciawinch/standin/platformdoc"
)

// Configuration returns the first configuration of the deployment: a route of each kind.
func Configuration() platformdoc.Document {
	pool := &platformdoc.Pieces{Slots: 1, Queue: 2, Batch: 8, CallMS: 20, ItemMS: 1, HeadroomMB: 1, HandleS: 4}
	return platformdoc.Document{
		Version: 1,
		Routes: []platformdoc.Route{
			{Name: "saldo", Host: Host, Prefix: "/saldo/", Kind: "unsafe", TimeoutMS: 800, GoalMS: 300, Priority: 2, Service: desks, MaxAttempts: 1},
			{Name: "cupon", Host: Host, Prefix: "/cupon/", Kind: "safe", TimeoutMS: 800, GoalMS: 300, Priority: 2, Service: desks, MaxAttempts: 2},
			{Name: "consulta", Host: Host, Prefix: "/consulta/", Kind: "streaming", TimeoutMS: 6000, GoalMS: 1800, Priority: 1, Service: engines,
				MaxAttempts: 2, Resumable: true, Stages: []platformdoc.Stage{
					{Service: encoders, After: []int{}, ByteCount: 8000},
					{Service: rankers, After: []int{0}, ByteCount: 6000},
				}},
		},
		Services: []platformdoc.Service{{Name: desks}, {Name: engines, Engine: &platformdoc.Engine{Slots: 64}}, {Name: encoders, Pieces: pool}, {Name: rankers, Pieces: pool}},
		Limits:   platformdoc.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants:  []platformdoc.Tenant{{Name: workspace, APIKeys: []string{Key}, Priority: 1}},
	}
}

// MemoryMB is the memory in MB that a gateway may use.
const MemoryMB = 284

// zone is the availability zone of the gateways and of the workers.
const zone = "sala-inaquito"

// EvacuateWithin is the time after which an evacuated zone must get no new work.
const EvacuateWithin = 5 * time.Second

// settings returns the settings file of a gateway. The addresses are those for clients, readiness, the
// fleet and metrics, in this order.
func settings(name, store string, addresses [4]string) string {
	return fmt.Sprintf(`[process]
name = %q
zone = %q
memory_mb = %d

[listen]
clients = %q
readiness = %q
fleet = %q
metrics = %q

[store]
address = %q

[bounds]
revoke_ms = 5000
evacuate_ms = %d
grace_s = 4
retry_ratio = 0.2
retry_slack = 54

[fleet]
key = "demo"
`, name, zone, MemoryMB, addresses[0], addresses[1], addresses[2], addresses[3], store, EvacuateWithin.Milliseconds())
}
