package storetap

import (
	"bytes"

	"acaciawinch/standin/hostlist"
)

// addresses holds the view of the hosts that the process reaches at addresses other than
// their own, as it does in tests with relays between zones.
type addresses struct {
	view hostlist.View
}

// Rewrite makes the tap replace the hosts' own addresses, which the store holds, by those
// of the view in what the process reads, and the reverse in what it writes. Claims, for
// example, contain the address of their sidecar.
func (t *Tap) Rewrite(view hostlist.View) { t.addresses.Store(&addresses{view}) }

// quoted returns an address as it appears in JSON.
func quoted(address string) []byte { return []byte(`"` + address + `"`) }

// toStore returns a value that the process writes, with the hosts' own addresses.
func (t *Tap) toStore(value []byte) []byte {
	a := t.addresses.Load()
	if a == nil {
		return value
	}
	for _, address := range a.view.Addresses {
		value = bytes.ReplaceAll(value, quoted(address.Addr), quoted(address.HostAddr))
	}
	return value
}

// fromStore returns a value that the process reads, with the addresses of its zone.
func (t *Tap) fromStore(value []byte) []byte {
	a := t.addresses.Load()
	if a == nil {
		return value
	}
	for _, address := range a.view.Addresses {
		value = bytes.ReplaceAll(value, quoted(address.HostAddr), quoted(address.Addr))
	}
	return value
}
