package harness

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// Process is one real process of a trial. It can be killed, frozen, stopped and
// started again. It may be used by many goroutines.
type Process struct {
	// Name is unique within the trial.
	Name string
	// Log is the file that receives the process's output, over restarts.
	Log string
	// ReadyURL answers 200 when the process serves.
	ReadyURL string

	path string
	args []string

	mu  sync.Mutex
	run *execution
}

// execution is one run of a process, from its start to its exit.
type execution struct {
	command *exec.Cmd
	// exited is closed when the process has ended; err is set before.
	exited chan struct{}
	err    error
}

// Start starts the process. It must not be running.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(p.path, p.args...)
	command.Stdout = log
	command.Stderr = log
	// A trial that is killed must not leave its processes behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	run := &execution{command: command, exited: make(chan struct{})}
	go func() {
		run.err = command.Wait()
		close(run.exited)
	}()
	p.mu.Lock()
	p.run = run
	p.mu.Unlock()
	return nil
}

// current returns the last run, or nil if there was none.
func (p *Process) current() *execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run
}

// Running tells whether the process has been started and has not ended.
func (p *Process) Running() bool {
	run := p.current()
	if run == nil {
		return false
	}
	select {
	case <-run.exited:
		return false
	default:
		return true
	}
}

// Exited returns a channel that is closed when the present run ends.
func (p *Process) Exited() <-chan struct{} { return p.current().exited }

// PID returns the process id of the last run.
func (p *Process) PID() int { return p.current().command.Process.Pid }

// Restart kills the process, if it runs, starts it again and waits until it is
// ready.
func (p *Process) Restart(ctx context.Context) error {
	p.Kill()
	if err := p.Start(); err != nil {
		return err
	}
	return p.AwaitReady(ctx)
}

// signal sends a signal to the process, if it runs.
func (p *Process) signal(s syscall.Signal) error {
	if !p.Running() {
		return fmt.Errorf("signal %s to %s: it does not run", s, p.Name)
	}
	return p.current().command.Process.Signal(s)
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	run := p.current()
	if run == nil {
		return
	}
	// An error means that the process has ended already.
	_ = run.command.Process.Kill()
	<-run.exited
}

// Freeze stops the process with SIGSTOP.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Wake lets a frozen process go on with SIGCONT.
func (p *Process) Wake() error { return p.signal(syscall.SIGCONT) }

// Interrupt asks the process to stop with SIGTERM and does not wait.
func (p *Process) Interrupt() error { return p.signal(syscall.SIGTERM) }

// Terminate asks the process to stop with SIGTERM and waits for its end. It
// fails if the exit code is not 0 or if ctx ends first.
func (p *Process) Terminate(ctx context.Context) error {
	if err := p.Interrupt(); err != nil {
		return err
	}
	return p.AwaitExit(ctx)
}

// AwaitExit waits for the process's end. It fails if the exit code is not 0 or
// if ctx ends first.
func (p *Process) AwaitExit(ctx context.Context) error {
	run := p.current()
	select {
	case <-run.exited:
	case <-ctx.Done():
		return fmt.Errorf("%s has not ended: %w", p.Name, ctx.Err())
	}
	if run.err != nil {
		return fmt.Errorf("%s ended: %w (log: %s)", p.Name, run.err, p.Log)
	}
	return nil
}

// NewProcess returns a process that does not run yet: the program at path with args,
// whose output goes to the file log and which serves when readyURL answers 200.
func NewProcess(name, log, readyURL, path string, args ...string) *Process {
	return &Process{Name: name, Log: log, ReadyURL: readyURL, path: path, args: args}
}
