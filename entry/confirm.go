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

// Confirmer is the part of Members that serves while the log is unavailable. A
// Members without it refuses caller-chosen ids then.
type Confirmer interface {
	// Statement returns what this entry states to its peers, and false when nothing.
	Statement() (wire.MemberStatement, bool)
	// Stated takes the statement of a peer.
	Stated(node ids.Incarnation, st wire.MemberStatement)
	// Sponsor appends the join record of a process that asked for it.
	Sponsor(ctx context.Context, m members.Member) error
	// Route returns which entry to ask for a submission whose home is not known.
	Route(id ids.Submission, team string) (ids.Incarnation, bool)
	// Next returns the offset up to which the members are known.
	Next() (uint64, bool)
	// OfferView takes the newest view of a peer and the offset of that view.
	OfferView(next uint64, entries []wire.EntryAddress)
}

// sponsorLimit bounds the append for a peer.
const sponsorLimit = 3 * time.Second

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

// stated passes on the statement of a heartbeat. The incarnation is that of the
// connection.
func (s *Server) stated(c *transport.Conn, m *wire.Heartbeat) {
	if s.confirm != nil && m.Members != nil {
		s.confirm.Stated(c.PeerHello.Node, *m.Members)
	}
}

// describeView adds the newest view to a hello, whose first entries it is.
func (s *Server) describeView(h *wire.Hello) {
	if s.confirm == nil {
		return
	}
	// Taken before the entries, so that the offset is not above that of the view.
	if next, ok := s.confirm.Next(); ok {
		h.ViewOffset = next
	}
}

// offerView passes on the view of a peer's hello.
func (s *Server) offerView(h wire.Hello) {
	if s.confirm != nil && h.Role == wire.RoleEntry && h.ViewOffset > 0 && h.ViewSize <= len(h.Entries) {
		s.confirm.OfferView(h.ViewOffset, h.Entries[:h.ViewSize])
	}
}

// route returns the entry to ask when cause says that the home of id is unknown
// here. Only that entry decides whether it may act. It reports false when there
// is no other entry to ask.
func (s *Server) route(team string, id ids.Submission, cause error) (ids.Incarnation, bool) {
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

// askSponsor asks a member to append the join record of m.
func (s *Server) askSponsor(ctx context.Context, member ids.Incarnation, m members.Member) error {
	conn, err := s.peers.get(ctx, member)
	if err != nil {
		return err
	}
	r, err := conn.Call(ctx, &wire.Sponsor{Address: m.Address, Region: m.Region, DataCentre: m.DataCentre})
	switch r := r.(type) {
	case *wire.Ack:
		return nil
	case *wire.Refused:
		return fmt.Errorf("%w by %s: %s", members.ErrRefused, member, r.Detail)
	}
	return err
}

// serveSponsor appends the join record of the peer of c.
func (s *Server) serveSponsor(c *transport.Conn, callID uint64, m *wire.Sponsor) {
	if s.confirm == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), sponsorLimit)
		defer cancel()
		var answer wire.Message = &wire.Ack{}
		err := s.confirm.Sponsor(ctx, members.Member{
			Node: c.PeerHello.Node, Address: m.Address, Region: m.Region, DataCentre: m.DataCentre,
		})
		if err != nil {
			answer = &wire.Refused{Kind: errkind.Internal, Detail: err.Error()}
		}
		_ = c.Reply(ctx, callID, answer) // the peer asks again
	}()
}
