package main

import (
	"encoding/json"
	"fmt"
)

// print writes value as JSON or writes text, as the --output flag selects.
func (e *env) print(value any, text string) error {
	if e.opts.Output == "text" {
		_, err := fmt.Fprintln(e.out, text)
		return err
	}
	encoder := json.NewEncoder(e.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
