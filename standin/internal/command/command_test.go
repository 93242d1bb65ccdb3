package command

import (
	"errors"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"
)

func TestExitCodes(t *testing.T) {
	assert.Equal(t, exitCode(nil), 0)
	assert.Equal(t, exitCode(&flags.Error{Type: flags.ErrHelp}), 0)
	assert.Equal(t, exitCode(&flags.Error{Type: flags.ErrUnknownFlag}), exitUsage)
	assert.Equal(t, exitCode(errors.New("a cell failed")), exitFailed)
}
