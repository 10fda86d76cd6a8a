package members

import (
	"time"

	"oriolerelay/ids"
	"oriolerelay/logstore/follow"
	"oriolerelay/wire"
)

// driftPPM is the largest assumed difference of rate between the clock of this
// process and that of the platform, in parts per million.
const driftPPM = 100

// WithConfirmation lets the follower extend its knowledge by the statements of
// all other members while the log cannot be read (design section 4.2).
func WithConfirmation() Option { return func(o *options) { o.confirm = true } }

// presentMS returns a lower bound of the platform's present time.
func presentMS(p *follow.Position[*State], now time.Time) int64 {
	elapsed := max(now.Sub(p.ReadAt), 0)
	elapsed -= elapsed * driftPPM / 1_000_000
	return p.KnownMS + elapsed.Milliseconds()
}

// Statement returns what this process states to the other members. It reports
// false while there is no fold.
//
// Each record that this process appends and that is stamped before AtMS has an
// offset below Next if Quiet is set. The lock makes that true: an append begins
// under the same lock, so one that begins later is stamped at AtMS or later. Next
// is taken after Quiet, since an append is closed after its record was folded.
func (f *Follower) Statement() (wire.MemberStatement, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	quiet := f.appended.quiet()
	p := f.records.Position()
	if !p.HasState {
		return wire.MemberStatement{}, false
	}
	return wire.MemberStatement{Next: p.Next, AtMS: presentMS(p, time.Now()), Quiet: quiet}, true
}

// Stated takes the statement of another process. The caller vouches for node.
func (f *Follower) Stated(node ids.Incarnation, st wire.MemberStatement) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stated == nil {
		f.stated = map[ids.Incarnation]wire.MemberStatement{}
	}
	if p := f.records.Position(); len(f.stated) >= maxStated && p.HasState {
		for n := range f.stated {
			if !p.State.has(n) {
				delete(f.stated, n)
			}
		}
	}
	f.stated[node] = st
}

// maxStated bounds the statements of processes that are no members.
const maxStated = 256

// knowledge returns the newest position and a platform time before which no
// unknown record that changes the fold was stamped.
func (f *Follower) knowledge() (p *follow.Position[*State], knownMS int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	quiet := f.appended.quiet()
	p = f.records.Position() // after quiet, as in Statement
	if !f.confirm || !quiet || !p.HasState || !p.State.has(f.node) {
		return p, p.KnownMS
	}
	return p, max(p.KnownMS, confirmedMS(p, f.node, f.stated, time.Now()))
}

// confirmedMS returns the time up to which all members of the newest view confirm
// that they appended nothing unknown at p, and 0 when one of them does not. Only a
// record by one of them could change the fold.
func confirmedMS(p *follow.Position[*State], self ids.Incarnation, stated map[ids.Incarnation]wire.MemberStatement, now time.Time) int64 {
	least := presentMS(p, now)
	for _, m := range p.State.Newest().Members {
		if m.Node == self {
			continue
		}
		st, ok := stated[m.Node]
		if !ok || !st.Quiet || st.Next > p.Next {
			return 0
		}
		least = min(least, st.AtMS)
	}
	return least
}
