package ledger

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRecordsSurviveWithoutClose(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "u.ledger")
	l, err := Open(path, "u", "s")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	assert.NilError(t, l.Write(Record{Event: Start, ID: "r/s/1"}))
	assert.NilError(t, l.Write(Record{Event: End, ID: "r/s/1", Cost: 3}))
	records, err := ReadAll(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(records), 2)
	assert.Equal(t, records[1].Cost, uint64(3))
	assert.Equal(t, records[1].Upstream, "u")
}

func TestCutLastLineIsLeftOut(t *testing.T) {
	path := filepath.Join(t.TempDir(), "u.ledger")
	content := `{"event":"start","id":"a"}` + "\n" + `{"event":"sta`
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	records, err := Read(path)
	assert.NilError(t, err)
	assert.Equal(t, len(records), 1)
}
