// Command events prints docs/EVENTS.md from the catalogue of log events.
package main

import (
	"fmt"

	"acaciawinch/observe/event"
)

func main() {
	fmt.Print(event.Markdown())
}
