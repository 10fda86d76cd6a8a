package entry

import (
	"context"
	"errors"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/ids"
	"oriolerelay/tracing"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

const (
	// maxHops bounds the forwards of one submission: one by the entry that
	// received it and one by a member whose view is newer.
	maxHops = 2
	// forwardAttempts is the first forward and one repetition on a new connection.
	forwardAttempts = 2
	// replySlack is how long after the deadline of a submission its home may
	// still answer. It covers the network and a home that gives up at the deadline.
	replySlack = 2 * time.Second
	// fetchTimeout bounds a call that the home answers from its record.
	fetchTimeout = 2 * time.Second
	// maxPartBytes bounds the body in one Forwarded, below the frame limit.
	maxPartBytes = 768 << 10
)

// forwardSubmission sends a to its home and returns the home's answer.
func (s *Server) forwardSubmission(ctx context.Context, home ids.Incarnation, a *arrival) reply {
	if a.hops >= maxHops {
		return errorReply(errkind.New(errkind.HomeUnknown, "entries disagree about the home of submission %q", a.id.Raw))
	}
	canonical, err := a.body.canonical()
	if err != nil {
		return errorReply(err)
	}
	ctx, span := s.startSpan(tracing.WithParent(ctx, a.traceParent), "forward", a)
	defer span.End()
	answer := s.askHome(ctx, home, s.replyTimeout(a.body), &wire.Forward{
		Team:        a.team,
		Body:        canonical,
		Request:     a.request,
		TraceParent: tracing.Parent(ctx),
		Hops:        a.hops + 1,
	})
	endSpan(span, answer)
	return answer
}

// replyTimeout returns how long the home of b may take to answer.
func (s *Server) replyTimeout(b *body) time.Duration {
	if b.DeadlineMS != nil {
		return milliseconds(*b.DeadlineMS) + replySlack
	}
	rules, err := s.kindRules(b)
	if err != nil {
		return fetchTimeout // the home refuses it, unless its configuration is newer
	}
	return milliseconds(rules.DeadlineMS) + replySlack
}

// askHome sends m to home. A message without a reply is repeated once on a new
// connection, which is safe because the home joins resubmissions.
func (s *Server) askHome(ctx context.Context, home ids.Incarnation, timeout time.Duration, m wire.Message) reply {
	for range forwardAttempts {
		conn, err := s.peers.get(ctx, home)
		if err != nil {
			return errorReply(err)
		}
		answer, err := s.askOnce(ctx, conn, timeout, m)
		if err == nil {
			return answer
		}
		if ctx.Err() != nil {
			break
		}
		s.metrics.forwardsLost.Inc()
		s.log.Log(event.EntryForwardFailed, "home", home, "err", err)
		conn.Close() // the next attempt must not use a connection that went silent
	}
	return errorReply(errkind.New(errkind.HomeUnreachable, "the home %s did not reply", home))
}

var errNotForwarded = errors.New("the reply is not a forwarded answer")

func (s *Server) askOnce(ctx context.Context, conn *transport.Conn, timeout time.Duration, m wire.Message) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	first, err := callForwarded(ctx, conn, m)
	if err != nil {
		return reply{}, err
	}
	answer := reply{Status: first.Status, Body: first.Body, RetryAfter: first.RetryAfter}
	for len(answer.Body) < first.Total {
		part, err := callForwarded(ctx, conn, nextPart(m, len(answer.Body)))
		if err != nil {
			return reply{}, err
		}
		if part.Total != first.Total || len(part.Body) == 0 {
			return reply{}, errors.New("the answer changed between its parts")
		}
		answer.Body = append(answer.Body, part.Body...)
	}
	return answer, nil
}

func callForwarded(ctx context.Context, conn *transport.Conn, m wire.Message) (*wire.Forwarded, error) {
	r, err := conn.Call(ctx, m)
	if err != nil {
		return nil, err
	}
	f, ok := r.(*wire.Forwarded)
	if !ok {
		return nil, errNotForwarded
	}
	return f, nil
}

// nextPart returns the message that asks for the rest of an answer.
func nextPart(m wire.Message, offset int) wire.Message {
	switch m := m.(type) {
	case *wire.Fetch:
		next := *m
		next.Action, next.Offset = wire.FetchAnswer, offset
		return &next
	case *wire.Forward:
		next := *m
		next.Offset = offset
		return &next
	}
	return m
}

// serveForward answers a submission that a peer forwarded. It does not end with
// the connection: the peer may ask again on a new one.
func (s *Server) serveForward(m *wire.Forward) reply {
	a, err := newArrival(m.Team, m.Body, m.Request)
	if err != nil {
		return errorReply(err)
	}
	if a.id.Raw == "" {
		return errorReply(invalid("a forwarded submission has no id"))
	}
	a.hops, a.traceParent = m.Hops, m.TraceParent
	return s.submit(context.Background(), a)
}

// sendForwarded replies with the part of answer that starts at offset.
func (s *Server) sendForwarded(c *transport.Conn, callID uint64, answer reply, offset int) {
	m := &wire.Forwarded{Status: answer.Status, RetryAfter: answer.RetryAfter}
	offset = min(max(offset, 0), len(answer.Body))
	m.Body = answer.Body[offset:min(offset+maxPartBytes, len(answer.Body))]
	if len(answer.Body) > maxPartBytes {
		m.Total = len(answer.Body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if err := c.Reply(ctx, callID, m); err != nil {
		s.log.Log(event.EntryReplyLost, "peer", c.PeerHello.Node, "err", err)
	}
}
