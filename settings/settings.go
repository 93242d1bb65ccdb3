// Package settings reads TOML files strictly: unknown keys, wrong types, values
// out of range and missing fields are errors that name file, line and key.
package settings
