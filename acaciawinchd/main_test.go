package main

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestInvalidSettingsAndUsageExitWithSettingsCode(t *testing.T) {
	file := filepath.Join(t.TempDir(), "bad.toml")
	assert.NilError(t, os.WriteFile(file, []byte("[process]\nnam = 1\n"), 0o600))
	for _, args := range [][]string{
		{},
		{"side"},
		{"side", "--config", file},
		{"entry", "--config", file},
		{"side", "--config", file + ".missing"},
		{"side", "--unknown"},
		{"neither"},
	} {
		assert.Equal(t, run(args), exitSettings, "%v", args)
	}
	assert.Equal(t, run([]string{"--help"}), exitOK)
}
