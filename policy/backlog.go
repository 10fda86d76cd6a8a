package policy

// Backlog is the memory of the stored jobs that have not ended, against the bound on it. These jobs
// outlive the requests that submit them, and any entry may have to run those of lost ones.
type Backlog struct {
	Limit int64 // 0 for no bound
	Used  int64 // by the jobs of all queues
	Queue int64 // by the jobs of the queue of the new job
}

const (
	// LargeStoredJob is the memory from which on a job counts as large. A job of 150 tasks, each a step
	// of its own, needs less.
	LargeStoredJob = 96 << 10
	// largeShare is the share of the bound that is open to large jobs, and loneJobShare the most that one job
	// counts as, so that a single one is accepted however large it is.
	largeShare, loneJobShare = 0.5, 0.25
	// queueFactor bounds the jobs of a queue to this multiple of the memory that is free. One queue can
	// use three quarters of the bound, two that are both full three sevenths each. For jobs above
	// smallStoredJob it is lower, so that many of them leave room for small ones: one queue can use two thirds.
	queueFactor, largerQueueFactor = 3, 2
	smallStoredJob                 = 16 << 10
)

// Admits reports whether a stored job that needs the given memory may be accepted. What a queue may use
// shrinks with the free memory, so that the clients of one queue leave room for the jobs of others, and
// clients with large jobs leave room for ordinary ones.
func (b Backlog) Admits(bytes int64) bool {
	if b.Limit == 0 {
		return true
	}
	share := func(f float64) int64 { return int64(f * float64(b.Limit)) }
	if bytes > LargeStoredJob && b.Used+min(bytes, share(loneJobShare)) > share(largeShare) {
		return false
	}
	bytes = min(bytes, share(loneJobShare))
	factor := int64(queueFactor)
	if bytes > smallStoredJob {
		factor = largerQueueFactor
	}
	return b.Queue <= factor*(b.Limit-b.Used-bytes)
}
