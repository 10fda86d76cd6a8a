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
	SilentAfter = 2 * time.Second
	// leaveStep separates the entries that may append a leave record for a silent
	// member, so that usually one does.
	leaveStep = time.Second
	// appendPause is the shortest time between two appends of one record. It covers
	// a read, which shows a record whose answer was lost.
	appendPause = time.Second
	// staleAfter is the age of the newest read after which no records are appended.
	// It covers a read that takes the longest time that the client allows.
	staleAfter = follow.ReadInterval + logstore.DefaultTimeout
	// rejoinPause and maxRejoinPause bound the pause before an entry that peers
	// removed joins again; it doubles on repetition, so that two sides of a partition
	// do not write membership records all the time.
	rejoinPause    = 5 * time.Second
	maxRejoinPause = 160 * time.Second
	// stableAfter is the time in the view after which the pause is forgotten.
	stableAfter = 10 * time.Minute
	// resetAfter is the time for which a reader without a base waits for a snapshot.
	resetAfter = 10 * time.Second
)

// Option changes a Follower at construction.
type Option func(*options)

type options struct {
	follow  follow.Options
	confirm bool
}

// WithRetention makes the follower write snapshots before records expire after d.
func WithRetention(d time.Duration) Option { return func(o *options) { o.follow.Retention = d } }

// Follower keeps the membership and places submissions. Its methods are safe for
// concurrent use.
type Follower struct {
	client  *logstore.Client
	log     *event.Logger
	records *follow.Follower[*State]

	appends *prometheus.CounterVec

	ask     AskFunc
	confirm bool

	// mu guards the fields below. No other lock is taken under it.
	mu       sync.Mutex
	self     Member          // zero when this process is no member
	node     ids.Incarnation // of the last Join; it stays after Leave
	upkeep   upkeep
	appended openAppends
	offered  *offeredView // only while there is no fold
	stated   map[ids.Incarnation]wire.MemberStatement
}

// upkeep holds the timers of the records that this process owes the log.
type upkeep struct {
	silent      map[ids.Incarnation]time.Time // since when a member was reported
	tried       map[ids.Incarnation]time.Time // the last leave record appended for it
	joinAt      time.Time                     // the earliest time of the next join record
	joinedSince time.Time                     // zero while not in the newest view
	removedMS   int64                         // the stamp of the last removal by a peer
	replaced    bool
	pause       time.Duration
	noBaseSince time.Time
	aloneSince  time.Time // since when no member appends the own join record
	sponsoredAt map[ids.Incarnation]time.Time
}

// NewFollower returns a follower that knows no members. log may be nil.
func NewFollower(client *logstore.Client, log *event.Logger, opts ...Option) *Follower {
	f := &Follower{client: client, log: log, appends: newAppends()}
	o := options{follow: follow.Options{Log: log, OnApplied: f.onFolded}}
	for _, opt := range opts {
		opt(&o)
	}
	f.confirm = o.confirm
	f.records = follow.New(client, Stream, machine{}, o.follow)
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
	return p.State, p.KnownMS, p.HasState
}

// Home returns the home of a submission. Its errors are of kind HomeUnknown (the
// log was not read far enough), SubmissionStale (the view is no longer kept) and
// HomeLost (with the incarnation, which has ended). A home that only left is
// returned without error, since it may still answer.
func (f *Follower) Home(sub ids.Submission, team string, submittedAt time.Time) (ids.Incarnation, error) {
	at := submittedAt.UnixMilli()
	p := f.records.Position()
	knownMS := p.KnownMS
	if !sub.Issued() && !Complete(knownMS, at) {
		p, knownMS = f.knowledge()
	}
	switch {
	case p.HasState:
		return p.State.home(sub, team, at, knownMS)
	case sub.Issued():
		return sub.Home, nil
	}
	return ids.Incarnation{}, errkind.New(errkind.HomeUnknown, "the membership was not read yet")
}

// Left reports whether the incarnation has left or was replaced.
func (f *Follower) Left(node ids.Incarnation) bool {
	s, _, ok := f.State()
	if !ok {
		return false
	}
	_, left := s.departed(node)
	return left
}

// HomeUntil returns the submission time until which a former member is the home
// of caller-chosen ids. A draining entry serves new submissions up to that time.
func (f *Follower) HomeUntil(node ids.Incarnation) (time.Time, bool) {
	s, _, ok := f.State()
	if !ok {
		return time.Time{}, false
	}
	d, left := s.departed(node)
	return time.UnixMilli(d.StampMS + LeadMS), left
}

// Addresses returns the members of the newest view.
func (f *Follower) Addresses() []wire.EntryAddress {
	s, _, ok := f.State()
	if !ok {
		return nil
	}
	members := s.Newest().Members
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
	members := s.Newest().Members
	if i, found := findName(members, node.Name); found && members[i].Node == node {
		return members[i].Address, true
	}
	d, found := s.departed(node)
	return d.Member.Address, found
}

// Join makes this process a member and keeps it one until Leave. It waits until
// the join record was read back; when ctx ends before, it returns the error and
// the follower continues to try.
func (f *Follower) Join(ctx context.Context, m Member) error {
	f.mu.Lock()
	f.self, f.node = m, m.Node
	f.upkeep.joinAt = time.Time{}
	if s, _, ok := f.State(); ok {
		d, _ := s.departed(m.Node) // its own earlier leave is no reason to wait
		f.upkeep.removedMS = d.StampMS
	}
	f.mu.Unlock()
	return f.await(ctx, m.Node, true)
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
	if err := f.append(ctx, record{Type: typeLeave, Member: m, By: m.Node.String()}); logstore.IsNotApplied(err) {
		return err
	}
	return f.await(ctx, m.Node, false)
}

// await waits until the node is or is not in the newest view.
func (f *Follower) await(ctx context.Context, node ids.Incarnation, member bool) error {
	for {
		if s, _, ok := f.State(); ok && s.has(node) == member {
			return nil
		}
		select {
		case <-time.After(follow.ReadInterval / 5):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *State) has(node ids.Incarnation) bool {
	members := s.Newest().Members
	i, found := findName(members, node.Name)
	return found && members[i].Node == node
}

func (f *Follower) append(ctx context.Context, r record) error {
	f.mu.Lock()
	r.Seq = f.appended.begin(r.By)
	f.mu.Unlock()
	pos, err := f.client.Append(ctx, Stream, r)
	f.mu.Lock()
	f.appended.end(r.Seq, pos, err, time.Now(), f.records.Position().Next)
	f.mu.Unlock()
	result := "ok"
	if err != nil {
		result = "failed"
		f.log.Log(event.MemberAppendFail, "type", r.Type, "member", r.Member.Node, "err", err)
	}
	f.appends.WithLabelValues(r.Type, result).Inc()
	return err
}

// onFolded closes the appends that a read has shown.
func (f *Follower) onFolded(r follow.AppliedBatch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.appended.folded(r)
}
