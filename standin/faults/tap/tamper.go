package tap

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"acaciawinch/wire/wirepb"
)

// Tamper returns what is sent in the place of one event of a stream.
type Tamper func(*wirepb.RunEvent) []*wirepb.RunEvent

// NewTamper returns the Tamper of one stream.
type NewTamper func() Tamper

// Meddle may change a Run on its way. It returns Runs that are sent to the side
// besides, and an event that is sent to the entry in the Run's place, or nil.
// It shows what a verdict says of a side that breaks the protocol.
type Meddle func(r *wirepb.RunRequest) (besides []*wirepb.RunRequest, instead *wirepb.RunEvent)

// unchanged passes an event on.
func unchanged(event *wirepb.RunEvent) []*wirepb.RunEvent {
	return []*wirepb.RunEvent{event}
}

// Twice sends every event twice.
func Twice() Tamper {
	return func(event *wirepb.RunEvent) []*wirepb.RunEvent {
		return []*wirepb.RunEvent{event, event}
	}
}

// Swapped sends chunks in pairs, the later one first, and Done before the chunk
// that it closes.
func Swapped() Tamper {
	var kept *wirepb.RunEvent
	return func(event *wirepb.RunEvent) []*wirepb.RunEvent {
		if kept == nil && event.GetChunk() != nil {
			kept = event
			return nil
		}
		if kept == nil {
			return []*wirepb.RunEvent{event}
		}
		pair := []*wirepb.RunEvent{event, kept}
		kept = nil
		return pair
	}
}

// foreignData is what no stage ever gives.
const foreignData = "of another request"

// foreignChanges make the key of another request, stage, attempt or incarnation.
var foreignChanges = []func(*wirepb.AttemptKey){
	func(k *wirepb.AttemptKey) { k.RequestId += "f" },
	func(k *wirepb.AttemptKey) { k.Stage += "f" },
	func(k *wirepb.AttemptKey) { k.Attempt++ },
	func(k *wirepb.AttemptKey) { k.SideIncarnation++ },
}

// Foreign sends, before each event, the like of it that belongs to another
// request, to another stage, to another attempt and to another incarnation. What
// it sends is whole in itself: its closing event fits its chunks, so that only
// the keys tell it from the attempt's own.
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

// foreign returns a changed copy of an event with other data.
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
