package members

import (
	"time"

	"oriolerelay/ids"
	"oriolerelay/logstore/follow"
	"oriolerelay/wire"
)

// maxClockDriftPPM is the largest assumed difference in rate between the clocks of
// this process and of the platform, in parts per million.
const maxClockDriftPPM = 100

// WithPeerStatements lets the follower use the statements of all other members to
// determine the home of new submissions while the log cannot be read (design
// section 4.2).
func WithPeerStatements() Option { return func(o *options) { o.peerStatements = true } }

// minPlatformTimeMS returns a lower bound of the platform's current time.
func minPlatformTimeMS(p *follow.Position[*State], now time.Time) int64 {
	elapsed := max(now.Sub(p.ReadAt), 0)
	elapsed -= elapsed * maxClockDriftPPM / 1_000_000
	return p.KnownMS + elapsed.Milliseconds()
}

// Statement returns the statement of this process to the other members. It
// returns false while the log has not been read completely.
//
// If Quiet is set, each record that this process appends with a timestamp before
// AtMS has an offset below Next. The lock ensures this: an append begins under the
// same lock, so the record of a later append has a timestamp of AtMS or later.
// Next is read after Quiet, since an append is pending until its record has been
// applied.
func (f *Follower) Statement() (wire.MemberStatement, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	quiet := f.pending.empty()
	p := f.records.Position()
	if !p.HasState {
		return wire.MemberStatement{}, false
	}
	return wire.MemberStatement{Next: p.Next, AtMS: minPlatformTimeMS(p, time.Now()), NoPendingAppend: quiet}, true
}

// ReceiveStatement stores the statement of another process. The caller must have
// verified that it was made by node.
func (f *Follower) ReceiveStatement(node ids.Incarnation, st wire.MemberStatement) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.statements == nil {
		f.statements = map[ids.Incarnation]wire.MemberStatement{}
	}
	if p := f.records.Position(); len(f.statements) >= maxTrackedIncarnations && p.HasState {
		for n := range f.statements {
			if !p.State.isMember(n) {
				delete(f.statements, n)
			}
		}
	}
	f.statements[node] = st
}

// maxTrackedIncarnations bounds the maps that hold statements and requests of
// processes that may not be members.
const maxTrackedIncarnations = 256

// knownPosition returns the newest position and a platform time such that each
// record that changes the state and has an earlier timestamp is known.
func (f *Follower) knownPosition() (p *follow.Position[*State], knownMS int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	quiet := f.pending.empty()
	p = f.records.Position() // read after quiet, as in Statement
	if !f.usePeerStatements || !quiet || !p.HasState || !p.State.isMember(f.node) {
		return p, p.KnownMS
	}
	return p, max(p.KnownMS, knownByStatementsMS(p, f.node, f.statements, time.Now()))
}

// knownByStatementsMS returns the time up to which all members of the newest view
// state that they appended no record that is unknown at p, and 0 when one of them
// does not. Only a record written by one of them could change the state.
func knownByStatementsMS(p *follow.Position[*State], self ids.Incarnation, statements map[ids.Incarnation]wire.MemberStatement, now time.Time) int64 {
	knownMS := minPlatformTimeMS(p, now)
	for _, m := range p.State.NewestView().Members {
		if m.Node == self {
			continue
		}
		st, ok := statements[m.Node]
		if !ok || !st.NoPendingAppend || st.Next > p.Next {
			return 0
		}
		knownMS = min(knownMS, st.AtMS)
	}
	return knownMS
}
