package members

import (
	"oriolerelay/ids"
	"oriolerelay/wire"
)

// peerView is the newest view of a peer that has applied the records before next.
type peerView struct {
	next uint64
	view View
}

// OfferView stores the newest view of a peer, with the offset up to which the peer
// has applied the stream. Only Route uses it, and only while this process has not
// read the log completely.
func (f *Follower) OfferView(next uint64, entries []wire.EntryAddress) {
	var v View
	for _, e := range entries {
		i, found := findMember(v.Members, e.Node.Name)
		if found || i != len(v.Members) {
			return // the members of a view must be sorted by name
		}
		v.Members = append(v.Members, Member{Node: e.Node, Address: e.Address, Region: e.Region})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peerView == nil || next > f.peerView.next {
		f.peerView = &peerView{next: next, view: v}
	}
}

// Next returns the offset up to which the stream has been applied, and false
// while the log has not been read completely.
func (f *Follower) Next() (uint64, bool) {
	p := f.records.Position()
	return p.Next, p.HasState
}

// Route returns the home of a caller-chosen id by the newest known view. This may
// not be the view at the submission time, so the result only tells which entry to
// send a request to; it never allows an entry to act as the home.
func (f *Follower) Route(sub ids.Submission, team string) (ids.Incarnation, bool) {
	p := f.records.Position()
	var v View
	if p.HasState {
		v = p.State.NewestView()
	} else {
		f.mu.Lock()
		if f.peerView != nil {
			v = f.peerView.view
		}
		f.mu.Unlock()
	}
	home, ok := v.Home(team, sub.Raw, sub.Region)
	return home.Node, ok
}
