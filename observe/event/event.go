// Package event is the catalogue of numbered log events. docs/EVENTS.md is generated
// from it, and a test compares the two.
package event

// Event is one kind of log line.
type Event struct {
	// Number is unique and never reused.
	Number int
	// Name is a short name in snake case.
	Name string
	// Means says when the event is logged.
	Means string
	// Fields lists the names of the fields in the log line, in order.
	Fields []string
}

// catalogue holds all events in order of definition.
var catalogue []Event

// define adds an event to the catalogue. It is called only to initialize package
// variables.
func define(number int, name, means string, fields ...string) Event {
	e := Event{Number: number, Name: name, Means: means, Fields: fields}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events in order of definition.
func Catalogue() []Event { return append([]Event(nil), catalogue...) }
