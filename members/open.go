package members

import (
	"encoding/json"
	"time"

	"oriolerelay/logstore"
	"oriolerelay/logstore/follow"
)

// maxApplyDelay is the time after the end of an append call within which the
// platform applies the append if it ever does. This is an assumption about the
// platform: no proxy or queue holds a call for longer.
const maxApplyDelay = 60 * time.Second

// pendingAppend is an append whose record may be in the stream, or may still be
// added to it, and has not been applied here.
type pendingAppend struct {
	writer      string
	ended       time.Time // zero while the call is in progress
	offset      uint64    // valid if offsetKnown
	offsetKnown bool      // the platform returned the offset
}

// pendingAppends holds the appends of this process, by sequence number, whose
// records may be missing from its own state. It is guarded by the follower's lock.
type pendingAppends struct {
	lastSeq uint64
	bySeq   map[uint64]*pendingAppend
}

// empty reports whether every append begun so far was applied or has no effect.
func (p *pendingAppends) empty() bool { return len(p.bySeq) == 0 }

func (p *pendingAppends) begin(writer string) (seq uint64) {
	if p.bySeq == nil {
		p.bySeq = map[uint64]*pendingAppend{}
	}
	p.lastSeq++
	p.bySeq[p.lastSeq] = &pendingAppend{writer: writer}
	return p.lastSeq
}

// end records the result of an append. next is the offset up to which the stream
// has been applied.
func (p *pendingAppends) end(seq uint64, pos logstore.Position, err error, now time.Time, next uint64) {
	a := p.bySeq[seq]
	if a == nil {
		return // already read back
	}
	a.ended = now
	if err == nil {
		a.offsetKnown, a.offset = true, pos.Offset
	}
	if logstore.IsNotApplied(err) || a.offsetKnown && a.offset < next {
		delete(p.bySeq, seq)
	}
}

// markApplied removes the appends that, according to f, were applied or have no
// effect.
func (p *pendingAppends) markApplied(f follow.AppliedBatch) {
	for _, r := range f.Records {
		var rec record
		if json.Unmarshal(r.Value, &rec) != nil {
			continue
		}
		if a := p.bySeq[rec.Seq]; a != nil && a.writer == rec.Writer {
			delete(p.bySeq, rec.Seq)
		}
	}
	for seq, a := range p.bySeq {
		expired := f.AtEnd && !a.ended.IsZero() && f.ReadStartedAt.Sub(a.ended) > maxApplyDelay
		if a.offsetKnown && a.offset < f.Next || expired {
			delete(p.bySeq, seq)
		}
	}
}
