package agent

import (
	"time"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/wire"
)

// maxIdleHomes bounds the homes that are kept only for their expiredBelow mark.
// Entries restart some 200 times a day at the design scale, so the entry of an
// evicted home stopped weeks ago.
const maxIdleHomes = 4096

// taskRecord is the record of one task key. It is in exactly one of these states:
// pending (task is set), finished (outcome is set), or refused, so that the task
// never runs (refused is set, kind is the reason).
type taskRecord struct {
	home    *home
	ref     uint64
	task    *task
	refused bool
	// tombstone is set when the task was refused on arrival or by a Settle; it
	// prevents a late Start from running.
	tombstone bool
	outcome   errkind.Outcome
	kind      errkind.Kind
	// result is kept until the home entry has certainly received it.
	result  *wire.TaskResult
	sentAt  time.Time
	expires time.Time
	next    *taskRecord // the next newer record
}

// home is the state kept for one incarnation of an entry that is the home of tasks.
type home struct {
	node         ids.Incarnation
	link         *link // newest link, nil while there is none
	records      map[uint64]*taskRecord
	pendingTasks int // tasks that have not ended
	// undelivered holds the finished or refused tasks to report on the next link.
	undelivered []*taskRecord
	// expiredBelow is one above the highest ref whose record has expired. A ref
	// below it that has no record may have run.
	expiredBelow uint64
	lastUsed     time.Time
}

// recordTable holds the task records of all homes in order of arrival. It is
// bounded: by max for admitted tasks, by max again for tombstones, and by
// maxBytes for the bodies of kept results.
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

// home returns the home of an entry's incarnation and creates it if needed.
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

// evictIdleHome removes the home that has been idle longest when maxIdleHomes is reached.
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

// add stores rec until the record age has passed, or longer if its home may still
// settle the task then.
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

// refuse records that a pending task never runs. The record still counts as
// admitted.
func (r *recordTable) refuse(rec *taskRecord, kind errkind.Kind) {
	rec.task = nil
	rec.home.pendingTasks--
	rec.refused = true
	rec.kind = kind
}

// dropResult frees the result of rec; its outcome stays recorded.
func (r *recordTable) dropResult(rec *taskRecord) {
	if rec.result != nil {
		r.bytes -= int64(len(rec.result.Body))
		rec.result = nil
	}
}

// expire removes expired records, oldest first. It stops at the first record that is
// pending or not expired, so that removed records are always older than kept ones.
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

// hasRecord reports whether rec is still stored and has not expired.
func (h *home) hasRecord(rec *taskRecord) bool { return h.records[rec.ref] == rec }
