package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/quic-go/quic-go"

	"oriolerelay/event"
	"oriolerelay/ids"
	"oriolerelay/wire"
)

const (
	// silentAfter is the time without a connection after which a member is
	// reported as silent.
	silentAfter = 2 * time.Second
	// redialAllowance is the time for a redial after a connection went silent. The
	// peer was out of contact for 2 s by then, so it is reported soon.
	redialAllowance = 500 * time.Millisecond
)

// watchView tells agents about changes of the view and reports silent members
// until ctx ends.
func (s *Server) watchView(ctx context.Context) error {
	ticker := time.NewTicker(peerRefresh)
	defer ticker.Stop()
	var last []wire.EntryAddress
	var silent []ids.Incarnation
	for {
		view := s.members.Addresses()
		if !slices.Equal(view, last) {
			last = view
			s.sendView(ctx)
		}
		now := s.peers.silent(view, time.Now())
		for _, n := range now {
			if !slices.Contains(silent, n) {
				s.log.Log(event.EntryMemberSuspect, "member", n)
			}
		}
		silent = now
		s.members.ReportSilent(silent)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// sendView sends the entries of the view to all agents.
func (s *Server) sendView(ctx context.Context) {
	hello := s.hello()
	for _, c := range s.conns.agents() {
		if ctx.Err() != nil {
			return
		}
		go s.sendSoon(c, &hello)
	}
}

// silent returns the members of view that had no connection for silentAfter.
func (p *peers) silent(view []wire.EntryAddress, now time.Time) []ids.Incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []ids.Incarnation
	for _, m := range view {
		if m.Node.Name == p.self.Name {
			continue
		}
		if p.skipped[m.Address] {
			// This process, or one that is no entry, has taken the member's address.
			list = append(list, m.Node)
			continue
		}
		l := p.links[m.Address]
		if l == nil {
			continue // not dialled yet
		}
		open := l.conn != nil && l.conn.Err() == nil && l.node == m.Node
		if !open && now.Sub(l.since) >= silentAfter {
			list = append(list, m.Node)
		}
	}
	return list
}

// lastContact returns when the peer was last heard of on a connection that
// ended now with err.
func lastContact(err error) time.Time {
	var idle *quic.IdleTimeoutError
	if errors.As(err, &idle) {
		return time.Now().Add(redialAllowance - silentAfter)
	}
	return time.Now()
}
