// Command cases plays the cases of this review: small deployments of the project's own processes before
// stand-ins of the platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: cases CASE ROOT FOLDER")
		os.Exit(2)
	}
	play := map[string]func(root string, r *record, trouble bool) int{"mixed": mixed, "memory": memory, "silence": silence, "twice": twice}[os.Args[1]]
	r, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "can't run:", err)
		os.Exit(2)
	}
	os.Exit(play(os.Args[2], r, os.Getenv("TROUBLE") != "0"))
}
