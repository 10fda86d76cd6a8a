package emulator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"oriolerelay/event"
	"oriolerelay/ledger"
)

// storeLatency is the time that a call of the store takes.
const storeLatency = 4 * time.Millisecond

// repeatableAppends is the number of latest fenced appends of a partition that can be repeated.
const repeatableAppends = 5

// storeTimeout is the time after which a client of the store gives up a call.
const storeTimeout = 1500 * time.Millisecond

// StoreFaults holds the injected faults of a store. The zero value injects none.
type StoreFaults struct {
	Down         bool // calls fail with ledger.ErrNotApplied
	Unresponsive bool // calls have no effect and get no reply
	// FreezeMemberships keeps the time of the fault from counting towards the expiry of
	// memberships.
	FreezeMemberships bool
	// LoseEveryNth, if positive, makes each n-th append take effect without a reply.
	LoseEveryNth int
	// LoseNext is the number of upcoming appends that take effect without a reply.
	LoseNext int
	// NoWakeups keeps appends from waking up waiting reads.
	NoWakeups bool
	// Delay is added to the latency of every call. A call that its client gives up within that
	// time has no effect.
	Delay time.Duration
}

// Store emulates the platform's store of jobs in memory.
type Store struct {
	Partitions int

	mu              sync.Mutex
	faults          StoreFaults
	partitions      []*storePartition
	members         map[string]*member
	generation      uint64
	appends         int
	changed         chan struct{}
	assignmentShift int // offset by which Rebalance rotates the assignment
	counts          map[int]map[string]int
}

type storePartition struct {
	records           []ledger.Record
	epoch             uint64
	sequence          uint64
	fenced            bool              // epoch is set
	offsets           map[uint64]uint64 // of the last repeatableAppends fenced appends, by sequence number
	owner             string            // member that owns the partition, empty if none does
	revocationPending bool              // another member will own the partition once the owner acknowledges it
}

type member struct {
	lastJoin time.Time
	ttl      time.Duration
	// acknowledgedGeneration is the generation that the member sent in its last Join.
	acknowledgedGeneration uint64
}

// NewStore returns an empty store with the given number of partitions.
func NewStore(partitions int) *Store {
	s := &Store{Partitions: partitions, members: make(map[string]*member), changed: make(chan struct{})}
	for range partitions {
		s.partitions = append(s.partitions, &storePartition{})
	}
	return s
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.FreezeMemberships {
		for _, m := range s.members {
			m.lastJoin = time.Now()
		}
	}
	s.faults = f
}

// applyFaults applies the faults that affect every call.
func (s *Store) applyFaults(ctx context.Context) error {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	select {
	case <-time.After(storeLatency + f.Delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	s.mu.Lock()
	f = s.faults
	s.mu.Unlock()
	switch {
	case f.Down:
		return fmt.Errorf("store is down: %w", ledger.ErrNotApplied)
	case f.Unresponsive:
		return waitForTimeout(ctx)
	}
	return nil
}

// waitForTimeout waits until the client gives up the call.
func waitForTimeout(ctx context.Context) error {
	select {
	case <-time.After(storeTimeout):
		return errNoReply
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Append implements ledger.Store.
func (s *Store) Append(ctx context.Context, partition int, records []ledger.Record, fence *ledger.Fence) (uint64, error) {
	if err := s.applyFaults(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitions[partition]
	if fence != nil {
		first, repeated := p.offsets[fence.Sequence]
		switch {
		case p.fenced && fence.Epoch < p.epoch:
			return 0, ledger.ErrFenced
		case !p.fenced || fence.Epoch > p.epoch:
			p.fenced, p.epoch, p.sequence = true, fence.Epoch, fence.Sequence
			p.offsets = make(map[uint64]uint64)
		case len(records) == 0:
		case repeated:
			return first, nil // a repeated append gets the original reply
		case fence.Sequence != p.sequence+1:
			return 0, ledger.ErrSequenceMismatch
		default:
			p.sequence = fence.Sequence
		}
	}
	offset := uint64(len(p.records))
	if fence != nil {
		p.offsets[fence.Sequence] = offset
		delete(p.offsets, fence.Sequence-repeatableAppends)
	}
	for _, r := range records {
		p.records = append(p.records, ledger.Record{Key: r.Key, Value: slices.Clone(r.Value)})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	s.appends++
	lost := s.faults.LoseNext > 0
	if lost {
		s.faults.LoseNext--
	}
	if n := s.faults.LoseEveryNth; lost || n > 0 && s.appends%n == 0 {
		s.mu.Unlock()
		err := waitForTimeout(ctx)
		s.mu.Lock()
		return 0, err
	}
	return offset, nil
}

// Newest implements ledger.Store.
func (s *Store) Newest(ctx context.Context, partition int, handle func([]ledger.Record)) (uint64, error) {
	if err := s.applyFaults(ctx); err != nil {
		return 0, err
	}
	records, next := s.newest(partition)
	handle(records)
	return next, nil
}

func (s *Store) newest(partition int) ([]ledger.Record, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitions[partition]
	newest := make(map[string]ledger.Record)
	for _, r := range p.records {
		if len(r.Value) == 0 {
			delete(newest, r.Key)
		} else {
			newest[r.Key] = r
		}
	}
	var out []ledger.Record
	for _, r := range newest {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, uint64(len(p.records))
}

// Read implements ledger.Store.
func (s *Store) Read(ctx context.Context, partition int, from uint64, wait time.Duration, handle func(uint64, []ledger.Record)) error {
	if err := s.applyFaults(ctx); err != nil {
		return err
	}
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		p, changed := s.partitions[partition], s.changed
		if s.faults.NoWakeups {
			changed = nil
		}
		if uint64(len(p.records)) > from {
			out := slices.Clone(p.records[from:])
			s.mu.Unlock()
			handle(from, out)
			return nil
		}
		s.mu.Unlock()
		left := time.Until(deadline)
		if left <= 0 {
			return nil
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// Join implements ledger.Store.
func (s *Store) Join(ctx context.Context, name string, generation uint64, ttl time.Duration) (ledger.Membership, error) {
	if err := s.applyFaults(ctx); err != nil {
		return ledger.Membership{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	m := s.members[name]
	if m == nil {
		m = &member{}
		s.members[name] = m
		s.generation++
	}
	m.lastJoin, m.ttl, m.acknowledgedGeneration = time.Now(), ttl, generation
	s.assignLocked()
	out := ledger.Membership{Generation: s.generation}
	for i, p := range s.partitions {
		if p.owner == name && !p.revocationPending {
			out.Partitions = append(out.Partitions, i)
		}
	}
	return out, nil
}

// Leave implements ledger.Store.
func (s *Store) Leave(ctx context.Context, name string) error {
	if err := s.applyFaults(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(name)
	return nil
}

// PutCounts implements ledger.Store.
func (s *Store) PutCounts(ctx context.Context, counts map[int]map[string]int) error {
	if err := s.applyFaults(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	all := maps.Clone(s.counts)
	if all == nil {
		all = make(map[int]map[string]int)
	}
	maps.Copy(all, counts)
	s.counts = all
	return nil
}

// WatchCounts implements ledger.Store.
func (s *Store) WatchCounts(ctx context.Context, _ *event.Logger, interval func() time.Duration, handle func(map[int]map[string]int)) {
	for ctx.Err() == nil {
		if s.applyFaults(ctx) == nil {
			s.mu.Lock()
			counts := s.counts
			s.mu.Unlock()
			handle(counts)
		}
		select {
		case <-time.After(interval()):
		case <-ctx.Done():
		}
	}
}

func (s *Store) removeLocked(name string) {
	if s.members[name] == nil {
		return
	}
	delete(s.members, name)
	s.generation++
	for _, p := range s.partitions {
		if p.owner == name {
			p.owner, p.revocationPending = "", false
		}
	}
}

// Rebalance reassigns all partitions at once, without waiting for their owners to release them.
func (s *Store) Rebalance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assignmentShift++
	for _, p := range s.partitions {
		p.owner, p.revocationPending = "", false
	}
	s.assignLocked()
}

func (s *Store) expireLocked() {
	for name, m := range s.members {
		if time.Since(m.lastJoin) > m.ttl {
			s.removeLocked(name)
		}
	}
}

// assignLocked distributes the partitions evenly. A partition moves only when its owner has
// acknowledged a generation in which the partition was not assigned to it.
func (s *Store) assignLocked() {
	var names []string
	for name := range s.members {
		names = append(names, name)
	}
	sort.Strings(names)
	moved := false
	for i, p := range s.partitions {
		want := names[(i+s.assignmentShift)%len(names)]
		old := s.members[p.owner]
		switch {
		case p.owner == want:
			p.revocationPending = false
		case old == nil || p.revocationPending && old.acknowledgedGeneration >= s.generation:
			p.owner, p.revocationPending, moved = want, false, true
		default:
			p.revocationPending = true
		}
	}
	if moved {
		s.generation++
	}
}
