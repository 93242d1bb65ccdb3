package storetap

import (
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/standin/hostlist"
)

func TestTheStoreHoldsTheHostsOwnAddresses(t *testing.T) {
	var tap Tap
	value := []byte(`{"addr":"10.0.1.2:1","note":"10.0.1.2:10"}`)
	assert.Equal(t, string(tap.toStore(value)), string(value))
	tap.Rewrite(hostlist.View{Addresses: []hostlist.Address{{Host: "b", Addr: "10.0.1.2:1", HostAddr: "10.0.0.2:1"}}})
	stored := tap.toStore(value)
	assert.Equal(t, string(stored), `{"addr":"10.0.0.2:1","note":"10.0.1.2:10"}`)
	assert.Equal(t, string(tap.fromStore(stored)), string(value))
}
