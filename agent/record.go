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

// taskRecord is the record of one task key. Exactly one of these holds: the task is
// pending (task is set), it is finished (outcome is set), or it was refused and
// never runs (refused is set, kind says why).
type taskRecord struct {
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
	next    *taskRecord // towards newer entries
}

// home is one incarnation of an entry that has sent tasks.
type home struct {
	node         ids.Incarnation
	link         *link // newest connection, nil while there is none
	records      map[uint64]*taskRecord
	pendingTasks int // tasks that have not ended
	// undelivered are finished or refused tasks to report on the next connection.
	undelivered []*taskRecord
	// expiredBelow is one above the highest ref whose entry has expired; what became
	// of refs below it is no longer known.
	expiredBelow uint64
	lastUsed     time.Time
}

// recordTable holds the entries of all homes in the order of their arrival. It is
// bounded: by max for tasks that were admitted, by max again for tombstones of
// tasks that never run, and by maxBytes for kept answers.
type recordTable struct {
	homes      map[ids.Incarnation]*home
	oldest     *taskRecord
	newest     *taskRecord
	max        int
	admitted   int
	tombstones int
	maxBytes   int64
	bytes      int64
	age        time.Duration
}

func newRecordTable(cfg Config) *recordTable {
	return &recordTable{
		homes: make(map[ids.Incarnation]*home),
		max:   cfg.MaxRecords, maxBytes: cfg.MaxResultBytes, age: cfg.RecordAge,
	}
}

// home returns the home of the incarnation and creates it if needed.
func (r *recordTable) home(node ids.Incarnation, now time.Time) *home {
	h := r.homes[node]
	if h == nil {
		r.evictIdleHome()
		h = &home{node: node, records: make(map[uint64]*taskRecord)}
		r.homes[node] = h
	}
	h.lastUsed = now
	return h
}

// evictIdleHome removes the home that was idle for longest when there are too many.
func (r *recordTable) evictIdleHome() {
	if len(r.homes) < maxIdleHomes {
		return
	}
	var oldest *home
	for _, h := range r.homes {
		if h.link == nil && len(h.records) == 0 && (oldest == nil || h.lastUsed.Before(oldest.lastUsed)) {
			oldest = h
		}
	}
	if oldest != nil {
		delete(r.homes, oldest.node)
	}
}

func (r *recordTable) full() bool           { return r.admitted >= r.max || r.bytes >= r.maxBytes }
func (r *recordTable) tombstonesFull() bool { return r.tombstones >= r.max }

// add records e until the record age has passed, or longer when the deadline of
// its task requires it.
func (r *recordTable) add(rec *taskRecord, now time.Time) {
	rec.expires = now.Add(r.age)
	if rec.task != nil {
		if t := rec.task.deadline.Add(settleWindow); t.After(rec.expires) {
			rec.expires = t
		}
		rec.home.pendingTasks++
	}
	rec.home.records[rec.ref] = rec
	if rec.tombstone {
		r.tombstones++
	} else {
		r.admitted++
	}
	if r.newest == nil {
		r.oldest = rec
	} else {
		r.newest.next = rec
	}
	r.newest = rec
}

// finish records the end of a pending task.
func (r *recordTable) finish(rec *taskRecord, result *wire.TaskResult) {
	rec.task = nil
	rec.home.pendingTasks--
	rec.outcome, rec.kind, rec.result = result.Outcome, result.Kind, result
	r.bytes += int64(len(result.Body))
}

// refuse records that a pending task never runs. It keeps its place among the
// admitted entries.
func (r *recordTable) refuse(rec *taskRecord, kind errkind.Kind) {
	rec.task = nil
	rec.home.pendingTasks--
	rec.refused = true
	rec.kind = kind
}

// dropResult drops the answer of e; its outcome stays recorded.
func (r *recordTable) dropResult(rec *taskRecord) {
	if rec.result != nil {
		r.bytes -= int64(len(rec.result.Body))
		rec.result = nil
	}
}

// expire removes entries from the oldest end. An entry that is pending or not
// yet due keeps every newer one, so that forgotten refs are always older.
func (r *recordTable) expire(now time.Time) {
	for r.oldest != nil && r.oldest.task == nil && !now.Before(r.oldest.expires) {
		rec := r.oldest
		r.oldest = rec.next
		if r.oldest == nil {
			r.newest = nil
		}
		r.remove(rec)
	}
}

func (r *recordTable) remove(rec *taskRecord) {
	h := rec.home
	r.dropResult(rec)
	delete(h.records, rec.ref)
	h.expiredBelow = max(h.expiredBelow, rec.ref+1)
	if rec.tombstone {
		r.tombstones--
	} else {
		r.admitted--
	}
}

// hasRecord reports whether h's record still holds e.
func (h *home) hasRecord(rec *taskRecord) bool { return h.records[rec.ref] == rec }
