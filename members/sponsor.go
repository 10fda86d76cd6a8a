package members

import (
	"context"
	"errors"
	"fmt"
	"time"

	"oriolerelay/event"
	"oriolerelay/ids"
)

const (
	// takeoverAfter is the time without a member that appends the join record after
	// which a process ends all memberships. Until then the members must have ended
	// or have read the log: members that are cut off from the log and from this
	// process for longer, but confirm each other, would not know of it.
	takeoverAfter = 10 * time.Minute
	// restartAskTime is the time without any answer of a member after which a
	// restarted process appends its join by itself. It covers the first connections.
	restartAskTime = 5 * time.Second
	// sponsorTimeout bounds the request to one member. It covers the member's call
	// of the log.
	sponsorTimeout = 4 * time.Second
)

// AskFunc asks a member to append a join record of m.
type AskFunc func(ctx context.Context, member ids.Incarnation, m Member) error

// SetAsk sets the function with which this process reaches members. It must be
// called before Run.
func (f *Follower) SetAsk(ask AskFunc) { f.ask = ask }

// ErrRefused is wrapped by the error of an AskFunc when the member was reached but
// did not append the record.
var ErrRefused = errors.New("the join was refused")

var errNoSponsor = errors.New("no member could be asked")

// askMembers asks the members in order until one has appended the join record.
// When none was reached for takeoverAfter, it appends a takeover.
func (f *Follower) askMembers(ctx context.Context, view View, m Member) {
	err, reached := errNoSponsor, false
	for _, member := range view.Members {
		if f.ask == nil {
			break
		}
		call, cancel := context.WithTimeout(ctx, sponsorTimeout)
		err = f.ask(call, member.Node, m)
		cancel()
		reached = reached || err == nil || errors.Is(err, ErrRefused)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	if ctx.Err() != nil || !f.noteAsked(reached, err, m, time.Now()) {
		return
	}
	if err := f.append(ctx, record{Type: typeTakeover, Member: m, By: m.Node.String()}); err == nil {
		f.log.Log(event.MemberTakeover, "member", m.Node)
	}
}

// noteAsked notes whether a member was reached and reports whether a takeover is
// due.
func (f *Follower) noteAsked(reached bool, err error, m Member, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := &f.upkeep.aloneSince
	switch {
	case reached:
		*since = time.Time{}
	case since.IsZero():
		*since = now
		f.log.Log(event.MemberNoSponsor, "member", m.Node, "err", err)
	case now.Sub(*since) >= takeoverAfter && f.self.Node == m.Node:
		*since = time.Time{}
		return true
	}
	return false
}

// Sponsor appends the join record of m, which asked this member for it.
func (f *Follower) Sponsor(ctx context.Context, m Member) error {
	if !ids.ValidName(m.Node.Name) {
		return fmt.Errorf("invalid name %q", m.Node.Name)
	}
	r, err := f.sponsored(m, time.Now())
	if err != nil || r.Type == "" {
		return err
	}
	return f.append(ctx, r)
}

// sponsored returns the record to append, without a type when there is none.
func (f *Follower) sponsored(m Member, now time.Time) (record, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.records.Position()
	switch {
	case !p.HasState || now.Sub(p.ReadAt) > staleAfter:
		return record{}, errors.New("the log cannot be read")
	case f.self.Node.IsZero() || !p.State.has(f.self.Node):
		return record{}, errors.New("this process is no member")
	case p.State.has(m.Node):
		return record{}, nil
	}
	if _, silent := f.upkeep.silent[m.Node]; silent {
		// A member that has no connection to the process would remove it again.
		return record{}, errors.New("the process is reported as silent here")
	}
	if now.Sub(f.upkeep.sponsoredAt[m.Node]) < appendPause {
		return record{}, nil
	}
	if len(f.upkeep.sponsoredAt) >= maxStated || f.upkeep.sponsoredAt == nil {
		f.upkeep.sponsoredAt = map[ids.Incarnation]time.Time{}
	}
	f.upkeep.sponsoredAt[m.Node] = now
	r := record{Type: typeJoin, Member: m, By: f.self.Node.String()}
	members := p.State.Newest().Members
	if i, restart := findName(members, m.Node.Name); restart {
		r.Replaces = members[i].Node.String()
	}
	return r, nil
}
