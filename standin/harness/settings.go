package harness

import (
	"bytes"
	"os"

	"github.com/BurntSushi/toml"

	"acaciawinch/core/config"
)

// FleetKey is the shared key with which the processes of a trial authenticate.
const FleetKey = "trial-key"

// The tables of the settings files that a trial generates.
type (
	processTable struct {
		Name     string `toml:"name"`
		Zone     string `toml:"zone"`
		Region   string `toml:"region"`
		LogLevel string `toml:"log_level"`
	}
	listenTable struct {
		Callers string `toml:"callers,omitempty"`
		Fleet   string `toml:"fleet"`
		Admin   string `toml:"admin"`
	}
	platformTable struct {
		Objects string `toml:"objects"`
		Hosts   string `toml:"hosts,omitempty"`
	}
	fleetTable struct {
		Key string `toml:"key"`
	}
	upstreamTable struct {
		Name    string           `toml:"name"`
		Service string           `toml:"service"`
		Kind    config.StageKind `toml:"kind"`
		URL     string           `toml:"url"`
	}
	entriesTable struct {
		Admin []string `toml:"admin"`
	}
)

// entrySettings are the settings of an entry.
type entrySettings struct {
	Process  processTable  `toml:"process"`
	Listen   listenTable   `toml:"listen"`
	Platform platformTable `toml:"platform"`
	Fleet    fleetTable    `toml:"fleet"`
}

// sideSettings are the settings of a sidecar.
type sideSettings struct {
	Process  processTable  `toml:"process"`
	Listen   listenTable   `toml:"listen"`
	Platform platformTable `toml:"platform"`
	Fleet    fleetTable    `toml:"fleet"`
	Upstream upstreamTable `toml:"upstream"`
}

// commandSettings are the settings of the operators' command.
type commandSettings struct {
	Platform platformTable `toml:"platform"`
	Fleet    fleetTable    `toml:"fleet"`
	Entries  entriesTable  `toml:"entries"`
}

// writeSettings writes settings as a TOML file, followed by the extra tables.
func writeSettings(path string, settings any, extra string) error {
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(settings); err != nil {
		return err
	}
	text.WriteString("\n" + extra)
	return os.WriteFile(path, text.Bytes(), 0o600)
}
