package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/members"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// Confirmer is the part of Members that places submissions while the log is
// unavailable. It is optional: a Members that does not implement it refuses
// caller-chosen ids during an outage of the log.
type Confirmer interface {
	// Statement returns the membership statement that this entry sends to its peers,
	// and false if there is none.
	Statement() (wire.MemberStatement, bool)
	// ReceiveStatement processes the statement of a peer.
	ReceiveStatement(node ids.Incarnation, st wire.MemberStatement)
	// Sponsor appends the join record of a process that requested it.
	Sponsor(ctx context.Context, m members.Member) error
	// Route returns the entry to ask about a submission whose home is unknown.
	Route(id ids.Submission, team string) (ids.Incarnation, bool)
	// Next returns the offset up to which the members are known.
	Next() (uint64, bool)
	// OfferView processes the newest view of a peer and the offset of that view.
	OfferView(next uint64, entries []wire.EntryAddress)
}

// sponsorTimeout bounds the append of a peer's join record.
const sponsorTimeout = 3 * time.Second

// statement returns the membership statement for a heartbeat, or nil.
func (s *Server) statement() *wire.MemberStatement {
	if s.confirm == nil {
		return nil
	}
	st, ok := s.confirm.Statement()
	if !ok {
		return nil
	}
	return &st
}

// receiveStatement processes the statement in a heartbeat. The sender's
// incarnation is taken from the connection.
func (s *Server) receiveStatement(c *transport.Conn, m *wire.Heartbeat) {
	if s.confirm != nil && m.Members != nil {
		s.confirm.ReceiveStatement(c.PeerHello.Node, *m.Members)
	}
}

// addView sets the offset of the newest view in h. The entries of that view are
// the first ones in the list of h.
func (s *Server) addView(h *wire.Hello) {
	if s.confirm == nil {
		return
	}
	// Read before the entries, so that the offset is not above that of the view.
	if next, ok := s.confirm.Next(); ok {
		h.ViewOffset = next
	}
}

// offerView processes the view in a peer's hello.
func (s *Server) offerView(h wire.Hello) {
	if s.confirm != nil && h.Role == wire.RoleEntry && h.ViewOffset > 0 && h.ViewSize <= len(h.Entries) {
		s.confirm.OfferView(h.ViewOffset, h.Entries[:h.ViewSize])
	}
}

// routeUnknownHome returns the entry to ask if cause is that this entry does not
// know the home of id. Only the entry that is asked decides whether it may act as
// the home. The result is false if there is no other entry to ask.
func (s *Server) routeUnknownHome(team string, id ids.Submission, cause error) (ids.Incarnation, bool) {
	e := errkind.From(cause)
	if s.confirm == nil || id.Issued() || e.Kind != errkind.HomeUnknown || e.Answer().Outcome != errkind.MayHaveRun {
		return ids.Incarnation{}, false
	}
	home, ok := s.confirm.Route(id, team)
	if !ok || home.Name == s.self.Name || !slices.Contains(s.peers.connectedTo(), home) {
		return ids.Incarnation{}, false
	}
	return home, true
}

// requestSponsor asks a member to append the join record of m.
func (s *Server) requestSponsor(ctx context.Context, member ids.Incarnation, m members.Member) error {
	conn, err := s.peers.connTo(ctx, member)
	if err != nil {
		return err
	}
	r, err := conn.Call(ctx, &wire.Sponsor{Address: m.Address, Region: m.Region, DataCentre: m.DataCentre})
	switch r := r.(type) {
	case *wire.Ack:
		return nil
	case *wire.Refused:
		return fmt.Errorf("%w by %s: %s", members.ErrSponsorRefused, member, r.Detail)
	}
	return err
}

// serveSponsor appends the join record of the peer of c.
func (s *Server) serveSponsor(c *transport.Conn, callID uint64, m *wire.Sponsor) {
	if s.confirm == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), sponsorTimeout)
		defer cancel()
		var answer wire.Message = &wire.Ack{}
		err := s.confirm.Sponsor(ctx, members.Member{
			Node: c.PeerHello.Node, Address: m.Address, Region: m.Region, DataCentre: m.DataCentre,
		})
		if err != nil {
			answer = &wire.Refused{Kind: errkind.Internal, Detail: err.Error()}
		}
		_ = c.Reply(ctx, callID, answer) // the peer repeats the request
	}()
}
