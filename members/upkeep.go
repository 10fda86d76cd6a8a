package members

import (
	"context"
	"slices"
	"time"

	"oriolerelay/event"
	"oriolerelay/ids"
)

// ReportSilent tells the follower which members have been out of contact for
// SilentAfter. A member that is not reported again counts as heard of. The
// follower appends leave records for them in its turn.
func (f *Follower) ReportSilent(nodes []ids.Incarnation) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	since := make(map[ids.Incarnation]time.Time, len(nodes))
	for _, n := range nodes {
		since[n] = now
		if t, ok := f.upkeep.silent[n]; ok {
			since[n] = t
		}
	}
	f.upkeep.silent = since
}

// maintain appends the records that are due.
func (f *Follower) maintain(ctx context.Context) {
	due := f.due(time.Now())
	if due.ask {
		f.askMembers(ctx, due.view, due.member)
	}
	for _, r := range due.records {
		if err := f.append(ctx, r); err != nil {
			continue
		}
		switch r.Type {
		case typeJoin:
			f.log.Log(event.MemberJoined, "member", r.Member.Node)
		case typeLeave:
			f.log.Log(event.MemberLeft, "member", r.Member.Node)
		case typeReset:
			f.log.Log(event.MembersReset)
		}
	}
}

// dueWork is what this process owes the log at present.
type dueWork struct {
	records []record
	// ask means that the members of view are to be asked to append the join record
	// of member.
	ask    bool
	view   View
	member Member
}

// due returns the work to do now and notes the attempts.
func (f *Follower) due(now time.Time) dueWork {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.records.Position()
	if now.Sub(p.ReadAt) > staleAfter {
		f.upkeep.aloneSince = time.Time{} // counts only while the log shows the view
		return dueWork{}                  // the log is down, or what it holds is unknown
	}
	if !p.HasState {
		return dueWork{records: f.dueReset(p.NoStartPoint, now)}
	}
	f.upkeep.noBaseSince = time.Time{}
	if f.self.Node.IsZero() {
		return dueWork{}
	}
	w := f.dueJoin(p.State, now)
	w.records = append(w.records, f.dueLeaves(p.State, now)...)
	return w
}

// dueReset starts the membership anew when the records before the kept ones are
// gone and no snapshot has appeared. Entries that still run see the reset in the
// same order and join again, so no two views differ.
func (f *Follower) dueReset(noBase bool, now time.Time) []record {
	u := &f.upkeep
	switch {
	case !noBase || f.self.Node.IsZero():
		u.noBaseSince = time.Time{}
		return nil
	case u.noBaseSince.IsZero():
		u.noBaseSince = now
		return nil
	case now.Sub(u.noBaseSince) < resetAfter:
		return nil
	}
	u.noBaseSince = now
	return []record{{Type: typeReset, By: f.self.Node.String()}}
}

func (f *Follower) dueJoin(s *State, now time.Time) dueWork {
	u := &f.upkeep
	if s.has(f.self.Node) {
		if u.joinedSince.IsZero() {
			u.joinedSince = now
		}
		if now.Sub(u.joinedSince) > stableAfter {
			u.pause = 0
		}
		u.aloneSince = time.Time{}
		return dueWork{}
	}
	u.joinedSince = time.Time{}
	d, removed := s.departed(f.self.Node)
	if removed && d.Replaced {
		if !u.replaced {
			u.replaced = true
			f.log.Log(event.MemberReplaced, "member", f.self.Node)
		}
		return dueWork{}
	}
	// The stamp tells a new removal even when the join before it was never seen
	// in force, because both records came with one read.
	if removed && d.StampMS != u.removedMS {
		u.removedMS = d.StampMS
		u.pause = min(max(rejoinPause, 2*u.pause), maxRejoinPause)
		u.joinAt = now.Add(u.pause)
		f.log.Log(event.MemberRejoins, "member", f.self.Node, "after", u.pause)
	}
	if now.Before(u.joinAt) {
		return dueWork{}
	}
	u.joinAt = now.Add(appendPause)
	return f.joinWork(s, now)
}

// joinWork returns the way in which this process may join now. A restarted
// process asks another member first: while its older incarnation is paused or cut
// off rather than ended, that member withholds its confirmation from members that
// have not read the join. When no member is reached for restartAskTime, it joins by
// itself, since after a restart of all entries there is nobody to ask.
func (f *Follower) joinWork(s *State, now time.Time) dueWork {
	view := s.Newest()
	r := record{Type: typeJoin, Member: f.self, By: f.self.Node.String()}
	i, restart := findName(view.Members, f.self.Node.Name)
	switch {
	case len(view.Members) == 0:
	case restart:
		others := View{StampMS: view.StampMS, Members: slices.Delete(slices.Clone(view.Members), i, i+1)}
		alone := f.upkeep.aloneSince
		if len(others.Members) > 0 && f.ask != nil && (alone.IsZero() || now.Sub(alone) < restartAskTime) {
			return dueWork{ask: true, view: others, member: f.self}
		}
		r.Replaces = view.Members[i].Node.String()
	default:
		return dueWork{ask: true, view: view, member: f.self}
	}
	return dueWork{records: []record{r}}
}

func (f *Follower) dueLeaves(s *State, now time.Time) []record {
	u := &f.upkeep
	var records []record
	for node, since := range u.silent {
		if !s.has(node) || node == f.self.Node || !s.has(f.self.Node) {
			continue // only a member's record counts
		}
		if now.Sub(since) < leaveDelay(s.Newest().Members, u.silent, node, f.self.Node) {
			continue
		}
		if now.Sub(u.tried[node]) < appendPause {
			continue
		}
		if u.tried == nil {
			u.tried = map[ids.Incarnation]time.Time{}
		}
		u.tried[node] = now
		records = append(records, record{Type: typeLeave, Member: Member{Node: node}, By: f.self.Node.String()})
	}
	for node := range u.tried {
		if !s.has(node) {
			delete(u.tried, node)
		}
	}
	return records
}

// leaveDelay is the time for which self waits before it appends a leave record
// for a silent member: the member that follows it in name order, among those
// that are not silent, goes first.
func leaveDelay(members []Member, silent map[ids.Incarnation]time.Time, node, self ids.Incarnation) time.Duration {
	start := slices.IndexFunc(members, func(m Member) bool { return m.Node == node })
	rank := 0
	for i := 1; i < len(members); i++ {
		m := members[(start+i)%len(members)].Node
		if m == self {
			break
		}
		if _, ok := silent[m]; !ok {
			rank++
		}
	}
	return time.Duration(rank) * leaveStep
}
