package harness

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// Process is one operating system process of a trial. It can be killed, frozen,
// stopped and restarted. It is safe for concurrent use.
type Process struct {
	// Name is unique within the trial.
	Name string
	// Log is the path of the file to which the process's output is appended, also
	// after restarts.
	Log string
	// ReadyURL returns status 200 when the process serves.
	ReadyURL string

	path string
	args []string

	mu  sync.Mutex
	run *processRun
}

// processRun is one run of a process from start to exit.
type processRun struct {
	command *exec.Cmd
	// exited is closed when the process has exited. err is set before that.
	exited chan struct{}
	err    error
}

// Start starts the process, which must not be running.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(p.path, p.args...)
	command.Stdout = log
	command.Stderr = log
	// The processes of a killed trial must not outlive it.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	run := &processRun{command: command, exited: make(chan struct{})}
	go func() {
		run.err = command.Wait()
		close(run.exited)
	}()
	p.mu.Lock()
	p.run = run
	p.mu.Unlock()
	return nil
}

// lastRun returns the last run, or nil if the process was never started.
func (p *Process) lastRun() *processRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run
}

// Running reports whether the process has been started and has not exited.
func (p *Process) Running() bool {
	run := p.lastRun()
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

// Exited returns a channel that is closed when the last run ends.
func (p *Process) Exited() <-chan struct{} { return p.lastRun().exited }

// PID returns the process id of the last run.
func (p *Process) PID() int { return p.lastRun().command.Process.Pid }

// Restart kills the process if it is running, starts it and waits until it is ready.
func (p *Process) Restart(ctx context.Context) error {
	p.Kill()
	if err := p.Start(); err != nil {
		return err
	}
	return p.AwaitReady(ctx)
}

// signal sends a signal to the process. It fails if the process is not running.
func (p *Process) signal(s syscall.Signal) error {
	if !p.Running() {
		return fmt.Errorf("signal %s to %s: process is not running", s, p.Name)
	}
	return p.lastRun().command.Process.Signal(s)
}

// Kill ends the process with SIGKILL and waits for its exit.
func (p *Process) Kill() {
	run := p.lastRun()
	if run == nil {
		return
	}
	// An error means that the process has already exited.
	_ = run.command.Process.Kill()
	<-run.exited
}

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Resume resumes a frozen process with SIGCONT.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// SignalTerminate sends SIGTERM to the process and does not wait for its exit.
func (p *Process) SignalTerminate() error { return p.signal(syscall.SIGTERM) }

// Terminate sends SIGTERM to the process and waits for its exit. It fails if the exit
// code is not 0 or if ctx ends first.
func (p *Process) Terminate(ctx context.Context) error {
	if err := p.SignalTerminate(); err != nil {
		return err
	}
	return p.AwaitExit(ctx)
}

// AwaitExit waits for the process's exit. It fails if the exit code is not 0 or if
// ctx ends first.
func (p *Process) AwaitExit(ctx context.Context) error {
	run := p.lastRun()
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

// NewProcess returns a process that has not been started. It runs the program at path
// with args, appends its output to the file log, and is ready when readyURL returns
// status 200.
func NewProcess(name, log, readyURL, path string, args ...string) *Process {
	return &Process{Name: name, Log: log, ReadyURL: readyURL, path: path, args: args}
}
