package members

import (
	"encoding/json"
	"time"

	"oriolerelay/logstore"
	"oriolerelay/logstore/follow"
)

// applyWithin is the time after the end of an append within which the platform
// applies it or never does. It is an assumption about the platform: a call that
// is older is no longer held by any proxy or queue.
const maxApplyDelay = 60 * time.Second

// openAppend is an append whose record may be in the stream, or may appear there,
// without having been folded.
type pendingAppend struct {
	writer      string
	ended       time.Time // zero while the call runs
	offset      uint64    // valid if placed
	offsetKnown bool      // the platform has confirmed the offset
}

// openAppends are the appends of this process that may be unknown to its own
// fold, by sequence number. The lock of the follower guards them.
type pendingAppends struct {
	lastSeq uint64
	bySeq   map[uint64]*pendingAppend
}

// quiet reports that each append that was ever begun is folded or has no effect.
func (p *pendingAppends) empty() bool { return len(p.bySeq) == 0 }

func (p *pendingAppends) begin(writer string) (seq uint64) {
	if p.bySeq == nil {
		p.bySeq = map[uint64]*pendingAppend{}
	}
	p.lastSeq++
	p.bySeq[p.lastSeq] = &pendingAppend{writer: writer}
	return p.lastSeq
}

// end notes the result of an append. next is the offset up to which the stream is
// folded.
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

// folded closes the appends that f shows to be folded or without effect.
func (p *pendingAppends) markApplied(f follow.Folded) {
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
		expired := f.AtEnd && !a.ended.IsZero() && f.BeganAt.Sub(a.ended) > maxApplyDelay
		if a.offsetKnown && a.offset < f.Next || expired {
			delete(p.bySeq, seq)
		}
	}
}
