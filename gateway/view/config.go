package view

import (
	"acaciawinch/core/replica"
	"acaciawinch/gateway/clock"
	"acaciawinch/observe"
	"acaciawinch/observe/event"
	"acaciawinch/platform/document"
)

// configReceiver receives the operator's configuration document.
type configReceiver struct{ view *View }

// Reset implements Receiver.
func (r *configReceiver) Reset(objects []replica.Object) {
	for _, object := range objects {
		r.install(object)
	}
}

// Apply implements Receiver.
func (r *configReceiver) Apply(changes []replica.Change) {
	for _, change := range changes {
		if change.Deleted {
			r.view.options.Logger.Warn(event.TableRefused, observe.Fields{"revision": change.Object.Revision, "error": "the configuration document was deleted; the last one stays in force"})
			continue
		}
		r.install(change.Object)
	}
}

// install makes a document the configuration in force if it is readable and newer than the
// present one.
func (r *configReceiver) install(object replica.Object) {
	if object.Name != document.ConfigName {
		return
	}
	table, err := document.Table(object.Spec)
	if err != nil {
		r.view.options.Logger.Warn(event.TableRefused, observe.Fields{"revision": object.Revision, "error": err.Error()})
		return
	}
	old := r.view.table.Load()
	if old != nil && table.Version <= old.Version {
		return
	}
	if old == nil {
		r.view.firstTableAt.Store(int64(clock.Boot()))
	}
	r.view.table.Store(table)
	r.view.notifyChange()
	r.view.options.Logger.Event(event.TableInForce, observe.Fields{"version": table.Version, "revision": object.Revision})
}
