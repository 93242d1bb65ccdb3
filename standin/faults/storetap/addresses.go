package storetap

import (
	"bytes"

	"acaciawinch/standin/hostlist"
)

// addresses are the hosts that the process reaches at other addresses than their
// own, which a trial with relays between zones brings about.
type addresses struct {
	view hostlist.View
}

// Rewrite lets the process read and write addresses as its zone sees them, and
// the store hold the hosts' own: a claim names the address of its side.
func (t *Tap) Rewrite(view hostlist.View) { t.addresses.Store(&addresses{view}) }

// quoted returns an address as it stands in JSON.
func quoted(address string) []byte { return []byte(`"` + address + `"`) }

// written returns a value that the process writes with the hosts' own addresses.
func (t *Tap) written(value []byte) []byte {
	a := t.addresses.Load()
	if a == nil {
		return value
	}
	for _, address := range a.view.Addresses {
		value = bytes.ReplaceAll(value, quoted(address.Addr), quoted(address.Own))
	}
	return value
}

// read returns a value that the process reads with the addresses of its zone.
func (t *Tap) read(value []byte) []byte {
	a := t.addresses.Load()
	if a == nil {
		return value
	}
	for _, address := range a.view.Addresses {
		value = bytes.ReplaceAll(value, quoted(address.Own), quoted(address.Addr))
	}
	return value
}
