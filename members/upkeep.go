package members

import (
	"context"
	"slices"
	"time"

	"oriolerelay/event"
	"oriolerelay/ids"
)

// ReportSuspects replaces the set of suspects: the members without contact for at
// least SuspectTimeout. The follower appends leave records for them after a delay
// that depends on its rank (see leaveDelay).
func (f *Follower) ReportSuspects(nodes []ids.Incarnation) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	since := make(map[ids.Incarnation]time.Time, len(nodes))
	for _, n := range nodes {
		since[n] = now
		if t, ok := f.maintenance.suspects[n]; ok {
			since[n] = t
		}
	}
	f.maintenance.suspects = since
}

// maintain appends the records that are due.
func (f *Follower) maintain(ctx context.Context) {
	due := f.collectDueWork(time.Now())
	if due.needsSponsor {
		f.requestSponsors(ctx, due.view, due.member)
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

// dueWork is the work that is due now.
type dueWork struct {
	records []record
	// needsSponsor means that the members of view are to be asked to append the join
	// record of member.
	needsSponsor bool
	view         View
	member       Member
}

// collectDueWork returns the work that is due and records the attempts.
func (f *Follower) collectDueWork(now time.Time) dueWork {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.records.Position()
	if now.Sub(p.ReadAt) > maxReadAge {
		f.maintenance.unsponsoredSince = time.Time{} // advances only while the current view is known
		return dueWork{}                             // the log is unavailable or has not been read recently
	}
	if !p.HasState {
		return dueWork{records: f.dueReset(p.NoStartPoint, now)}
	}
	f.maintenance.noBaseSince = time.Time{}
	if f.self.Node.IsZero() {
		return dueWork{}
	}
	w := f.dueJoin(p.State, now)
	w.records = append(w.records, f.dueLeaves(p.State, now)...)
	return w
}

// dueReset returns a reset record when older records have expired and no snapshot
// has appeared. Entries that are still running read the reset at the same position
// and join again, so no two entries have different views.
func (f *Follower) dueReset(noBase bool, now time.Time) []record {
	u := &f.maintenance
	switch {
	case !noBase || f.self.Node.IsZero():
		u.noBaseSince = time.Time{}
		return nil
	case u.noBaseSince.IsZero():
		u.noBaseSince = now
		return nil
	case now.Sub(u.noBaseSince) < resetTimeout:
		return nil
	}
	u.noBaseSince = now
	return []record{{Type: typeReset, Writer: f.self.Node.String()}}
}

func (f *Follower) dueJoin(s *State, now time.Time) dueWork {
	u := &f.maintenance
	if s.isMember(f.self.Node) {
		if u.joinedSince.IsZero() {
			u.joinedSince = now
		}
		if now.Sub(u.joinedSince) > rejoinBackoffReset {
			u.rejoinBackoff = 0
		}
		u.unsponsoredSince = time.Time{}
		return dueWork{}
	}
	u.joinedSince = time.Time{}
	d, removed := s.findDeparted(f.self.Node)
	if removed && d.Replaced {
		if !u.replacementLogged {
			u.replacementLogged = true
			f.log.Log(event.MemberReplaced, "member", f.self.Node)
		}
		return dueWork{}
	}
	// The timestamp identifies a new removal even if the join before it was never
	// seen as the newest view, because one read returned both records.
	if removed && d.TimestampMS != u.lastRemovalMS {
		u.lastRemovalMS = d.TimestampMS
		u.rejoinBackoff = min(max(minRejoinBackoff, 2*u.rejoinBackoff), maxRejoinBackoff)
		u.nextJoin = now.Add(u.rejoinBackoff)
		f.log.Log(event.MemberRejoins, "member", f.self.Node, "after", u.rejoinBackoff)
	}
	if now.Before(u.nextJoin) {
		return dueWork{}
	}
	u.nextJoin = now.Add(appendRetryInterval)
	return f.joinWork(s, now)
}

// joinWork returns the work by which this process can join now. A restarted process
// asks another member first: if its previous incarnation is paused or cut off
// rather than ended, the statements of that sponsor no longer allow members that
// have not read the join to act. When no member has been reached for
// restartSponsorTimeout, the process appends the join record itself, since after a
// restart of all entries there is no sponsor.
func (f *Follower) joinWork(s *State, now time.Time) dueWork {
	view := s.NewestView()
	r := record{Type: typeJoin, Member: f.self, Writer: f.self.Node.String()}
	i, restart := findMember(view.Members, f.self.Node.Name)
	switch {
	case len(view.Members) == 0:
	case restart:
		others := View{TimestampMS: view.TimestampMS, Members: slices.Delete(slices.Clone(view.Members), i, i+1)}
		unsponsored := f.maintenance.unsponsoredSince
		if len(others.Members) > 0 && f.requestSponsor != nil && (unsponsored.IsZero() || now.Sub(unsponsored) < restartSponsorTimeout) {
			return dueWork{needsSponsor: true, view: others, member: f.self}
		}
		r.Replaces = view.Members[i].Node.String()
	default:
		return dueWork{needsSponsor: true, view: view, member: f.self}
	}
	return dueWork{records: []record{r}}
}

func (f *Follower) dueLeaves(s *State, now time.Time) []record {
	u := &f.maintenance
	var records []record
	for node, since := range u.suspects {
		if !s.isMember(node) || node == f.self.Node || !s.isMember(f.self.Node) {
			continue // leave records take effect only if written by a member
		}
		if now.Sub(since) < leaveDelay(s.NewestView().Members, u.suspects, node, f.self.Node) {
			continue
		}
		if now.Sub(u.leaveAttempts[node]) < appendRetryInterval {
			continue
		}
		if u.leaveAttempts == nil {
			u.leaveAttempts = map[ids.Incarnation]time.Time{}
		}
		u.leaveAttempts[node] = now
		records = append(records, record{Type: typeLeave, Member: Member{Node: node}, Writer: f.self.Node.String()})
	}
	for node := range u.leaveAttempts {
		if !s.isMember(node) {
			delete(u.leaveAttempts, node)
		}
	}
	return records
}

// leaveDelay returns the time for which self waits before it appends a leave record
// for the suspect node. Members that are not suspects take turns in name order,
// starting after node.
func leaveDelay(members []Member, suspects map[ids.Incarnation]time.Time, node, self ids.Incarnation) time.Duration {
	start := slices.IndexFunc(members, func(m Member) bool { return m.Node == node })
	rank := 0
	for i := 1; i < len(members); i++ {
		m := members[(start+i)%len(members)].Node
		if m == self {
			break
		}
		if _, ok := suspects[m]; !ok {
			rank++
		}
	}
	return time.Duration(rank) * leaveStagger
}
