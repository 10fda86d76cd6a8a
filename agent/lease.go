package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"oriolerelay/event"
	"oriolerelay/logstore"
)

const (
	// leaseTTL is the validity of a worker's lease after a renewal. After it, another
	// process can take the worker of an agent that crashed.
	leaseTTL = 6 * time.Second
	// leaseRenewInterval allows two failed renewals before the lease expires.
	leaseRenewInterval = 2 * time.Second
	// leaseCallTimeout bounds one renewal or release.
	leaseCallTimeout = 1500 * time.Millisecond
)

// ErrLeaseHeld is wrapped by the errors of a LeaseClient when another process holds the lease.
var ErrLeaseHeld = errors.New("lease is held by another process")

// ErrLeaseLost is returned by Agent.Run when the agent drained because another
// process has taken the lease of its worker.
var ErrLeaseLost = errors.New("lease of the worker was taken by another process")

// LeaseClient renews and releases leases of the platform.
type LeaseClient interface {
	// Renew acquires or renews the named lease. Its error wraps ErrLeaseHeld when
	// the platform reports another holder; any other error means that the
	// platform did not respond.
	Renew(ctx context.Context, name, holder string, ttl time.Duration) error
	// Release releases the named lease before it expires.
	Release(ctx context.Context, name, holder string) error
}

// PlatformLeaseClient is the LeaseClient of the platform's lease service.
type PlatformLeaseClient struct{ Client *logstore.Client }

// Renew implements LeaseClient.
func (p PlatformLeaseClient) Renew(ctx context.Context, name, holder string, ttl time.Duration) error {
	_, err := p.Client.RenewLease(ctx, name, holder, ttl)
	var held *logstore.LeaseHeldError
	if errors.As(err, &held) {
		return fmt.Errorf("%w: %w", ErrLeaseHeld, err)
	}
	return err
}

// Release implements LeaseClient.
func (p PlatformLeaseClient) Release(ctx context.Context, name, holder string) error {
	return p.Client.ReleaseLease(ctx, name, holder)
}

// maintainLease renews the worker's lease until ctx ends, and calls onLost and returns when
// another process has taken it. Until the first successful renewal it waits for the lease,
// since a crashed predecessor may hold it until it expires. The agent continues while
// the platform does not respond, because the platform cannot then give the worker to
// another process either.
func (a *Agent) maintainLease(ctx context.Context, onLost func()) {
	var state leaseState
	tick := time.NewTicker(leaseRenewInterval)
	defer tick.Stop()
	for {
		err := a.renewLease(ctx)
		if ctx.Err() != nil {
			return
		}
		a.logLease(state.next(err), err)
		switch state {
		case leaseWaiting:
			a.core.setLeaseValid(false)
		case leaseHeld:
			a.core.setLeaseValid(true)
		case leaseLost:
			onLost()
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// leaseState is the state of the worker's lease as known to the agent.
type leaseState int

const (
	leaseUnknown   leaseState = iota // the platform has not responded yet
	leaseWaiting                     // held by another process, not yet acquired by this agent
	leaseHeld                        // held by this agent
	leaseUnrenewed                   // acquired earlier; the platform does not respond
	leaseLost                        // acquired earlier, now held by another process
)

// next applies the result of a renewal and reports whether the state changed.
func (s *leaseState) next(err error) bool {
	before := *s
	switch {
	case err == nil:
		*s = leaseHeld
	case errors.Is(err, ErrLeaseHeld) && (before == leaseUnknown || before == leaseWaiting):
		*s = leaseWaiting
	case errors.Is(err, ErrLeaseHeld):
		*s = leaseLost
	case before == leaseHeld:
		*s = leaseUnrenewed
	}
	return *s != before
}

func (a *Agent) logLease(changed bool, err error) {
	switch {
	case !changed:
	case err == nil:
		a.cfg.Log.Log(event.LeaseRenewed, "worker", a.cfg.Worker)
	case errors.Is(err, ErrLeaseHeld):
		a.cfg.Log.Log(event.LeaseHeldByOther, "worker", a.cfg.Worker, "error", err)
	default:
		a.cfg.Log.Log(event.LeaseNotRenewed, "worker", a.cfg.Worker, "error", err)
	}
}

func (a *Agent) renewLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	return a.cfg.Leases.Renew(ctx, a.leaseName(), a.cfg.Node.String(), leaseTTL)
}

// releaseLease releases the worker's lease after a drain, so that another agent
// need not wait for its expiry.
func (a *Agent) releaseLease() {
	ctx, cancel := context.WithTimeout(context.Background(), leaseCallTimeout)
	defer cancel()
	_ = a.cfg.Leases.Release(ctx, a.leaseName(), a.cfg.Node.String()) // the lease expires without a release
}

func (a *Agent) leaseName() string { return "worker-" + a.cfg.Worker }

// setLeaseValid sets whether the worker's lease allows new tasks, and announces a change.
func (c *core) setLeaseValid(valid bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaseValid != valid {
		c.leaseValid = valid
		c.announceAll()
	}
}
