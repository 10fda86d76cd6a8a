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

// Option configures a Follower.
type Option func(*follow.Options)

// WithRetention makes the follower write snapshots before records expire after d.
func WithRetention(d time.Duration) Option { return func(o *follow.Options) { o.Retention = d } }

// Follower maintains the configuration in force. It receives configurations from the
// log and from peers and never replaces one with an older one. Its methods are safe
// for concurrent use.
type Follower struct {
	client        *logstore.Client
	log           *event.Logger
	records       *follow.Follower[LogState]
	config        *blackboard.Board[*Config]
	changed       atomic.Pointer[chan struct{}]
	answerCounter *prometheus.CounterVec
}

// NewFollower returns a follower without a configuration: its Config has number 0.
// log may be nil.
func NewFollower(client *logstore.Client, log *event.Logger, opts ...Option) *Follower {
	f := &Follower{client: client, log: log, config: blackboard.New(newConfig()), answerCounter: newAnswerCounter()}
	changed := make(chan struct{})
	f.changed.Store(&changed)
	o := follow.Options{Log: log, OnRead: f.onRead}
	for _, opt := range opts {
		opt(&o)
	}
	f.records = follow.New(client, Stream, stateMachine{}, o)
	return f
}

// Run reads the log until ctx ends. It must be called once.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { f.config.Run(ctx); return ctx.Err() })
	g.Go(func() error { return f.records.Run(ctx) })
	return g.Wait()
}

// Load returns the configuration in force. It must not be modified.
func (f *Follower) Load() *Config { return *f.config.Load() }

// Changed returns a channel that is closed when a configuration newer than that of
// a subsequent Load is in force. Call Changed first, then Load, then wait.
func (f *Follower) Changed() <-chan struct{} { return *f.changed.Load() }

// LogState returns the state of the log with the newest accepted tickets, and false
// while the log has not been read completely.
func (f *Follower) LogState() (LogState, bool) {
	p := f.records.Position()
	return p.State, p.HasState
}

func (f *Follower) onRead() {
	if p := f.records.Position(); p.HasState && p.State.Config.Number > f.Load().Number {
		f.publish(p.State.Config, "log")
	}
}

// publish puts c in force unless the current configuration is at least as new.
func (f *Follower) publish(c *Config, source string) {
	f.config.Update(func(current *Config) *Config {
		if c.Number <= current.Number {
			return current
		}
		f.log.Log(event.TicketInForce, "number", c.Number, "previous", current.Number, "source", source)
		return c
	})
	// The channel is closed in a second change, after the first was published, so that
	// a notified reader does not load the old configuration.
	f.config.Update(func(current *Config) *Config {
		next := make(chan struct{})
		close(*f.changed.Swap(&next))
		return current
	})
}

// ExportConfig returns the configuration in force as JSON for peers, with its number.
func (f *Follower) ExportConfig() (number uint64, config []byte, err error) {
	c := f.Load()
	b, err := json.Marshal(c)
	return c.Number, b, err
}

// ImportConfig puts the configuration of a peer in force if its ticket number is
// higher than that of the current one. It returns an error if the configuration is
// malformed, or differs from the current one at the same number.
func (f *Follower) ImportConfig(config []byte) error {
	var c Config
	if err := json.Unmarshal(config, &c); err != nil {
		f.log.Log(event.StateMalformed, "err", err)
		return errkind.New(errkind.InvalidRequest, "decode configuration of a peer: %w", err)
	}
	current := f.Load()
	if c.Number > current.Number {
		f.log.Log(event.StateFromPeer, "number", c.Number, "previous", current.Number)
		f.publish(normalise(&c), "peer")
		return nil
	}
	if c.Number == current.Number && c.Number > 0 {
		if own, err := json.Marshal(current); err == nil && !bytes.Equal(own, config) {
			f.log.Log(event.StateDiffers, "number", c.Number)
			return errors.New("configuration of a peer differs at the same ticket number")
		}
	}
	return nil
}
