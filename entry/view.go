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
	// suspectTimeout is the time without a connection after which a member is
	// reported as suspect.
	suspectTimeout = 2 * time.Second
	// redialAllowance is the time allowed for a redial after an idle timeout closed a
	// connection. The peer has then been out of contact for 2 s already, so it is
	// reported after this time only.
	redialAllowance = 500 * time.Millisecond
)

// monitorView sends changes of the view to agents and reports suspect members
// until ctx ends.
func (s *Server) monitorView(ctx context.Context) error {
	ticker := time.NewTicker(peerRefreshInterval)
	defer ticker.Stop()
	var last []wire.EntryAddress
	var suspects []ids.Incarnation
	for {
		view := s.members.Addresses()
		if !slices.Equal(view, last) {
			last = view
			s.sendView(ctx)
		}
		current := s.peers.suspects(view, time.Now())
		for _, n := range current {
			if !slices.Contains(suspects, n) {
				s.log.Log(event.EntryMemberSuspect, "member", n)
			}
		}
		suspects = current
		s.members.ReportSuspects(suspects)
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
		go s.sendWithTimeout(c, &hello)
	}
}

// suspects returns the members of view without a connection for suspectTimeout.
func (p *peers) suspects(view []wire.EntryAddress, now time.Time) []ids.Incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []ids.Incarnation
	for _, m := range view {
		if m.Node.Name == p.self.Name {
			continue
		}
		if p.excluded[m.Address] {
			// The member's address is now used by this process or by one that is not an
			// entry.
			list = append(list, m.Node)
			continue
		}
		l := p.links[m.Address]
		if l == nil {
			continue // not dialled yet
		}
		open := l.conn != nil && l.conn.Err() == nil && l.node == m.Node
		if !open && now.Sub(l.lastContact) >= suspectTimeout {
			list = append(list, m.Node)
		}
	}
	return list
}

// lastContactTime returns the time that counts as the last contact with the peer
// of a connection that has just been closed with err.
func lastContactTime(err error) time.Time {
	var idle *quic.IdleTimeoutError
	if errors.As(err, &idle) {
		return time.Now().Add(redialAllowance - suspectTimeout)
	}
	return time.Now()
}
