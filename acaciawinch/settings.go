package main

import (
	"errors"
	"net/url"

	"acaciawinch/platform/objects"
	"acaciawinch/settings"
)

// Settings is the content of the command's TOML file.
type Settings struct {
	Platform PlatformSettings `toml:"platform"`
	Fleet    FleetSettings    `toml:"fleet"`
	Entries  EntriesSettings  `toml:"entries"`
}

// PlatformSettings holds the URLs of the platform's services.
type PlatformSettings struct {
	// Objects is the URL of the object API.
	Objects string `toml:"objects" required:"true"`
	// Hosts is the URL of the host list; only drain and undrain need it.
	Hosts string `toml:"hosts"`
}

// Validate implements settings.Validator.
func (p PlatformSettings) Validate() error {
	return errors.Join(checkURL("objects", p.Objects), checkURL("hosts", p.Hosts))
}

// FleetSettings holds the settings shared by all processes of the fleet.
type FleetSettings struct {
	// Key is the shared key of the fleet; only drain and undrain need it.
	Key string `toml:"key"`
}

// EntriesSettings holds the URLs at which entries serve operators.
type EntriesSettings struct {
	// Admin holds the URLs of admin listeners; only status and explain need them.
	Admin []string `toml:"admin"`
}

// Validate implements settings.Validator.
func (e EntriesSettings) Validate() error {
	var all []error
	for _, address := range e.Admin {
		all = append(all, checkURL("admin", address))
	}
	return errors.Join(all...)
}

// checkURL returns an error if text is neither empty nor an HTTP or HTTPS URL.
func checkURL(key, text string) error {
	if text == "" {
		return nil
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return settings.Invalid(key, "must be a URL like http://10.0.0.1:9000, is %q", text)
	}
	return nil
}

// settings reads the command's settings file.
func (e *env) settings() (Settings, error) {
	var s Settings
	if err := settings.Load(e.opts.Config, &s); err != nil {
		return Settings{}, badInput(err)
	}
	return s, nil
}

// objects returns a client of the object API.
func (e *env) objects() (objects.API, error) {
	s, err := e.settings()
	if err != nil {
		return nil, err
	}
	return objects.NewClient(s.Platform.Objects), nil
}
