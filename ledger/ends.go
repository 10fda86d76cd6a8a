package ledger

import (
	"slices"

	"oriolerelay/event"
	"oriolerelay/job"
	"oriolerelay/wire"
)

// endRecord is the value of a record of kindEnd: a run that has done its task.
type endRecord struct {
	Agent string   `cbor:"1,keyasint"`
	Run   wire.Run `cbor:"2,keyasint"`
}

// maxConcurrentEndWrites bounds the ends that are being recorded for other owners at a time. While
// the store loses answers all ends stay without a note, and recording them here as well
// would use up the writes that the store takes in a second.
const maxConcurrentEndWrites = 4

// RecordEnd records, for the owner of its job, that a run on the given agent has done
// its task. It reports whether the record is under way; it need not be for a job of this
// entry.
func (l *Ledger) RecordEnd(agent string, run wire.Run) bool {
	id, err := job.ParseTaskID(run.Task)
	if err != nil {
		return true // nothing that an owner could use
	}
	p := l.partitionFor(id.Job)
	if l.owns(p) {
		return true
	}
	value, err := encode(endRecord{Agent: agent, Run: run})
	if err != nil {
		panic(err) // strings and numbers can always be encoded
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

// applyEnd takes the record of an end.
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
	e := p.entries[id.Job]
	switch {
	case e == nil || e.progress.State != "":
		// The job is over: its owner drops the record with the others, or at once.
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

// endKeys returns the keys of the recorded ends of a job.
func (e *entry) endKeys() (keys []string) {
	for _, end := range e.ends {
		keys = append(keys, recordKey(kindEnd, end.Run.Task))
	}
	return keys
}
