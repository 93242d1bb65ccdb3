package event

import (
	"fmt"
	"sort"
	"strings"
)

const markdownHead = `# Log events

Every log line is one JSON object with ` + "`level`, `timestamp`, `message` and `fields`" + `.
The fields always hold ` + "`process` and `event`" + `, the number below; the message is the
event's name. Numbers are never reused. This page is written by ` + "`make docs`" + ` from
observe/event, and a test keeps the two equal.

| number | name | logged when | fields |
|---|---|---|---|
`

// Markdown returns the text of docs/EVENTS.md: the catalogue, sorted by number.
func Markdown() string {
	events := Catalogue()
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	var text strings.Builder
	text.WriteString(markdownHead)
	for _, e := range events {
		fmt.Fprintf(&text, "| %d | %s | %s | %s |\n", e.Number, e.Name, e.Means, strings.Join(e.Fields, ", "))
	}
	return text.String()
}
