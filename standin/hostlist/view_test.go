package hostlist

import (
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"acaciawinch/core/fleet"
)

func TestAViewShowsItsOwnAddresses(t *testing.T) {
	s := NewServer(fleet.List{Hosts: []fleet.Host{{Name: "a", Addr: "10.0.0.1:1"}, {Name: "b", Addr: "10.0.0.2:1"}}}, 0)
	s.AddView(View{Zone: "z", Addresses: []Address{{Host: "b", Addr: "10.0.1.2:1", HostAddr: "10.0.0.2:1"}}})
	status, body := do(s, http.MethodGet, ViewPath("z")+"/v1/hosts", "")
	assert.Equal(t, status, http.StatusOK)
	var list fleet.List
	assert.NilError(t, json.Unmarshal([]byte(body), &list))
	assert.DeepEqual(t, list.Hosts, []fleet.Host{{Name: "a", Addr: "10.0.0.1:1"}, {Name: "b", Addr: "10.0.1.2:1"}})
	assert.Equal(t, visible(t, s).Hosts[1].Addr, "10.0.0.2:1", "adding a view changed the host list itself")
}
