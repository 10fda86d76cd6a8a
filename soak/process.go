package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"oriolerelay/relay"
)

// stopGrace is the time between SIGTERM and SIGKILL.
const stopGrace = 6 * time.Second

// process is one daemon, which is restarted whenever it exits.
type process struct {
	name string
	role string
	path string // of the settings file
	log  *os.File
	bin  string

	mu           sync.Mutex
	cmd          *exec.Cmd // nil while the daemon does not run
	restartDelay time.Duration
	starts       int
}

// newProcess writes the settings file of a daemon and creates its log in the same directory.
func newProcess(dir, bin, role string, s relay.Settings) (*process, error) {
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	p := &process{name: s.Node, role: role, bin: bin, path: filepath.Join(dir, s.Node+".json"), restartDelay: 100 * time.Millisecond}
	if err := os.WriteFile(p.path, b, 0o600); err != nil {
		return nil, err
	}
	p.log, err = os.Create(filepath.Join(dir, s.Node+".log"))
	return p, err
}

// run keeps the daemon running until ctx ends, then kills it.
func (p *process) run(ctx context.Context) {
	defer p.log.Close()
	for ctx.Err() == nil {
		cmd := exec.Command(p.bin, p.role, "-settings", p.path)
		cmd.Stdout, cmd.Stderr = p.log, p.log
		if err := cmd.Start(); err != nil {
			fmt.Fprintln(p.log, "start:", err)
			return
		}
		p.mu.Lock()
		p.cmd = cmd
		p.starts++
		p.mu.Unlock()
		stop := context.AfterFunc(ctx, func() { p.signal(syscall.SIGCONT); p.signal(syscall.SIGKILL) })
		err := cmd.Wait()
		stop()
		p.mu.Lock()
		p.cmd = nil
		restartDelay := p.restartDelay
		p.mu.Unlock()
		fmt.Fprintln(p.log, "ended:", err)
		select {
		case <-time.After(restartDelay):
		case <-ctx.Done():
		}
	}
}

// signal sends a signal to the daemon if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // the process may have exited already
	}
}

// kill sends the given signal to the daemon, which restarts after
// restartDelay. A daemon that has not exited stopGrace after SIGTERM is killed.
func (p *process) kill(s syscall.Signal, restartDelay time.Duration) {
	p.mu.Lock()
	p.restartDelay = restartDelay
	cmd := p.cmd
	p.mu.Unlock()
	p.signal(s)
	if s != syscall.SIGTERM {
		return
	}
	time.AfterFunc(stopGrace, func() {
		p.mu.Lock()
		running := p.cmd == cmd
		p.mu.Unlock()
		if running {
			p.signal(syscall.SIGKILL)
		}
	})
}

// pause suspends the daemon for the given time with SIGSTOP and SIGCONT.
func (p *process) pause(d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { p.signal(syscall.SIGCONT) })
}
