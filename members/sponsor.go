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
	// takeoverTimeout is the time without a reachable sponsor after which a process
	// ends all memberships. By then the members must have ended or have read the log:
	// members that are cut off from the log and from this process for longer, but
	// exchange statements with each other, would act without knowing of the takeover.
	takeoverTimeout = 10 * time.Minute
	// restartSponsorTimeout is the time without a reply of any member after which a
	// restarted process appends its join record itself. It covers the time to connect
	// to the members.
	restartSponsorTimeout = 5 * time.Second
	// sponsorTimeout limits the request to one member. It covers the member's append
	// to the log.
	sponsorTimeout = 4 * time.Second
)

// SponsorRequestFunc asks a member to append a join record for m.
type SponsorRequestFunc func(ctx context.Context, member ids.Incarnation, m Member) error

// SetSponsorRequest sets the function that sends sponsor requests to members. It
// must be called before Run.
func (f *Follower) SetSponsorRequest(request SponsorRequestFunc) { f.requestSponsor = request }

// ErrSponsorRefused is wrapped by the error of a SponsorRequestFunc when the member
// was reached but did not append the record.
var ErrSponsorRefused = errors.New("the sponsor request was refused")

var errNoSponsor = errors.New("no member can be reached as a sponsor")

// requestSponsors asks the members in order until one has appended the join record.
// When none has been reached for takeoverTimeout, it appends a takeover record.
func (f *Follower) requestSponsors(ctx context.Context, view View, m Member) {
	err, reached := errNoSponsor, false
	for _, member := range view.Members {
		if f.requestSponsor == nil {
			break
		}
		call, cancel := context.WithTimeout(ctx, sponsorTimeout)
		err = f.requestSponsor(call, member.Node, m)
		cancel()
		reached = reached || err == nil || errors.Is(err, ErrSponsorRefused)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	if ctx.Err() != nil || !f.recordSponsorRequest(reached, err, m, time.Now()) {
		return
	}
	if err := f.append(ctx, record{Type: typeTakeover, Member: m, Writer: m.Node.String()}); err == nil {
		f.log.Log(event.MemberTakeover, "member", m.Node)
	}
}

// recordSponsorRequest records whether a member was reached and reports whether a
// takeover is due.
func (f *Follower) recordSponsorRequest(reached bool, err error, m Member, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := &f.maintenance.unsponsoredSince
	switch {
	case reached:
		*since = time.Time{}
	case since.IsZero():
		*since = now
		f.log.Log(event.MemberNoSponsor, "member", m.Node, "err", err)
	case now.Sub(*since) >= takeoverTimeout && f.self.Node == m.Node:
		*since = time.Time{}
		return true
	}
	return false
}

// Sponsor appends a join record for m at m's request.
func (f *Follower) Sponsor(ctx context.Context, m Member) error {
	if !ids.ValidName(m.Node.Name) {
		return fmt.Errorf("the name %q of the joining process is invalid", m.Node.Name)
	}
	r, err := f.sponsorRecord(m, time.Now())
	if err != nil || r.Type == "" {
		return err
	}
	return f.append(ctx, r)
}

// sponsorRecord returns the join record to append. Its type is empty when none is
// needed now.
func (f *Follower) sponsorRecord(m Member, now time.Time) (record, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.records.Position()
	switch {
	case !p.HasState || now.Sub(p.ReadAt) > maxReadAge:
		return record{}, errors.New("the log cannot be read")
	case f.self.Node.IsZero() || !p.State.isMember(f.self.Node):
		return record{}, errors.New("this process is not a member")
	case p.State.isMember(m.Node):
		return record{}, nil
	}
	if _, suspected := f.maintenance.suspects[m.Node]; suspected {
		// This member would remove the process again for lack of contact.
		return record{}, errors.New("the process is suspect here")
	}
	if now.Sub(f.maintenance.sponsoredAt[m.Node]) < appendRetryInterval {
		return record{}, nil
	}
	if len(f.maintenance.sponsoredAt) >= maxTrackedIncarnations || f.maintenance.sponsoredAt == nil {
		f.maintenance.sponsoredAt = map[ids.Incarnation]time.Time{}
	}
	f.maintenance.sponsoredAt[m.Node] = now
	r := record{Type: typeJoin, Member: m, Writer: f.self.Node.String()}
	members := p.State.NewestView().Members
	if i, restart := findMember(members, m.Node.Name); restart {
		r.Replaces = members[i].Node.String()
	}
	return r, nil
}
