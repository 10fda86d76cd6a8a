// Command harness plays the cases of the review as scripts: it starts the daemons as separate
// processes on loopback, with stand-ins of store, endpoints and clients, causes one disruption, and
// judges what the stand-ins have seen. It exits with 0 if the rule held, 1 if it was broken and 2 if
// the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxDuration bounds a case.
const maxDuration = 112 * time.Second

// record collects what was sent, answered and run.
type record struct {
	began time.Time

	mu    sync.Mutex
	lines []recordLine
}

type recordLine struct {
	at   time.Time
	text string
}

func (r *record) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, recordLine{at, fmt.Sprintf(format, args...)})
}

// addRuns adds the runs of the given jobs.
func (r *record) addRuns(runs []run, jobs map[string]bool) {
	for i := range runs {
		u := &runs[i]
		if !jobs[jobOf(u.task)] {
			continue
		}
		r.addAt(u.start, "%s starts %s run %d", u.endpoint, u.task, u.number)
		if u.end.IsZero() {
			continue
		}
		noted := "not taken note of"
		switch {
		case u.void:
			noted = "the lease lapsed before it was taken note of"
		case !u.noted.IsZero():
			noted = fmt.Sprintf("taken note of at %.3f", u.noted.Sub(r.began).Seconds())
		}
		r.addAt(u.end, "%s ends %s run %d: %s, %s", u.endpoint, u.task, u.number, u.how, noted)
	}
}

func (r *record) write(path string, head []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.lines, func(a, b recordLine) int { return a.at.Compare(b.at) })
	var b strings.Builder
	for _, line := range head {
		b.WriteString(line + "\n")
	}
	for _, l := range r.lines {
		fmt.Fprintf(&b, "%8.3f %s\n", l.at.Sub(r.began).Seconds(), l.text)
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}

// result is what a case found. involved are the jobs whose runs are recorded; nil for all that are
// stored.
type result struct {
	violations []string
	summary    string
	involved   map[string]bool
}

// scenario is one case.
type scenario struct {
	attempts int
	play     func(c *cluster, k *callers, trouble bool) (result, error)
}

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "record.txt", "file for the record")
	keep := flag.String("logs", "", "folder that keeps the logs of the processes")
	flag.Parse()
	os.Exit(play(*name, *out, *keep, os.Getenv("TROUBLE") != "0"))
}

func play(name, out, logs string, trouble bool) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return 2
	}
	dir := logs
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer os.RemoveAll(dir)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxDuration)
	defer cancel()
	rec := &record{began: time.Now()}
	c, err := newCluster(ctx, dir, rec, s.attempts)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	k := newCallers(c)
	res, err := s.play(c, k, trouble)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	runs := c.allRuns()
	cancel()
	c.processes.Wait()
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if res.involved == nil {
		res.involved = make(map[string]bool)
		for _, j := range k.stored {
			res.involved[j.id] = true
		}
	}
	rec.addRuns(runs, res.involved)
	head := append([]string{
		fmt.Sprintf("case %s, trouble %v: %d violations; %s", name, trouble, len(res.violations), res.summary),
		fmt.Sprintf("best-effort jobs: %d of %d answered with success", k.bestOK, k.bestAll),
	}, res.violations...)
	for _, line := range head[:min(len(head), 12)] {
		fmt.Println(line)
	}
	if err := rec.write(out, append(head, "")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if len(res.violations) > 0 {
		return 1
	}
	return 0
}
