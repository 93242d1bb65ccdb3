package view

import (
	"acaciawinch/core/replica"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/document"
)

// configFollower takes the operator's document.
type configFollower struct{ view *View }

// Reset implements Receiver.
func (f *configFollower) Reset(objects []replica.Object) {
	for _, object := range objects {
		f.take(object)
	}
}

// Apply implements Receiver.
func (f *configFollower) Apply(changes []replica.Change) {
	for _, change := range changes {
		if change.Deleted {
			f.view.options.Logger.Warn(event.TableRefused, observe.Fields{"revision": change.Object.Revision, "error": "the document was removed; the last one stays in force"})
			continue
		}
		f.take(change.Object)
	}
}

// take puts a document in force if it can be read and is newer than the one in force.
func (f *configFollower) take(object replica.Object) {
	if object.Name != document.ConfigName {
		return
	}
	table, err := document.Table(object.Spec)
	if err != nil {
		f.view.options.Logger.Warn(event.TableRefused, observe.Fields{"revision": object.Revision, "error": err.Error()})
		return
	}
	old := f.view.table.Load()
	if old != nil && table.Version <= old.Version {
		return
	}
	if old == nil {
		f.view.tableSince.Store(int64(clock.Boot()))
	}
	f.view.table.Store(table)
	f.view.options.Logger.Event(event.TableInForce, observe.Fields{"version": table.Version, "revision": object.Revision})
	f.view.changed()
}
