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
	// leaseTTL is the time for which a worker's lease is renewed. A worker whose
	// agent died is free for another holder after it.
	leaseTTL = 6 * time.Second
	// leaseRenewInterval leaves room for two lost renewals within the lease.
	leaseRenewInterval = 2 * time.Second
	// leaseCallTimeout bounds one renewal.
	leaseCallTimeout = 1500 * time.Millisecond
)

// ErrLeaseHeld is wrapped by a Leaser's error when another holds the lease.
var ErrLeaseHeld = errors.New("lease is held by another")

// ErrLeaseLost is returned by Run when the agent drained because another
// process holds the lease of its worker.
var ErrLeaseLost = errors.New("lease of the worker was lost to another holder")

// LeaseClient renews leases at the platform.
type LeaseClient interface {
	// Renew takes or renews the named lease. Its error wraps ErrLeaseHeld when
	// the platform answers that another holds it; any other error says that the
	// platform did not answer.
	Renew(ctx context.Context, name, holder string, ttl time.Duration) error
	// Release gives the lease up.
	Release(ctx context.Context, name, holder string) error
}

// PlatformLeaseClient renews leases through the platform's lease service.
type PlatformLeaseClient struct{ Client *logstore.Client }

// Renew implements Leaser.
func (p PlatformLeaseClient) Renew(ctx context.Context, name, holder string, ttl time.Duration) error {
	_, err := p.Client.RenewLease(ctx, name, holder, ttl)
	var held *logstore.LeaseHeldError
	if errors.As(err, &held) {
		return fmt.Errorf("%w: %w", ErrLeaseHeld, err)
	}
	return err
}

// Release implements Leaser.
func (p PlatformLeaseClient) Release(ctx context.Context, name, holder string) error {
	return p.Client.ReleaseLease(ctx, name, holder)
}

// maintainLease renews the worker's lease until ctx ends and calls lost when another
// holder has taken it over. Before the first renewal it waits for the lease,
// since a predecessor that died may hold it for the rest of its time. While the
// platform does not answer the agent continues, because the platform cannot
// give the worker to another either.
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

// leaseState is what an agent knows of its worker's lease.
type leaseState int

const (
	leaseUnknown   leaseState = iota // the platform has not answered yet
	leaseWaiting                     // held by another since before the first renewal
	leaseHeld                        // held by this agent
	leaseUnrenewed                   // held before; the platform does not answer
	leaseLost                        // held before, now by another
)

// next applies the end of a renewal and reports whether the state changed.
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

// releaseLease frees the worker for the next agent after a drain.
func (a *Agent) releaseLease() {
	ctx, cancel := context.WithTimeout(context.Background(), leaseCallTimeout)
	defer cancel()
	_ = a.cfg.Leases.Release(ctx, a.leaseName(), a.cfg.Node.String()) // it lapses by itself
}

func (a *Agent) leaseName() string { return "worker-" + a.cfg.Worker }

// setLeaseValid says whether the worker's lease allows new tasks.
func (c *core) setLeaseValid(valid bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaseValid != valid {
		c.leaseValid = valid
		c.announceAll()
	}
}
