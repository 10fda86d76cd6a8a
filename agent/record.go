package agent

import (
	"time"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/wire"
)

// maxIdleHomes bounds the homes that are remembered only for the refs that were
// forgotten. Entries restart some 200 times a day at the design scale, so the
// oldest of these has been gone for weeks.
const maxIdleHomes = 4096

// entry is the record of one task key. Exactly one of these holds: the task is
// pending (task is set), it is finished (outcome is set), or it was refused and
// never runs (refused is set, kind says why).
type entry struct {
	home    *home
	ref     uint64
	task    *task
	refused bool
	// tombstone marks an entry that was refused on arrival or by a Settle.
	tombstone bool
	outcome   errkind.Outcome
	kind      errkind.Kind
	// result is kept after the end until the home has surely received it.
	result  *wire.TaskResult
	sentAt  time.Time
	expires time.Time
	next    *entry // towards newer entries
}

// home is one incarnation of an entry that has sent tasks.
type home struct {
	node    ids.Incarnation
	link    *link // newest connection, nil while there is none
	entries map[uint64]*entry
	pending int // tasks that have not ended
	// undelivered are finished or refused tasks to report on the next connection.
	undelivered []*entry
	// forgotten is one above the highest ref whose entry has expired; what became
	// of refs below it is no longer known.
	forgotten uint64
	lastUsed  time.Time
}

// record holds the entries of all homes in the order of their arrival. It is
// bounded: by max for tasks that were admitted, by max again for tombstones of
// tasks that never run, and by maxBytes for kept answers.
type record struct {
	homes      map[ids.Incarnation]*home
	oldest     *entry
	newest     *entry
	max        int
	admitted   int
	tombstones int
	maxBytes   int64
	bytes      int64
	age        time.Duration
}

func newRecord(cfg Config) *record {
	return &record{
		homes: make(map[ids.Incarnation]*home),
		max:   cfg.MaxRecords, maxBytes: cfg.MaxResultBytes, age: cfg.RecordAge,
	}
}

// home returns the home of the incarnation and creates it if needed.
func (r *record) home(node ids.Incarnation, now time.Time) *home {
	h := r.homes[node]
	if h == nil {
		r.dropIdleHome()
		h = &home{node: node, entries: make(map[uint64]*entry)}
		r.homes[node] = h
	}
	h.lastUsed = now
	return h
}

// dropIdleHome removes the home that was idle for longest when there are too many.
func (r *record) dropIdleHome() {
	if len(r.homes) < maxIdleHomes {
		return
	}
	var oldest *home
	for _, h := range r.homes {
		if h.link == nil && len(h.entries) == 0 && (oldest == nil || h.lastUsed.Before(oldest.lastUsed)) {
			oldest = h
		}
	}
	if oldest != nil {
		delete(r.homes, oldest.node)
	}
}

func (r *record) full() bool           { return r.admitted >= r.max || r.bytes >= r.maxBytes }
func (r *record) tombstonesFull() bool { return r.tombstones >= r.max }

// add records e until the record age has passed, or longer when the deadline of
// its task requires it.
func (r *record) add(e *entry, now time.Time) {
	e.expires = now.Add(r.age)
	if e.task != nil {
		if t := e.task.deadline.Add(settleTime); t.After(e.expires) {
			e.expires = t
		}
		e.home.pending++
	}
	e.home.entries[e.ref] = e
	if e.tombstone {
		r.tombstones++
	} else {
		r.admitted++
	}
	if r.newest == nil {
		r.oldest = e
	} else {
		r.newest.next = e
	}
	r.newest = e
}

// finish records the end of a pending task.
func (r *record) finish(e *entry, result *wire.TaskResult) {
	e.task = nil
	e.home.pending--
	e.outcome, e.kind, e.result = result.Outcome, result.Kind, result
	r.bytes += int64(len(result.Body))
}

// refuse records that a pending task never runs. It keeps its place among the
// admitted entries.
func (r *record) refuse(e *entry, kind errkind.Kind) {
	e.task = nil
	e.home.pending--
	e.refused = true
	e.kind = kind
}

// release drops the answer of e; its outcome stays recorded.
func (r *record) release(e *entry) {
	if e.result != nil {
		r.bytes -= int64(len(e.result.Body))
		e.result = nil
	}
}

// expire removes entries from the oldest end. An entry that is pending or not
// yet due keeps every newer one, so that forgotten refs are always older.
func (r *record) expire(now time.Time) {
	for r.oldest != nil && r.oldest.task == nil && !now.Before(r.oldest.expires) {
		e := r.oldest
		r.oldest = e.next
		if r.oldest == nil {
			r.newest = nil
		}
		r.forget(e)
	}
}

func (r *record) forget(e *entry) {
	h := e.home
	r.release(e)
	delete(h.entries, e.ref)
	h.forgotten = max(h.forgotten, e.ref+1)
	if e.tombstone {
		r.tombstones--
	} else {
		r.admitted--
	}
}

// known reports whether h's record still holds e.
func (h *home) known(e *entry) bool { return h.entries[e.ref] == e }
