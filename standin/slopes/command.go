package slopes

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"acaciawinch/standin/harness"
)

// kibibyte is the unit in which the kernel tells a process's largest memory.
const kibibyte = 1024

// command runs the operators' command for a change of one workspace, and adds
// what it cost: time, processor time and its largest resident memory.
func (s *session) command(ctx context.Context, fleet *harness.Fleet, values Values) error {
	path, err := writeFile(s.dir, "command.toml", declaration{Workspaces: held(0, 1, 3)})
	if err != nil {
		return err
	}
	settings := filepath.Join(fleet.Dir, "settings", "acaciawinch.toml")
	command := exec.CommandContext(ctx, filepath.Join(s.options.Bin, "acaciawinch"), "--config", settings, "apply", path)
	began := time.Now()
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("apply: %w: %s", err, output)
	}
	state := command.ProcessState
	values["command_ms"] = float64(time.Since(began).Milliseconds())
	values["command_cpu"] = float64((state.UserTime() + state.SystemTime()).Milliseconds())
	if used, ok := state.SysUsage().(*syscall.Rusage); ok {
		values["command_resident"] = float64(used.Maxrss * kibibyte)
	}
	return nil
}
