// Package event is the catalogue of numbered log events. docs/EVENTS.md is kept
// equal to it by a test.
package event

// Event is one kind of log line.
type Event struct {
	// Number is unique and never reused.
	Number int
	// Name is short and in snake case.
	Name string
	// Means says when the event is logged.
	Means string
	// Fields names the fields that the line carries, in order.
	Fields []string
}

var catalogue []Event

// define adds an event to the catalogue. It is called by package variables only.
func define(number int, name, means string, fields ...string) Event {
	e := Event{Number: number, Name: name, Means: means, Fields: fields}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events in the order of their definition.
func Catalogue() []Event { return append([]Event(nil), catalogue...) }
