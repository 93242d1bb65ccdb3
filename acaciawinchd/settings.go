package main

import (
	"github.com/BurntSushi/toml"

	"acaciawinch/core/fault"
)

// validator is implemented by settings that check their ranges.
type validator interface{ Validate() error }

// loadSettings reads the TOML file strictly into dst.
func loadSettings(path string, dst validator) error {
	meta, err := toml.DecodeFile(path, dst)
	if err != nil {
		return err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return fault.New(fault.Invalid, "settings.load", "", "%s: %s: unknown key", path, unknown[0])
	}
	return dst.Validate()
}
