package agent

import (
	"time"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/wire"
)

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
	// undelivered are finished or refused tasks to report on the next connection.
	undelivered []*entry
	// forgotten is the highest ref whose entry has expired; what became of refs
	// up to it is no longer known.
	forgotten uint64
}

// record holds the entries of all homes in the order of their arrival. It is
// bounded: by max for tasks that were admitted and by max again for tombstones
// of tasks that never run.
type record struct {
	homes      map[ids.Incarnation]*home
	oldest     *entry
	newest     *entry
	max        int
	admitted   int
	tombstones int
	age        time.Duration
}

func newRecord(max int, age time.Duration) *record {
	return &record{homes: make(map[ids.Incarnation]*home), max: max, age: age}
}

// home returns the home of the incarnation and creates it if needed.
func (r *record) home(node ids.Incarnation) *home {
	h := r.homes[node]
	if h == nil {
		h = &home{node: node, entries: make(map[uint64]*entry)}
		r.homes[node] = h
	}
	return h
}

func (r *record) full() bool           { return r.admitted >= r.max }
func (r *record) tombstonesFull() bool { return r.tombstones >= r.max }

// add records e until the record age has passed, or longer when the deadline of
// its task requires it.
func (r *record) add(e *entry, now time.Time) {
	e.expires = now.Add(r.age)
	if e.task != nil {
		if t := e.task.deadline.Add(settleTime); t.After(e.expires) {
			e.expires = t
		}
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

// refuse turns a pending entry into a refused one. It keeps its place among the
// admitted entries, so that the bounds stay simple.
func (e *entry) refuse(kind errkind.Kind) {
	e.task = nil
	e.refused = true
	e.kind = kind
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
	delete(h.entries, e.ref)
	h.forgotten = max(h.forgotten, e.ref)
	if e.tombstone {
		r.tombstones--
	} else {
		r.admitted--
	}
	if len(h.entries) == 0 && h.link == nil {
		delete(r.homes, h.node)
	}
}
