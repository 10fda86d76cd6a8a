package ledger

import (
	"slices"

	"oriolerelay/event"
	"oriolerelay/job"
	"oriolerelay/wire"
)

// endRecord is the value of a record of kindEnd: a run that has completed its task.
type endRecord struct {
	Agent string   `cbor:"1,keyasint"`
	Run   wire.Run `cbor:"2,keyasint"`
}

// maxConcurrentEndWrites bounds the concurrent writes of ends for other owners. While the
// store loses responses no end gets confirmed, and writing all of them from here as well
// would exhaust the write rate of the store.
const maxConcurrentEndWrites = 4

// RecordEnd starts to record, for the owner of the job, that a run on the given agent has
// completed its task. It returns false if too many writes are in progress. It writes nothing
// and returns true if this entry owns the job.
func (l *Ledger) RecordEnd(agent string, run wire.Run) bool {
	id, err := job.ParseTaskID(run.Task)
	if err != nil {
		return true // malformed task id: no owner could use the record
	}
	p := l.partitionFor(id.Job)
	if l.owns(p) {
		return true
	}
	value, err := encode(endRecord{Agent: agent, Run: run})
	if err != nil {
		panic(err) // encoding strings and numbers cannot fail
	}
	select {
	case l.endWriteSlots <- struct{}{}:
	default:
		return false
	}
	l.cfg.Log.Log(event.EndRecorded, "task", run.Task, "run", run.Number, "agent", agent, "partition", p.index)
	go func() {
		defer func() { <-l.endWriteSlots }()
		if _, err := l.append(l.ctx, p, Record{Key: recordKey(kindEnd, run.Task), Value: value}); err != nil {
			l.cfg.Log.Log(event.StoreUnavailable, "partition", p.index, "call", "append", "error", err)
		}
	}()
	return true
}

// applyEnd applies a record of kindEnd.
func (l *Ledger) applyEnd(p *partition, r Record) {
	if len(r.Value) == 0 {
		return
	}
	end, err := decode[endRecord](r.Value)
	if err != nil {
		l.cfg.Log.Log(event.RecordIgnored, "key", r.Key, "error", err)
		return
	}
	id, err := job.ParseTaskID(end.Run.Task)
	if err != nil {
		l.cfg.Log.Log(event.RecordIgnored, "key", r.Key, "error", err)
		return
	}
	e := p.jobs[id.Job]
	switch {
	case e == nil || e.progress.State != "":
		// The job has ended or its records were deleted: its owner deletes this record too.
		if p.owned && p.writable {
			p.obsoleteEnds = append(p.obsoleteEnds, r.Key)
			p.wakeRecorder()
		}
	case !slices.Contains(e.ends, *end):
		e.ends = append(e.ends, *end)
		if e.running {
			l.cfg.Runner.RunEnded(end.Agent, end.Run)
		}
	}
}

// endKeys returns the keys of the job's end records.
func (e *storedJob) endKeys() (keys []string) {
	for _, end := range e.ends {
		keys = append(keys, recordKey(kindEnd, end.Run.Task))
	}
	return keys
}
