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
	// SilentAfter is the time without contact after which a member may be reported
	// as silent.
	SuspectTimeout = 2 * time.Second
	// leaveStep separates the entries that may append a leave record for a silent
	// member, so that usually one does.
	leaveStagger = time.Second
	// appendPause is the shortest time between two appends of one record. It covers
	// a read, which shows a record whose answer was lost.
	appendRetryInterval = time.Second
	// staleAfter is the age of the newest read after which no records are appended.
	// It covers a read that takes the longest time that the client allows.
	maxReadAge = follow.ReadInterval + logstore.DefaultTimeout
	// rejoinPause and maxRejoinPause bound the pause before an entry that peers
	// removed joins again; it doubles on repetition, so that two sides of a partition
	// do not write membership records all the time.
	minRejoinBackoff = 5 * time.Second
	maxRejoinBackoff = 160 * time.Second
	// stableAfter is the time in the view after which the pause is forgotten.
	rejoinBackoffReset = 10 * time.Minute
	// resetAfter is the time for which a reader without a base waits for a snapshot.
	resetTimeout = 10 * time.Second
)

// Option changes a Follower at construction.
type Option func(*options)

type options struct {
	follow         follow.Options
	peerStatements bool
}

// WithRetention makes the follower write snapshots before records expire after d.
func WithRetention(d time.Duration) Option { return func(o *options) { o.follow.Retention = d } }

// Follower keeps the membership and places submissions. Its methods are safe for
// concurrent use.
type Follower struct {
	client  *logstore.Client
	log     *event.Logger
	records *follow.Follower[*State]

	appendCounter *prometheus.CounterVec

	requestSponsor    SponsorRequestFunc
	usePeerStatements bool

	// mu guards the fields below. No other lock is taken under it.
	mu          sync.Mutex
	self        Member          // zero when this process is no member
	node        ids.Incarnation // of the last Join; it stays after Leave
	maintenance maintenance
	pending     pendingAppends
	peerView    *peerView // only while there is no fold
	statements  map[ids.Incarnation]wire.MemberStatement
}

// upkeep holds the timers of the records that this process owes the log.
type maintenance struct {
	suspects          map[ids.Incarnation]time.Time // since when a member was reported
	leaveAttempts     map[ids.Incarnation]time.Time // the last leave record appended for it
	nextJoin          time.Time                     // the earliest time of the next join record
	joinedSince       time.Time                     // zero while not in the newest view
	lastRemovalMS     int64                         // the stamp of the last removal by a peer
	replacementLogged bool
	rejoinBackoff     time.Duration
	noBaseSince       time.Time
	unsponsoredSince  time.Time // since when no member appends the own join record
	sponsoredAt       map[ids.Incarnation]time.Time
}

// NewFollower returns a follower that knows no members. log may be nil.
func NewFollower(client *logstore.Client, log *event.Logger, opts ...Option) *Follower {
	f := &Follower{client: client, log: log, appendCounter: newAppendCounter()}
	o := options{follow: follow.Options{Log: log, OnFolded: f.onApplied}}
	for _, opt := range opts {
		opt(&o)
	}
	f.usePeerStatements = o.peerStatements
	f.records = follow.New(client, Stream, stateMachine{}, o.follow)
	return f
}

// Run follows the log and appends the records that are due, until ctx ends. It
// must be called once.
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

// State returns the newest fold and the platform time before which no unknown
// record was stamped. It reports false while the log was not read completely.
func (f *Follower) State() (s *State, knownMS int64, ok bool) {
	p := f.records.Position()
	return p.State, p.KnownMS, p.Folding
}

// Home returns the home of a submission. Its errors are of kind HomeUnknown (the
// log was not read far enough), SubmissionStale (the view is no longer kept) and
// HomeLost (with the incarnation, which has ended). A home that only left is
// returned without error, since it may still answer.
func (f *Follower) Home(sub ids.Submission, team string, submittedAt time.Time) (ids.Incarnation, error) {
	at := submittedAt.UnixMilli()
	p := f.records.Position()
	knownMS := p.KnownMS
	if !sub.Issued() && !ViewFinal(knownMS, at) {
		p, knownMS = f.knownPosition()
	}
	switch {
	case p.Folding:
		return p.State.home(sub, team, at, knownMS)
	case sub.Issued():
		return sub.Home, nil
	}
	return ids.Incarnation{}, errkind.New(errkind.HomeUnknown, "the membership was not read yet")
}

// Left reports whether the incarnation has left or was replaced.
func (f *Follower) HasLeft(node ids.Incarnation) bool {
	s, _, ok := f.State()
	if !ok {
		return false
	}
	_, left := s.findDeparted(node)
	return left
}

// HomeUntil returns the submission time until which a former member is the home
// of caller-chosen ids. A draining entry serves new submissions up to that time.
func (f *Follower) HomeUntil(node ids.Incarnation) (time.Time, bool) {
	s, _, ok := f.State()
	if !ok {
		return time.Time{}, false
	}
	d, left := s.findDeparted(node)
	return time.UnixMilli(d.StampMS + ActivationDelayMS), left
}

// Addresses returns the members of the newest view.
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

// Address returns the address of a member or former member.
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
// the join record was read back; when ctx ends before, it returns the error and
// the follower continues to try.
func (f *Follower) Join(ctx context.Context, m Member) error {
	f.mu.Lock()
	f.self, f.node = m, m.Node
	f.maintenance.nextJoin = time.Time{}
	if s, _, ok := f.State(); ok {
		d, _ := s.findDeparted(m.Node) // its own earlier leave is no reason to wait
		f.maintenance.lastRemovalMS = d.StampMS
	}
	f.mu.Unlock()
	return f.awaitMembership(ctx, m.Node, true)
}

// Leave ends the membership of this process and waits until the leave record was
// read back or ctx ends. Peers append the record later when this call cannot.
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

// await waits until the node is or is not in the newest view.
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
		f.log.Log(event.MemberAppendFail, "type", r.Type, "member", r.Member.Node, "err", err)
	}
	f.appendCounter.WithLabelValues(r.Type, result).Inc()
	return err
}

// onFolded closes the appends that a read has shown.
func (f *Follower) onApplied(r follow.Folded) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending.markApplied(r)
}
