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

// seedsPerProcess is the number of seeds that one process plays: few enough that all
// processors are busy until the end, many enough that starting processes costs little.
const seedsPerProcess = 10

// Runner plays seeds in processes of their own, as many at once as there are processors:
// a simulated clock belongs to a test, and each test uses one processor.
type Runner struct {
	Module    string // directory of the module
	Policies  []string
	FirstSeed uint64
	Seeds     int
	Processes int
	// Progress is told how many of the plays are done; it may be nil.
	Progress func(done, total int)
}

// batch is what one process plays.
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

// Run plays all seeds with all policies.
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

// playAll plays the batches on all processors. The first error ends it.
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

// playBatch plays one batch in a process of its own.
func (r *Runner) runBatch(ctx context.Context, binary, file string, b batch) (results []Result, err error) {
	cmd := exec.CommandContext(ctx, binary, "-test.run", "^TestPlay$", "-trial.first", strconv.FormatUint(b.first, 10),
		"-trial.seeds", strconv.Itoa(b.seeds), "-trial.off", b.policy, "-trial.out", file)
	cmd.Dir = filepath.Join(r.Module, "trial")
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("trial: seeds from %d without %q: %w: %s", b.first, b.policy, err, out)
	}
	lines, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	for s := bufio.NewScanner(bytes.NewReader(lines)); s.Scan(); {
		var p Result
		if err := json.Unmarshal(s.Bytes(), &p); err != nil {
			return nil, fmt.Errorf("trial: result of seeds from %d: %w", b.first, err)
		}
		results = append(results, p)
	}
	if len(results) != b.seeds {
		return nil, fmt.Errorf("trial: %d results of %d seeds from %d", len(results), b.seeds, b.first)
	}
	return results, nil
}
