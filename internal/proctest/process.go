// Package proctest runs the system's programs as separate processes on loopback,
// for failure tests and load runs.
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
		return fmt.Errorf("build programs: %w\n%s", err, out)
	}
	return nil
}

// Process is one program with its settings file. It can be started again after
// it has ended. Its methods are safe for concurrent use.
type Process struct {
	Name     string
	Program  string // path of the binary
	Settings string // path of the settings file
	LogFile  string // standard error of all runs, appended
	ReadyURL string // answers 200 when the process is ready; empty when it has none

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// starter runs on one locked thread that never ends, because the parent-death
// signal of a child is sent when the thread that started it ends.
var starter = sync.OnceValue(func() chan<- func() {
	jobs := make(chan func())
	go func() {
		runtime.LockOSThread()
		for job := range jobs {
			job()
		}
	}()
	return jobs
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
		return fmt.Errorf("%s already runs", p.Name)
	}
	log, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.Program, "-settings", p.Settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = startOnLockedThread(cmd)
	_ = log.Close() // the child holds its own copy
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.cmd, p.done = cmd, make(chan struct{})
	go p.reap(cmd, p.done)
	return nil
}

func (p *Process) reap(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.cmd, p.err = nil, err
	p.mu.Unlock()
	close(done)
}

// PID returns the process id, or 0 when the process does not run.
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
		return nil, fmt.Errorf("%s does not run", p.Name)
	}
	return p.done, p.cmd.Process.Signal(s)
}

// Kill ends the process with SIGKILL and waits for its end. A process that does
// not run is left alone.
func (p *Process) Kill() {
	if done, err := p.signal(syscall.SIGKILL); err == nil {
		<-done
	}
}

// Pause stops the process with SIGSTOP.
func (p *Process) Pause() error { _, err := p.signal(syscall.SIGSTOP); return err }

// Resume continues a paused process.
func (p *Process) Resume() error { _, err := p.signal(syscall.SIGCONT); return err }

// Terminate sends SIGTERM and waits for the end. A non-zero exit is an error.
func (p *Process) Terminate(ctx context.Context) error {
	done, err := p.signal(syscall.SIGTERM)
	if err != nil {
		return err
	}
	select {
	case <-done:
	case <-ctx.Done():
		return fmt.Errorf("%s did not end after SIGTERM: %w", p.Name, ctx.Err())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return fmt.Errorf("%s ended with %w", p.Name, p.err)
	}
	return nil
}

// pollPeriod is the time between two readiness probes.
const pollInterval = 20 * time.Millisecond

// WaitReady waits until ReadyURL answers 200.
func (p *Process) WaitReady(ctx context.Context) error {
	return Poll(ctx, p.Name+" is ready", func() error {
		if p.PID() == 0 {
			return fmt.Errorf("%s does not run: %s", p.Name, p.Tail())
		}
		if p.ReadyURL == "" {
			return nil
		}
		return GetOK(ctx, p.ReadyURL)
	})
}

// GetOK returns nil when a GET of url answers with a 2xx status within one second.
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
		return fmt.Errorf("%s answered %s", url, resp.Status)
	}
	return nil
}

// Poll calls check until it returns nil. It gives up with the last error when
// ctx ends.
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

// tailBytes bounds the log excerpt in an error.
const maxTailBytes = 4 << 10

// Tail returns the end of the process's log.
func (p *Process) Tail() string {
	b, err := os.ReadFile(p.LogFile)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-maxTailBytes):])
}
