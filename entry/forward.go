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
	// maxHops bounds how often one submission is forwarded: once by the entry that
	// received it and once by a member whose view is newer.
	maxHops = 2
	// forwardAttempts allows for one retry on a new connection.
	forwardAttempts = 2
	// maxLateReplies is the number of timeouts on a live connection after which a call is given
	// up. The home may take long to encode a large answer on a loaded host.
	maxLateReplies = 4
	// replySlack is the time after the deadline of a submission in which the reply
	// of its home is still awaited. It covers the network delay of a home that fails
	// the submission at its deadline.
	replySlack = 2 * time.Second
	// fetchTimeout bounds a call that the home answers from its submission table.
	fetchTimeout = 2 * time.Second
	// maxPartBytes limits the body of one wire.Forwarded to below the frame size
	// limit. A larger response is sent in parts.
	maxPartBytes = 768 << 10
)

// forwardSubmission sends sub to its home and returns the home's response.
func (s *Server) forwardSubmission(ctx context.Context, home ids.Incarnation, sub *incomingSubmission) httpResponse {
	canonical, err := sub.body.canonical()
	if err != nil {
		return errorResponse(err)
	}
	ctx, span := s.startSpan(tracing.WithParent(ctx, sub.traceParent), "forward", sub)
	defer span.End()
	response := s.callHome(ctx, home, s.replyTimeout(sub.body), &wire.Forward{
		Team:        sub.team,
		Body:        canonical,
		Request:     sub.request,
		TraceParent: tracing.Parent(ctx),
		Hops:        1,
	})
	endSpan(span, response)
	return response
}

// replyTimeout returns how long to wait for the home's reply to b.
func (s *Server) replyTimeout(b *submissionBody) time.Duration {
	if b.DeadlineMS != nil {
		return milliseconds(*b.DeadlineMS) + replySlack
	}
	kind, err := s.kindConfig(b)
	if err != nil {
		return fetchTimeout // the home refuses b, unless its configuration is newer
	}
	return milliseconds(kind.DeadlineMS) + replySlack
}

// callHome sends m to home and returns the complete response.
func (s *Server) callHome(ctx context.Context, home ids.Incarnation, timeout time.Duration, m wire.Message) httpResponse {
	var response httpResponse
	err := s.withHomeConn(ctx, home, func(conn *transport.Conn) (err error) {
		response, err = callAllParts(ctx, conn, timeout, m)
		return err
	})
	if err != nil {
		return errorResponse(err)
	}
	return response
}

// relay forwards the message m of a peer to home and returns one part of the
// response.
func (s *Server) relay(home ids.Incarnation, timeout time.Duration, m wire.Message) *wire.Forwarded {
	var part *wire.Forwarded
	err := s.withHomeConn(context.Background(), home, func(conn *transport.Conn) (err error) {
		part, err = callForwarded(context.Background(), conn, timeout, m)
		return err
	})
	if err != nil {
		return forwardedPart(errorResponse(err), 0)
	}
	return part
}

// withHomeConn runs call with a connection to home. A call whose connection fails is
// retried once on a new one, and a call that times out is retried on its connection as
// long as that is open, which the transport checks more often. Retries are safe because
// the home joins a resubmission to the running one. The error is of kind
// HomeUnreachable or HomeLost.
func (s *Server) withHomeConn(ctx context.Context, home ids.Incarnation, call func(*transport.Conn) error) error {
	for failures, late := 0, 0; failures < forwardAttempts && late < maxLateReplies; {
		conn, err := s.peers.connTo(ctx, home)
		if err != nil {
			return err
		}
		start := time.Now()
		if err = call(conn); err == nil {
			return nil
		}
		if ctx.Err() != nil {
			break
		}
		s.metrics.forwardsLost.Inc()
		open := conn.Err() == nil
		s.log.Log(event.EntryForwardFailed, "home", home, "err", err, "took_ms", time.Since(start).Milliseconds(), "connection_open", open)
		if open && errors.Is(err, context.DeadlineExceeded) {
			late++ // closing it would fail the calls of other callers
			continue
		}
		failures++
		conn.Close() // the retry must not use a connection that may be dead
	}
	return errkind.New(errkind.HomeUnreachable, "no reply from the home %s", home)
}

var (
	errUnexpectedReply = errors.New("unexpected type of reply to a forwarded call")
	errResponseChanged = errors.New("the response changed while its parts were fetched")
)

// callAllParts sends m, fetches the remaining parts of the response and
// concatenates them.
func callAllParts(ctx context.Context, conn *transport.Conn, timeout time.Duration, m wire.Message) (httpResponse, error) {
	first, err := callForwarded(ctx, conn, timeout, m)
	if err != nil {
		return httpResponse{}, err
	}
	response := httpResponse{Status: first.Status, Body: first.Body, RetryAfter: first.RetryAfter}
	for len(response.Body) < first.Total {
		part, err := callForwarded(ctx, conn, fetchTimeout, nextPart(m, len(response.Body)))
		if err != nil {
			return httpResponse{}, err
		}
		if part.Total != first.Total || len(part.Body) == 0 {
			return httpResponse{}, errResponseChanged
		}
		response.Body = append(response.Body, part.Body...)
	}
	return response, nil
}

func callForwarded(ctx context.Context, conn *transport.Conn, timeout time.Duration, m wire.Message) (*wire.Forwarded, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := conn.Call(ctx, m)
	if err != nil {
		return nil, err
	}
	f, ok := r.(*wire.Forwarded)
	if !ok {
		return nil, errUnexpectedReply
	}
	return f, nil
}

// nextPart returns the message that requests the part of a response that starts
// at offset.
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

// serveForward serves a submission that a peer forwarded. It is not cancelled when
// the connection closes, because the peer may retry on a new one.
func (s *Server) serveForward(m *wire.Forward) *wire.Forwarded {
	sub, err := newIncomingSubmission(m.Team, m.Body, m.Request)
	if err == nil && sub.id.Raw == "" {
		err = invalid("the id of a forwarded submission is missing")
	}
	if err != nil {
		return forwardedPart(errorResponse(err), 0)
	}
	sub.traceParent = m.TraceParent
	home, err := s.locateHome(sub.team, sub.id, sub.body.SubmittedAt)
	switch {
	case err != nil:
		return forwardedPart(errorResponse(err), 0)
	case home == s.self:
		return forwardedPart(s.submitLocal(context.Background(), sub), m.Offset)
	case m.Hops >= maxHops:
		return forwardedPart(errorResponse(errHomeDisagreement(sub.id)), 0)
	}
	next := *m
	next.Hops++
	return s.relay(home, s.replyTimeout(sub.body), &next)
}

func errHomeDisagreement(id ids.Submission) error {
	return errkind.New(errkind.HomeUnknown, "entries disagree about the home of submission %q", id.Raw)
}

// forwardedPart returns the part of response that starts at offset.
func forwardedPart(response httpResponse, offset int) *wire.Forwarded {
	offset = min(max(offset, 0), len(response.Body))
	m := &wire.Forwarded{
		Status: response.Status, RetryAfter: response.RetryAfter,
		Body: response.Body[offset:min(offset+maxPartBytes, len(response.Body))],
	}
	if len(response.Body) > maxPartBytes {
		m.Total = len(response.Body)
	}
	return m
}

// sendForwarded replies to a call of a peer.
func (s *Server) sendForwarded(c *transport.Conn, callID uint64, m *wire.Forwarded) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if err := c.Reply(ctx, callID, m); err != nil {
		s.log.Log(event.EntryReplyLost, "peer", c.PeerHello.Node, "err", err)
	}
}
