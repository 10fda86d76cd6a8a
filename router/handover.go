package router

import (
	"context"
	"errors"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/job"
	"oriolerelay/policy"
)

// returnedTo returns the placement entry at which a job is to be placed that was returned with err; empty
// if it was not returned.
func returnedTo(err *errkind.Error) string {
	var returned *job.Returned
	if err == nil || !errors.As(err, &returned) {
		return ""
	}
	return returned.To
}

// submitReturned runs a job that p has returned at the entry to. If that cannot be reached, p gets the job
// again and keeps it. If neither can be reached, another copy of the job may run.
func (r *Router) submitReturned(ctx context.Context, p *placementEntry, to string, s job.Submission, arrived time.Time) (job.State, *errkind.Error) {
	s.ReturnedBy = p.incarnation
	for _, incarnation := range []string{to, p.incarnation} {
		if next := r.entryOf(incarnation); next != nil {
			if o, sent := r.submitTo(ctx, next, s, arrived); sent {
				return o.state, o.err
			}
		}
	}
	return "", errkind.New(errkind.HomeUnreachable, "the entry at which the job is placed cannot be reached")
}

// entryOf returns the connected placement entry of an incarnation, which may be the local one; nil if there
// is none.
func (r *Router) entryOf(incarnation string) *placementEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	if incarnation == r.local.incarnation && !r.closed {
		return r.local
	}
	for _, p := range r.placementEntries {
		if p.incarnation == incarnation && !p.loads.Closed && !p.retired && time.Since(p.lastReceived) <= SuspectTimeout {
			return p
		}
	}
	return nil
}

// publishPeers passes the loads of the other placement entries to the local one, which may return jobs to
// be placed there. r.mu must be held.
func (r *Router) publishPeers() {
	if !r.cfg.Policy.Uses(policy.Handover) {
		return
	}
	peers := &policy.Peers{Self: r.local.incarnation}
	for _, p := range r.placementEntries {
		if r.enabled && !r.sharedAgents && !p.loads.Closed && !p.loads.Draining && !p.retired && !p.otherRegion {
			peers.Entries = append(peers.Entries, policy.PeerStatus{
				Incarnation: p.incarnation, ReceivedAt: p.loadsReceived, Services: p.loads.Services, Labels: p.labels,
			})
		}
	}
	r.cfg.Local.SetPeers(peers)
}
