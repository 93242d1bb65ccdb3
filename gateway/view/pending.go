package view

import (
	"acaciawinch/observe"
	"acaciawinch/observe/event"
)

// pendingEvents holds the events of changes that are not in force yet. An event that is logged
// earlier announces what requests do not see yet. The zero value is ready for use; it is not safe
// for concurrent use.
type pendingEvents []pendingEvent

// pendingEvent is an event with its fields.
type pendingEvent struct {
	event  event.Event
	fields observe.Fields
}

// add adds an event.
func (p *pendingEvents) add(e event.Event, fields observe.Fields) {
	*p = append(*p, pendingEvent{event: e, fields: fields})
}

// log logs the events in the order in which they were added, and drops them.
func (p *pendingEvents) log(logger *observe.Logger) {
	for _, pending := range *p {
		logger.Event(pending.event, pending.fields)
	}
	*p = nil
}
