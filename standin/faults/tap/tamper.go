package tap

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"acaciawinch/wire/wirepb"
)

// Tamper returns the events to send instead of one event of a stream.
type Tamper func(*wirepb.RunEvent) []*wirepb.RunEvent

// NewTamper returns the Tamper of one stream.
type NewTamper func() Tamper

// RunRewrite may change a Run in transit. It returns additional Runs to send to the
// sidecar, and an event to send to the entry instead of forwarding the Run, or nil. It
// serves to check which findings a sidecar that violates the protocol causes.
type RunRewrite func(r *wirepb.RunRequest) (extra []*wirepb.RunRequest, instead *wirepb.RunEvent)

// unchanged forwards an event as it is.
func unchanged(event *wirepb.RunEvent) []*wirepb.RunEvent {
	return []*wirepb.RunEvent{event}
}

// Duplicated sends every event twice.
func Duplicated() Tamper {
	return func(event *wirepb.RunEvent) []*wirepb.RunEvent {
		return []*wirepb.RunEvent{event, event}
	}
}

// Swapped sends chunks in pairs, the later one first, and Done before an unpaired last
// chunk.
func Swapped() Tamper {
	var delayed *wirepb.RunEvent
	return func(event *wirepb.RunEvent) []*wirepb.RunEvent {
		if delayed == nil && event.GetChunk() != nil {
			delayed = event
			return nil
		}
		if delayed == nil {
			return []*wirepb.RunEvent{event}
		}
		pair := []*wirepb.RunEvent{event, delayed}
		delayed = nil
		return pair
	}
}

// foreignData differs from the output of every stage.
const foreignData = "of another request"

// foreignChanges turn a key into that of another request, stage, attempt or incarnation.
var foreignChanges = []func(*wirepb.AttemptKey){
	func(k *wirepb.AttemptKey) { k.RequestId += "f" },
	func(k *wirepb.AttemptKey) { k.Stage += "f" },
	func(k *wirepb.AttemptKey) { k.Attempt++ },
	func(k *wirepb.AttemptKey) { k.SideIncarnation++ },
}

// Foreign sends, before each event, copies that belong to another request, stage,
// attempt and incarnation. The copies form a consistent stream of their own: the digest
// in Done matches their chunks, so that only the keys distinguish them from the
// attempt's own events.
func Foreign() Tamper {
	digest := xxhash.New()
	return func(event *wirepb.RunEvent) []*wirepb.RunEvent {
		if event.GetChunk() != nil {
			_, _ = digest.WriteString(foreignData) // never fails
		}
		var all []*wirepb.RunEvent
		for _, change := range foreignChanges {
			all = append(all, foreign(event, change, digest.Sum64()))
		}
		return append(all, event)
	}
}

// foreign returns a copy of an event with a changed key and other data.
func foreign(event *wirepb.RunEvent, change func(*wirepb.AttemptKey), digest uint64) *wirepb.RunEvent {
	clone := proto.CloneOf(event)
	if clone.Key != nil {
		change(clone.Key)
	}
	if chunk := clone.GetChunk(); chunk != nil {
		chunk.Data = []byte(foreignData)
	}
	if done := clone.GetDone(); done != nil {
		done.Digest = digest
	}
	return clone
}
