package ticket

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"oriolerelay/blackboard"
	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/logstore"
	"oriolerelay/logstore/follow"
)

// Stream is the log stream of tickets.
const Stream = "tickets"

// Option changes a Follower at construction.
type Option func(*follow.Options)

// WithRetention makes the follower write snapshots before records expire after d.
func WithRetention(d time.Duration) Option { return func(o *follow.Options) { o.Retention = d } }

// Follower keeps the configuration in force. The configuration comes from the
// log or from peers; a newer one replaces an older one and never the reverse.
// Its methods are safe for concurrent use.
type Follower struct {
	client  *logstore.Client
	log     *event.Logger
	records *follow.Follower[Fold]
	board   *blackboard.Board[*State]
	changed atomic.Pointer[chan struct{}]
	answers *prometheus.CounterVec
}

// NewFollower returns a follower that has no configuration yet; its State has
// number 0. log may be nil.
func NewFollower(client *logstore.Client, log *event.Logger, opts ...Option) *Follower {
	f := &Follower{client: client, log: log, board: blackboard.New(newState()), answers: newAnswers()}
	changed := make(chan struct{})
	f.changed.Store(&changed)
	o := follow.Options{Log: log, OnRead: f.onRead}
	for _, opt := range opts {
		opt(&o)
	}
	f.records = follow.New(client, Stream, machine{}, o)
	return f
}

// Run follows the log until ctx ends. It must be called once.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { f.board.Run(ctx); return ctx.Err() })
	g.Go(func() error { return f.records.Run(ctx) })
	return g.Wait()
}

// Load returns the configuration in force. It must not be modified.
func (f *Follower) Load() *State { return *f.board.Load() }

// Changed returns a channel that is closed when a newer configuration than the
// one of a following Load is in force. Call Changed first, then Load, then wait.
func (f *Follower) Changed() <-chan struct{} { return *f.changed.Load() }

// Fold returns the fold of the log with the verdicts of the newest tickets, and
// false while the log was not read completely.
func (f *Follower) Fold() (Fold, bool) {
	p := f.records.Position()
	return p.State, p.HasState
}

func (f *Follower) onRead() {
	if p := f.records.Position(); p.HasState && p.State.State.Number > f.Load().Number {
		f.publish(p.State.State, "log")
	}
}

// publish puts s in force unless a newer configuration is.
func (f *Follower) publish(s *State, source string) {
	f.board.Do(func(current *State) *State {
		if s.Number <= current.Number {
			return current
		}
		f.log.Log(event.TicketInForce, "number", s.Number, "previous", current.Number, "source", source)
		return s
	})
	// A second change runs after the first was published, so that a woken reader
	// does not load the old state.
	f.board.Do(func(current *State) *State {
		next := make(chan struct{})
		close(*f.changed.Swap(&next))
		return current
	})
}

// Encoded returns the configuration in force as JSON for peers, with its number.
func (f *Follower) Encoded() (number uint64, state []byte, err error) {
	s := f.Load()
	b, err := json.Marshal(s)
	return s.Number, b, err
}

// Offer takes the configuration of a peer. It replaces the own one only when its
// ticket number is higher. It reports whether the configuration was usable.
func (f *Follower) Offer(state []byte) error {
	var s State
	if err := json.Unmarshal(state, &s); err != nil {
		f.log.Log(event.StateMalformed, "err", err)
		return errkind.New(errkind.InvalidRequest, "configuration of a peer: %w", err)
	}
	current := f.Load()
	if s.Number > current.Number {
		f.log.Log(event.StateFromPeer, "number", s.Number, "previous", current.Number)
		f.publish(normalise(&s), "peer")
		return nil
	}
	if s.Number == current.Number && s.Number > 0 {
		if own, err := json.Marshal(current); err == nil && !bytes.Equal(own, state) {
			f.log.Log(event.StateDiffers, "number", s.Number)
			return errors.New("configuration of a peer differs at the same ticket number")
		}
	}
	return nil
}
