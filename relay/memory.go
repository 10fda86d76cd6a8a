package relay

import (
	"time"

	"oriolerelay/ledger"
	"oriolerelay/policy"
)

// memoryBudgets bounds the memory for what clients can make a process hold beside their requests, which
// package httplimit bounds to half of the limit of the process. A budget of 0 is no bound.
type memoryBudgets struct {
	backlog int64 // stored jobs that this entry may have to run
	replies int64 // responses of the store that are read at the same time
	frames  int64 // large messages of agents and other entries, while they arrive
	// peerConns bounds the connections of agents and other entries.
	peerConns int
}

const (
	// baseMemory is the memory of a process without clients: program text, runtime, connections to the
	// store, and garbage.
	baseMemory = 28 << 20
	// minBudget is the least size of a budget. A request of the largest size fits into it.
	minBudget = 1 << 20
	// entryListLag is the time after its start in which an entry may not know all entries, and assumes
	// unknownEntries at least. Entries that start together would each take themselves for the only one.
	entryListLag   = 10 * time.Second
	unknownEntries = 4
	// peerConnBytes is the memory of a connection of an agent or another entry.
	peerConnBytes = 64 << 10
)

// newMemoryBudgets returns the budgets of a process with the given memory limit; 0 for no limit.
func newMemoryBudgets(memoryMiB int) memoryBudgets {
	if memoryMiB <= 0 {
		return memoryBudgets{}
	}
	limit := int64(memoryMiB) << 20
	peers := limit / 8
	rest := limit/2 - peers - baseMemory
	share := func(percent int64) int64 { return max(rest*percent/100, minBudget) }
	return memoryBudgets{backlog: share(80), replies: share(10), frames: share(10), peerConns: int(peers / peerConnBytes)}
}

// admitsStored reports whether a stored job that needs the given memory may be accepted. Each other entry may
// accept as much as this one at the same time. Half of the entries may be lost; the others then own all jobs.
func (e *entry) admitsStored(all, ofQueue ledger.Use, bytes int64) bool {
	entries := max(1, e.peers.entries.Load())
	limit := e.process.budgets.backlog * max(1, entries/2)
	if time.Since(e.started) < entryListLag {
		entries = max(entries, unknownEntries)
	}
	concurrent := min((entries-1)*bytes, limit/4) // a lone job is accepted, however large it is
	estimate := func(u ledger.Use) int64 { return u.Counted + u.Uncounted + (entries-1)*u.Recent + concurrent }
	return policy.Backlog{Limit: limit, Used: estimate(all), Queue: estimate(ofQueue)}.Admits(bytes)
}
