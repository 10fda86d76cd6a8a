// Package proctest runs the daemons as separate processes on loopback, for failure tests
// and load experiments.
package proctest

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Programs are the daemons that Build compiles.
var Programs = []string{"oriole-platform", "oriole-entry", "oriole-agent", "oriole-endpoint"}

// Build compiles the daemons of the module at root into dir.
func Build(ctx context.Context, root, dir string) error {
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	for _, p := range Programs {
		args = append(args, "./cmd/"+p)
	}
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build the daemons: %w\n%s", err, out)
	}
	return nil
}

// Process is a program with its settings file. It can be restarted after it has exited.
// Its methods are safe for concurrent use.
type Process struct {
	Name     string
	Program  string   // path of the binary
	Args     []string // arguments before the settings flag
	Settings string   // path of the settings file
	LogFile  string   // standard output and error of all runs, appended
	ReadyURL string   // responds with a 2xx status when the process is ready; empty if it has none

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// starter returns a channel of functions that are run on one locked thread that never
// exits: the kernel sends a child its parent-death signal when the thread that started it
// exits, not when the process does.
var starter = sync.OnceValue(func() chan<- func() {
	funcs := make(chan func())
	go func() {
		runtime.LockOSThread()
		for fn := range funcs {
			fn()
		}
	}()
	return funcs
})

func startOnLockedThread(cmd *exec.Cmd) error {
	result := make(chan error)
	starter() <- func() { result <- cmd.Start() }
	return <-result
}

// Start starts the program. It does not wait for readiness.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s is already running", p.Name)
	}
	log, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.Program, append(slices.Clone(p.Args), "-settings", p.Settings)...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = startOnLockedThread(cmd)
	_ = log.Close() // the child has its own descriptor
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.cmd, p.done = cmd, make(chan struct{})
	go p.reap(cmd, p.done)
	return nil
}

// reap waits for the exit of the process and records its result.
func (p *Process) reap(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.cmd, p.err = nil, err
	p.mu.Unlock()
	close(done)
}

// PID returns the process id, or 0 if the process is not running.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

func (p *Process) signal(s syscall.Signal) (<-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil, fmt.Errorf("%s is not running", p.Name)
	}
	return p.done, p.cmd.Process.Signal(s)
}

// Kill sends SIGKILL and waits for the exit. It does nothing if the process is not
// running.
func (p *Process) Kill() {
	if done, err := p.signal(syscall.SIGKILL); err == nil {
		<-done
	}
}

// Pause suspends the process with SIGSTOP.
func (p *Process) Pause() error { _, err := p.signal(syscall.SIGSTOP); return err }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() error { _, err := p.signal(syscall.SIGCONT); return err }

// Terminate sends SIGTERM and waits for the exit. A non-zero exit status is an error.
func (p *Process) Terminate(ctx context.Context) error {
	done, err := p.signal(syscall.SIGTERM)
	if err != nil {
		return err
	}
	select {
	case <-done:
	case <-ctx.Done():
		return fmt.Errorf("%s did not exit after SIGTERM: %w", p.Name, ctx.Err())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return fmt.Errorf("%s exited after SIGTERM: %w", p.Name, p.err)
	}
	return nil
}

// pollInterval is the time between two checks of Poll.
const pollInterval = 20 * time.Millisecond

// WaitReady waits until ReadyURL responds with a 2xx status.
func (p *Process) WaitReady(ctx context.Context) error {
	return Poll(ctx, p.Name+" is ready", func() error {
		if p.PID() == 0 {
			return fmt.Errorf("%s is not running: %s", p.Name, p.Tail())
		}
		if p.ReadyURL == "" {
			return nil
		}
		return GetOK(ctx, p.ReadyURL)
	})
}

// GetOK returns nil if a GET of url responds with a 2xx status within one second.
func GetOK(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("GET %s: unexpected status %s", url, resp.Status)
	}
	return nil
}

// Poll calls check until it returns nil. When ctx is done first, it returns the errors of
// ctx and of the last check, prefixed with what.
func Poll(ctx context.Context, what string, check func() error) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", what, errors.Join(ctx.Err(), err))
		case <-tick.C:
		}
	}
}

// maxTailBytes bounds the log excerpt in an error.
const maxTailBytes = 4 << 10

// Tail returns the end of the log of the process.
func (p *Process) Tail() string {
	b, err := os.ReadFile(p.LogFile)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-maxTailBytes):])
}
