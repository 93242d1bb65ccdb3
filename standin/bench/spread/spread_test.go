package spread

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"acaciawinch/core/config"
	"acaciawinch/standin/catalog"
)

func TestConfigurationIsValid(t *testing.T) {
	d := configuration(300)
	for _, problem := range config.ValidateDeclared(d.Templates, d.Workspaces) {
		t.Fatal(problem)
	}
	path, err := writeFile(t.TempDir(), "all.toml", d)
	assert.NilError(t, err)
	loaded, err := catalog.Load(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, loaded.Workspaces, d.Workspaces)
	assert.DeepEqual(t, loaded.Templates, d.Templates.Templates)
}

func TestElapsedSinceEndsAtTheLastProcess(t *testing.T) {
	start := time.Unix(100, 0)
	seen := seenTimes{start.Add(time.Second), start.Add(3 * time.Second), start.Add(2 * time.Second)}
	assert.Equal(t, seen.elapsedSince(start), 3*time.Second)
	assert.Equal(t, seen.elapsedSince(start.Add(5*time.Second)), time.Duration(0))
}

func TestConditionsUndoTheirFaults(t *testing.T) {
	for _, c := range conditions() {
		hasFault := c.beforeAccept != nil || c.onHeadWrite != nil
		assert.Equal(t, c.undo != nil, hasFault, c.name)
		assert.Assert(t, c.target > 0, c.name)
	}
}
