package view

import (
	"encoding/json"
	"sort"

	"acaciawinch/core/replica"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// memberSpec is the content of a gateway's object in the store.
type memberSpec struct {
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	LinkMbps    int    `json:"link_mbps"`
	// Cores is omitted by gateways that do not know their number of processor cores.
	Cores float64 `json:"cores,omitempty"`
}

// memberReceiver receives the objects of the gateways.
type memberReceiver struct {
	view  *View
	known map[string]Member
	// returned is set if the next Reset has the first members of a new era of the store.
	returned bool
}

// newMemberReceiver returns a receiver that knows no member.
func newMemberReceiver(v *View) *memberReceiver {
	return &memberReceiver{view: v, known: make(map[string]Member)}
}

// EraChanged implements EraReceiver.
func (r *memberReceiver) EraChanged(int64) { r.returned = true }

// Reset implements Receiver.
func (r *memberReceiver) Reset(objects []replica.Object) {
	before := r.known
	r.known = make(map[string]Member, len(objects))
	for _, object := range objects {
		r.update(object)
	}
	r.publish()
	if r.returned {
		r.returned = false
		r.view.verifyOwn(r.known, r.lost(before))
	}
}

// lost returns the number of members that have no object any more, or one of another incarnation.
func (r *memberReceiver) lost(before map[string]Member) int {
	count := 0
	for name, member := range before {
		if r.known[name].Incarnation != member.Incarnation {
			count++
		}
	}
	return count
}

// Apply implements Receiver.
func (r *memberReceiver) Apply(changes []replica.Change) {
	for _, change := range changes {
		if change.Deleted {
			delete(r.known, change.Object.Name)
			continue
		}
		r.update(change.Object)
	}
	r.publish()
}

// update decodes a member's object and records the member.
func (r *memberReceiver) update(object replica.Object) {
	var spec memberSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		r.view.options.Logger.Warn(event.MemberUnreadable, observe.Fields{"member": object.Name, "error": err.Error()})
		return
	}
	r.known[object.Name] = Member{Name: object.Name, Address: spec.Address, Incarnation: spec.Incarnation, Zone: spec.Zone, LinkMbps: spec.LinkMbps, Cores: spec.Cores, Revision: object.Revision}
}

// MemberNames returns the names of the other gateways.
func (v *View) MemberNames() []string {
	members := v.Members()
	names := make([]string, len(members))
	for i, member := range members {
		names[i] = member.Name
	}
	return names
}

// publish makes the known members, without this process, the current list.
func (r *memberReceiver) publish() {
	list := make([]Member, 0, len(r.known))
	names := make([]string, 0, len(r.known))
	for _, member := range r.known {
		if member.Name != r.view.options.Self.Name {
			list = append(list, member)
			names = append(names, member.Name)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	sort.Strings(names)
	r.view.members.Store(&list)
	r.view.membersKnown.Store(true)
	r.view.notifyChange()
	r.view.options.Logger.Event(event.MembersChanged, observe.Fields{"members": names})
}
