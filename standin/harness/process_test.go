package harness

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Modes in which the test binary runs as a process of a trial. The mode is the first
// argument, the listen address the second.
const (
	modeServe = "trial-serve"
	modeFail  = "trial-fail"
)

func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == modeServe {
		serveUntilTerminated(os.Args[2])
		return
	}
	if len(os.Args) == 3 && os.Args[1] == modeFail {
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// serveUntilTerminated serves HTTP with status 200 until SIGTERM.
func serveUntilTerminated(address string) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		os.Exit(1)
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})) }()
	<-ctx.Done()
}

// newProcess starts the test binary in the given mode. The process is killed when the
// test ends.
func newProcess(t *testing.T, mode string) *Process {
	address, err := NewPorts().Address()
	assert.NilError(t, err)
	process := &Process{
		Name:     mode,
		Log:      filepath.Join(t.TempDir(), "log"),
		ReadyURL: "http://" + address,
		path:     os.Args[0],
		args:     []string{mode, address},
	}
	assert.NilError(t, process.Start())
	t.Cleanup(process.Kill)
	return process
}

// awaitState waits until /proc reports one of the states for the process.
func awaitState(t *testing.T, process *Process, states string) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.PID()))
		if err != nil {
			return poll.Error(err)
		}
		state := stat[strings.LastIndex(string(stat), ") ")+2]
		if strings.ContainsRune(states, rune(state)) {
			return poll.Success()
		}
		return poll.Continue("state %c", state)
	})
}

func TestProcessTerminatesWithCodeZero(t *testing.T) {
	process := newProcess(t, modeServe)
	assert.NilError(t, process.AwaitReady(t.Context()))
	assert.Assert(t, process.Running())
	assert.NilError(t, process.Terminate(t.Context()))
	assert.Assert(t, !process.Running())
	assert.ErrorContains(t, process.Terminate(t.Context()), "is not running")
}

func TestProcessIsKilledAndStartedAgain(t *testing.T) {
	process := newProcess(t, modeServe)
	first := process.PID()
	process.Kill()
	assert.ErrorContains(t, process.AwaitExit(t.Context()), "killed")
	assert.NilError(t, process.Restart(t.Context()))
	assert.Assert(t, process.PID() != first)
}

func TestProcessIsFrozenAndResumed(t *testing.T) {
	process := newProcess(t, modeServe)
	assert.NilError(t, process.AwaitReady(t.Context()))
	assert.NilError(t, process.Freeze())
	awaitState(t, process, "T")
	assert.NilError(t, process.Resume())
	awaitState(t, process, "SR")
	assert.NilError(t, process.AwaitReady(t.Context()))
}

func TestFailedProcessIsNoticedBeforeTheDeadline(t *testing.T) {
	process := newProcess(t, modeFail)
	assert.ErrorContains(t, process.AwaitReady(t.Context()), "ended")
	assert.ErrorContains(t, process.AwaitExit(t.Context()), "exit status 1")
}
