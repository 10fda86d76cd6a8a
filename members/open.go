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
const applyWithin = 60 * time.Second

// openAppend is an append whose record may be in the stream, or may appear there,
// without having been folded.
type openAppend struct {
	by     string
	ended  time.Time // zero while the call runs
	offset uint64    // valid if placed
	placed bool      // the platform has confirmed the offset
}

// openAppends are the appends of this process that may be unknown to its own
// fold, by sequence number. The lock of the follower guards them.
type openAppends struct {
	last uint64
	open map[uint64]*openAppend
}

// quiet reports that each append that was ever begun is folded or has no effect.
func (o *openAppends) quiet() bool { return len(o.open) == 0 }

func (o *openAppends) begin(by string) (seq uint64) {
	if o.open == nil {
		o.open = map[uint64]*openAppend{}
	}
	o.last++
	o.open[o.last] = &openAppend{by: by}
	return o.last
}

// end notes the result of an append. next is the offset up to which the stream is
// folded.
func (o *openAppends) end(seq uint64, pos logstore.Position, err error, now time.Time, next uint64) {
	a := o.open[seq]
	if a == nil {
		return // already read back
	}
	a.ended = now
	if err == nil {
		a.placed, a.offset = true, pos.Offset
	}
	if logstore.IsNotApplied(err) || a.placed && a.offset < next {
		delete(o.open, seq)
	}
}

// folded closes the appends that f shows to be folded or without effect.
func (o *openAppends) folded(f follow.AppliedBatch) {
	for _, r := range f.Records {
		var rec record
		if json.Unmarshal(r.Value, &rec) != nil {
			continue
		}
		if a := o.open[rec.Seq]; a != nil && a.by == rec.By {
			delete(o.open, rec.Seq)
		}
	}
	for seq, a := range o.open {
		expired := f.AtEnd && !a.ended.IsZero() && f.ReadStartedAt.Sub(a.ended) > applyWithin
		if a.placed && a.offset < f.Next || expired {
			delete(o.open, seq)
		}
	}
}
