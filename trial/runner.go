package trial

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
)

// seedsPerProcess is the number of seeds that one process simulates: small enough to keep all
// processors busy until the end, large enough that process startup costs little.
const seedsPerProcess = 10

// Runner simulates seeds in test processes, with at most Processes of them in parallel. It needs
// processes because a simulated clock belongs to one test, which uses one processor.
type Runner struct {
	Module    string // root directory of the Go module
	Policies  []string
	FirstSeed uint64
	Seeds     int
	Processes int
	// Progress, if not nil, is called with the number of simulations that are done.
	Progress func(done, total int)
}

// batch is the work of one process: some seeds with one policy.
type batch struct {
	policy string
	first  uint64
	seeds  int
}

func (r *Runner) batches() (out []batch) {
	for from := 0; from < r.Seeds; from += seedsPerProcess {
		for _, p := range r.Policies {
			out = append(out, batch{p, r.FirstSeed + uint64(from), min(seedsPerProcess, r.Seeds-from)})
		}
	}
	return out
}

// Run simulates all seeds with all policies.
func (r *Runner) Run(ctx context.Context) ([]Result, error) {
	for _, p := range r.Policies {
		if _, err := ParsePolicy(p); err != nil {
			return nil, err
		}
	}
	dir, err := os.MkdirTemp("", "trial")
	if err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	defer os.RemoveAll(dir)
	binary := filepath.Join(dir, "trial.test")
	build := exec.CommandContext(ctx, "go", "test", "-c", "-o", binary, "./trial")
	build.Dir = r.Module
	if out, err := build.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("trial: build: %w: %s", err, out)
	}
	return r.runBatches(ctx, binary, dir)
}

// runBatches runs the batches in parallel. It stops at the first error and returns it.
func (r *Runner) runBatches(ctx context.Context, binary, dir string) ([]Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	batches := r.batches()
	next := make(chan int)
	var mu sync.Mutex
	var results []Result
	var wg sync.WaitGroup
	for range max(r.Processes, 1) {
		wg.Go(func() {
			for i := range next {
				p, err := r.runBatch(ctx, binary, filepath.Join(dir, strconv.Itoa(i)), batches[i])
				if err != nil {
					cancel(err)
					return
				}
				mu.Lock()
				results = append(results, p...)
				if r.Progress != nil {
					r.Progress(len(results), r.Seeds*len(r.Policies))
				}
				mu.Unlock()
			}
		})
	}
	for i := range batches {
		select {
		case next <- i:
		case <-ctx.Done():
		}
	}
	close(next)
	wg.Wait()
	return results, context.Cause(ctx)
}

// runBatch runs one batch in its own process.
func (r *Runner) runBatch(ctx context.Context, binary, file string, b batch) (results []Result, err error) {
	cmd := exec.CommandContext(ctx, binary, "-test.run", "^TestPlay$", "-trial.first", strconv.FormatUint(b.first, 10),
		"-trial.seeds", strconv.Itoa(b.seeds), "-trial.off", b.policy, "-trial.out", file)
	cmd.Dir = filepath.Join(r.Module, "trial")
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("trial: run seeds from %d with %q disabled: %w: %s", b.first, b.policy, err, out)
	}
	lines, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	for s := bufio.NewScanner(bytes.NewReader(lines)); s.Scan(); {
		var p Result
		if err := json.Unmarshal(s.Bytes(), &p); err != nil {
			return nil, fmt.Errorf("trial: decode result of seeds from %d: %w", b.first, err)
		}
		results = append(results, p)
	}
	if len(results) != b.seeds {
		return nil, fmt.Errorf("trial: got %d results for %d seeds from %d", len(results), b.seeds, b.first)
	}
	return results, nil
}
