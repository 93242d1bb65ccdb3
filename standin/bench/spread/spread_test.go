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
	again, err := catalog.Load(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, again.Workspaces, d.Workspaces)
	assert.DeepEqual(t, again.Templates, d.Templates.Templates)
}

func TestLastCountsFromTheMoment(t *testing.T) {
	start := time.Unix(100, 0)
	seen := moments{start.Add(time.Second), start.Add(3 * time.Second), start.Add(2 * time.Second)}
	assert.Equal(t, seen.last(start), 3*time.Second)
	assert.Equal(t, seen.last(start.Add(5*time.Second)), time.Duration(0))
}

func TestConditionsUndoWhatTheyDo(t *testing.T) {
	for _, c := range conditions() {
		changes := c.before != nil || c.at != nil
		assert.Equal(t, c.end != nil, changes, c.name)
		assert.Assert(t, c.target > 0, c.name)
	}
}
