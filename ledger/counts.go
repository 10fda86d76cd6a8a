package ledger

import (
	"context"
	"maps"
	"time"

	"oriolerelay/event"
)

// Each owner publishes the number of queued jobs by queue for its partitions, so that other
// entries need not read these partitions to count them.

// Pending returns the number of queued jobs of a queue: the stored jobs of which no task
// has started. For partitions of other owners it uses the counts that they last published.
func (l *Ledger) Pending(queue string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.partitions {
		if p.owned && p.loaded {
			n += l.countQueued(p)[queue]
		} else {
			n += p.counts[queue]
		}
	}
	return n
}

// countQueued returns the number of queued jobs of p by queue. l.mu must be held.
func (l *Ledger) countQueued(p *partition) map[string]int {
	counts := make(map[string]int)
	for id, e := range p.jobs {
		if e.submission != nil && e.progress.State == "" && !e.cancelled && !(e.running && l.cfg.Runner.Started(id)) {
			counts[e.submission.Queue.Name]++
		}
	}
	return counts
}

// publishCounts publishes the changed counts of owned partitions at each CountInterval until
// ctx ends.
func (l *Ledger) publishCounts(ctx context.Context) {
	tick := time.NewTicker(l.cfg.Timing.CountInterval)
	defer tick.Stop()
	failing := false
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		changed := l.changedCounts()
		if len(changed) == 0 {
			continue
		}
		err := l.cfg.Store.PutCounts(ctx, changed)
		if failing != (err != nil) && ctx.Err() == nil {
			failing = err != nil
			l.cfg.Log.Log(event.CountsPublished, "partitions", len(changed), "error", err)
		}
		if err == nil {
			l.applyCounts(changed)
		}
	}
}

// changedCounts updates the counts of owned partitions and returns those that differ from the published
// ones.
func (l *Ledger) changedCounts() map[int]map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := make(map[int]map[string]int)
	for _, p := range l.partitions {
		if !p.owned || !p.loaded || !l.leaseValid() {
			continue
		}
		counts := l.countQueued(p)
		p.addMemory(counts)
		p.setCounts(counts, l.countLag())
		if !maps.Equal(counts, p.published) {
			changed[p.index] = counts
		}
	}
	return changed
}

// applyCounts stores published counts by partition.
func (l *Ledger) applyCounts(counts map[int]map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for index, c := range counts {
		if index < 0 || index >= len(l.partitions) {
			continue
		}
		p := l.partitions[index]
		p.published = c
		if !p.owned || !p.loaded {
			p.setCounts(c, l.countLag())
		}
	}
}

// countInterval returns the interval between two reads of the published counts.
func (l *Ledger) countInterval() time.Duration { return l.cfg.Timing.CountInterval }
