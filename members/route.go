package members

import (
	"oriolerelay/ids"
	"oriolerelay/wire"
)

// offeredView is the newest view of a peer's fold of the records before next.
type offeredView struct {
	next uint64
	view View
}

// OfferView takes the newest view of a peer, with the offset up to which the peer
// has folded the stream. It serves Route only, while this process has no fold.
func (f *Follower) OfferView(next uint64, entries []wire.EntryAddress) {
	var v View
	for _, e := range entries {
		i, found := findName(v.Members, e.Node.Name)
		if found || i != len(v.Members) {
			return // a view is in order of names
		}
		v.Members = append(v.Members, Member{Node: e.Node, Address: e.Address, Region: e.Region})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.offered == nil || next > f.offered.next {
		f.offered = &offeredView{next: next, view: v}
	}
}

// Next returns the offset up to which the stream is folded, and false without a
// fold.
func (f *Follower) Next() (uint64, bool) {
	p := f.records.Position()
	return p.Next, p.HasState
}

// Route returns the home of a caller-chosen id by the newest known view. That
// view may not be the one of the submission time, so the result says only which
// entry to ask; it never allows an entry to act.
func (f *Follower) Route(sub ids.Submission, team string) (ids.Incarnation, bool) {
	p := f.records.Position()
	var v View
	if p.HasState {
		v = p.State.Newest()
	} else {
		f.mu.Lock()
		if f.offered != nil {
			v = f.offered.view
		}
		f.mu.Unlock()
	}
	home, ok := v.Home(team, sub.Raw, sub.Region)
	return home.Node, ok
}
