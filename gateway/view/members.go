package view

import (
	"encoding/json"
	"sort"

	"acaciawinch/core/replica"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// memberSpec is the content of a gateway's object.
type memberSpec struct {
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	LinkMbps    int    `json:"link_mbps"`
	// Cores is left out by gateways that do not know it.
	Cores float64 `json:"cores,omitempty"`
}

// memberFollower takes the objects of the other gateways.
type memberFollower struct {
	view  *View
	known map[string]Member
}

// newMemberFollower returns a follower that knows no member.
func newMemberFollower(v *View) *memberFollower {
	return &memberFollower{view: v, known: make(map[string]Member)}
}

// Reset implements Receiver.
func (f *memberFollower) Reset(objects []replica.Object) {
	f.known = make(map[string]Member, len(objects))
	for _, object := range objects {
		f.take(object)
	}
	f.publish()
}

// Apply implements Receiver.
func (f *memberFollower) Apply(changes []replica.Change) {
	for _, change := range changes {
		if change.Deleted {
			delete(f.known, change.Object.Name)
			continue
		}
		f.take(change.Object)
	}
	f.publish()
}

// take decodes a member's object.
func (f *memberFollower) take(object replica.Object) {
	var spec memberSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		f.view.options.Logger.Warn(event.MemberUnreadable, observe.Fields{"member": object.Name, "error": err.Error()})
		return
	}
	f.known[object.Name] = Member{Name: object.Name, Address: spec.Address, Incarnation: spec.Incarnation, Zone: spec.Zone, LinkMbps: spec.LinkMbps, Cores: spec.Cores, Revision: object.Revision}
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

// publish makes the known members the current list.
func (f *memberFollower) publish() {
	list := make([]Member, 0, len(f.known))
	names := make([]string, 0, len(f.known))
	for _, member := range f.known {
		if member.Name != f.view.options.Self.Name {
			list = append(list, member)
			names = append(names, member.Name)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	sort.Strings(names)
	f.view.members.Store(&list)
	f.view.membersKnown.Store(true)
	f.view.options.Logger.Event(event.MembersChanged, observe.Fields{"members": names})
	f.view.changed()
}
