package members

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/ids"
	"oriolerelay/logstore"
	"oriolerelay/logstore/follow"
	"oriolerelay/wire"
)

const (
	// SuspectTimeout is the time without contact after which a member may be
	// reported as suspect.
	SuspectTimeout = 2 * time.Second
	// leaveStagger is the delay between the attempts of successive members to append
	// a leave record for a suspect, so that usually only one record is written.
	leaveStagger = time.Second
	// appendRetryInterval is the minimum time between two appends of one record. It
	// covers a read, which returns the record if only the response was lost.
	appendRetryInterval = time.Second
	// maxReadAge is the age of the newest read above which no records are appended.
	// It covers a read that takes as long as the client allows.
	maxReadAge = follow.ReadInterval + logstore.DefaultTimeout
	// minRejoinBackoff and maxRejoinBackoff bound the delay before an entry joins
	// again after peers removed it. The delay doubles on each removal, so that the two
	// sides of a partition do not write membership records continuously.
	minRejoinBackoff = 5 * time.Second
	maxRejoinBackoff = 160 * time.Second
	// rejoinBackoffReset is the time as a member after which the backoff is reset.
	rejoinBackoffReset = 10 * time.Minute
	// resetTimeout is the time for which a reader waits for a snapshot before it
	// appends a reset record, when older records have expired.
	resetTimeout = 10 * time.Second
)

// Option configures a Follower.
type Option func(*options)

type options struct {
	follow         follow.Options
	peerStatements bool
}

// WithRetention makes the follower write snapshots before records expire after d.
func WithRetention(d time.Duration) Option { return func(o *options) { o.follow.Retention = d } }

// Follower follows the membership log, maintains this process's membership and
// determines the home of submissions. Its methods are safe for concurrent use.
type Follower struct {
	client  *logstore.Client
	log     *event.Logger
	records *follow.Follower[*State]

	appendCounter *prometheus.CounterVec

	requestSponsor    SponsorRequestFunc
	usePeerStatements bool

	// mu guards the fields below. No other lock is taken under it.
	mu          sync.Mutex
	self        Member          // zero unless this process is or wants to be a member
	node        ids.Incarnation // set by Join and kept after Leave
	maintenance maintenance
	pending     pendingAppends
	peerView    *peerView // used only while the log has not been read completely
	statements  map[ids.Incarnation]wire.MemberStatement
}

// maintenance holds the timers of the records that this process has to append.
type maintenance struct {
	suspects          map[ids.Incarnation]time.Time // time of the first report of each suspect
	leaveAttempts     map[ids.Incarnation]time.Time // last attempt to append a leave record
	nextJoin          time.Time                     // earliest time of the next join record
	joinedSince       time.Time                     // zero while this process is not in the newest view
	lastRemovalMS     int64                         // timestamp of the last removal by a peer
	replacementLogged bool
	rejoinBackoff     time.Duration
	noBaseSince       time.Time
	unsponsoredSince  time.Time // start of the time without a reachable sponsor
	sponsoredAt       map[ids.Incarnation]time.Time
}

// NewFollower returns a follower without members. log may be nil.
func NewFollower(client *logstore.Client, log *event.Logger, opts ...Option) *Follower {
	f := &Follower{client: client, log: log, appendCounter: newAppendCounter()}
	o := options{follow: follow.Options{Log: log, OnApplied: f.onApplied}}
	for _, opt := range opts {
		opt(&o)
	}
	f.usePeerStatements = o.peerStatements
	f.records = follow.New(client, Stream, stateMachine{}, o.follow)
	return f
}

// Run reads the log and appends the records that are due until ctx ends. It must
// be called once.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.records.Run(ctx) })
	g.Go(func() error {
		ticker := time.NewTicker(follow.ReadInterval)
		defer ticker.Stop()
		for {
			f.maintain(ctx)
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	})
	return g.Wait()
}

// State returns the newest state and a platform time such that all records with
// an earlier timestamp are known. It returns false while the log has not been read
// completely.
func (f *Follower) State() (s *State, knownMS int64, ok bool) {
	p := f.records.Position()
	return p.State, p.KnownMS, p.HasState
}

// Home returns the home of a submission. Its errors are of kind HomeUnknown (the
// log has not been read far enough, or no entry is a candidate), SubmissionStale
// (the view is no longer kept) and HomeLost (with the incarnation, which has
// ended). A home that has only left is returned without an error, since it may
// still answer.
func (f *Follower) Home(sub ids.Submission, team string, submittedAt time.Time) (ids.Incarnation, error) {
	atMS := submittedAt.UnixMilli()
	p := f.records.Position()
	knownMS := p.KnownMS
	if !sub.Issued() && !ViewFinal(knownMS, atMS) {
		p, knownMS = f.knownPosition()
	}
	switch {
	case p.HasState:
		return p.State.home(sub, team, atMS, knownMS)
	case sub.Issued():
		return sub.Home, nil
	}
	return ids.Incarnation{}, errkind.New(errkind.HomeUnknown, "the membership log has not been read yet")
}

// HasLeft reports whether the incarnation has left or was replaced.
func (f *Follower) HasLeft(node ids.Incarnation) bool {
	s, _, ok := f.State()
	if !ok {
		return false
	}
	_, left := s.findDeparted(node)
	return left
}

// HomeUntil returns the submission time up to which a former member can be the
// home of caller-chosen ids. A draining entry accepts new submissions up to it.
func (f *Follower) HomeUntil(node ids.Incarnation) (time.Time, bool) {
	s, _, ok := f.State()
	if !ok {
		return time.Time{}, false
	}
	d, left := s.findDeparted(node)
	return time.UnixMilli(d.TimestampMS + ActivationDelayMS), left
}

// Addresses returns the members of the newest view with their addresses.
func (f *Follower) Addresses() []wire.EntryAddress {
	s, _, ok := f.State()
	if !ok {
		return nil
	}
	members := s.NewestView().Members
	addresses := make([]wire.EntryAddress, len(members))
	for i, m := range members {
		addresses[i] = wire.EntryAddress{Node: m.Node, Address: m.Address, Region: m.Region}
	}
	return addresses
}

// Address returns the address of a current or former member.
func (f *Follower) Address(node ids.Incarnation) (string, bool) {
	s, _, ok := f.State()
	if !ok {
		return "", false
	}
	members := s.NewestView().Members
	if i, found := findMember(members, node.Name); found && members[i].Node == node {
		return members[i].Address, true
	}
	d, found := s.findDeparted(node)
	return d.Member.Address, found
}

// Join makes this process a member and keeps it one until Leave. It waits until
// the join record has been read back. If ctx ends first, Join returns its error and
// the follower keeps trying.
func (f *Follower) Join(ctx context.Context, m Member) error {
	f.mu.Lock()
	f.self, f.node = m, m.Node
	f.maintenance.nextJoin = time.Time{}
	if s, _, ok := f.State(); ok {
		d, _ := s.findDeparted(m.Node) // an earlier leave of its own causes no backoff
		f.maintenance.lastRemovalMS = d.TimestampMS
	}
	f.mu.Unlock()
	return f.awaitMembership(ctx, m.Node, true)
}

// Leave ends the membership of this process and waits until the leave record has
// been read back or ctx ends. If this call cannot append it, peers do so later.
func (f *Follower) Leave(ctx context.Context) error {
	f.mu.Lock()
	m := f.self
	f.self = Member{}
	f.mu.Unlock()
	if m.Node.IsZero() {
		return nil
	}
	if err := f.append(ctx, record{Type: typeLeave, Member: m, Writer: m.Node.String()}); logstore.IsNotApplied(err) {
		return err
	}
	return f.awaitMembership(ctx, m.Node, false)
}

// awaitMembership waits until node is in the newest view, or is not in it if member
// is false.
func (f *Follower) awaitMembership(ctx context.Context, node ids.Incarnation, member bool) error {
	for {
		if s, _, ok := f.State(); ok && s.isMember(node) == member {
			return nil
		}
		select {
		case <-time.After(follow.ReadInterval / 5):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *State) isMember(node ids.Incarnation) bool {
	members := s.NewestView().Members
	i, found := findMember(members, node.Name)
	return found && members[i].Node == node
}

func (f *Follower) append(ctx context.Context, r record) error {
	f.mu.Lock()
	r.Seq = f.pending.begin(r.Writer)
	f.mu.Unlock()
	pos, err := f.client.Append(ctx, Stream, r)
	f.mu.Lock()
	f.pending.end(r.Seq, pos, err, time.Now(), f.records.Position().Next)
	f.mu.Unlock()
	result := "ok"
	if err != nil {
		result = "failed"
		f.log.Log(event.MemberAppendFailed, "type", r.Type, "member", r.Member.Node, "err", err)
	}
	f.appendCounter.WithLabelValues(r.Type, result).Inc()
	return err
}

// onApplied updates the pending appends after a read was applied.
func (f *Follower) onApplied(r follow.AppliedBatch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending.markApplied(r)
}
