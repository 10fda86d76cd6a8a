package executor

import (
	"context"
	"errors"
	"time"

	"oriolerelay/endpointapi"
	"oriolerelay/event"
	"oriolerelay/wire"
)

// Announce processes an announcement of the endpoint and reports whether it was accepted. An
// announcement that is older than an accepted one is ignored. One that names another
// incarnation is accepted once the endpoint has confirmed that this incarnation runs there:
// announcements may be delayed or come from other software.
func (x *Executor) Announce(a endpointapi.Announcement) (accepted bool) {
	var ctx context.Context
	var known time.Time
	verify := false
	x.loop.Do(func() {
		accepted, verify = x.handleAnnouncement(a, time.Now())
		ctx, known = x.ctx, x.incarnationSince
	})
	if !verify {
		return accepted
	}
	req := endpointapi.ObserveRequest{Instance: a.Profile.Instance, FencingToken: x.fence.token()}
	sent := time.Now()
	obs, err := x.queryIncarnation(ctx, req)
	x.loop.Do(func() {
		var fenced *endpointapi.FencedError
		if errors.As(err, &fenced) {
			x.fence.recordRefusal(req.FencingToken)
		}
		if x.incarnationSince == known { // otherwise another announcement was confirmed meanwhile
			accepted = x.handleIncarnationReply(a, obs, err, time.Now())
			if accepted {
				x.clock.calledAt = sent
			}
		}
	})
	return accepted
}

// handleAnnouncement processes a if it announces the known incarnation. verify is set if it
// announces another one, which the endpoint must confirm.
func (x *Executor) handleAnnouncement(a endpointapi.Announcement, now time.Time) (accepted, verify bool) {
	p := x.profile
	switch {
	case p == nil:
		return false, true
	case a.Profile.Instance == p.Instance && a.StartMillis == x.endpointStartMillis:
		// An endpoint that drains does not become ready again, so also a delayed announcement of a
		// drain is true.
		if a.Sequence < x.sequence && !a.Draining && !x.lower.replaceKnown(a.Sequence, now) {
			x.logStale(a)
			return false, false
		}
		x.applyAnnouncement(a)
		if x.capacityUnenforced {
			x.observeNow(now) // a reading of the clock shows the age of the announcement
		}
		return true, false
	case a.StartMillis < x.endpointStartMillis && !x.unreachable:
		x.logStale(a)
		// The clock of the host may have been set back before the endpoint started again: the
		// announcement is verified once the known incarnation turns out to have ended.
		x.observeNow(now)
		return false, false
	}
	return false, true
}

func (x *Executor) logStale(a endpointapi.Announcement) {
	x.cfg.Log.Log(event.AnnouncementStale, "instance", a.Profile.Instance, "born", a.StartMillis,
		"sequence", a.Sequence, "known_instance", x.profile.Instance, "known_born", x.endpointStartMillis, "known_sequence", x.sequence)
}

// applyAnnouncement applies an announcement of the known incarnation.
func (x *Executor) applyAnnouncement(a endpointapi.Announcement) {
	repeated := a.Sequence == x.sequence
	x.sequence, x.lower = a.Sequence, lowerSequences{}
	x.updateProfile(a, repeated)
	if a.Draining != x.endpointDraining {
		x.endpointDraining = a.Draining
		x.statusDirty = true
		if a.Draining {
			x.cfg.Log.Log(event.EndpointDraining, "instance", a.Profile.Instance, "runs", len(x.runs), "sequence", a.Sequence)
		}
	}
	a.Profile = *x.profile
	x.save(a)
}

// lowerSequences counts the consecutive announcements with rising sequence numbers below the known
// one. The known one is false if they go on, since the endpoint sends newer announcements at
// intervals, while delayed ones arrive together.
type lowerSequences struct {
	count int
	last  uint64
	since time.Time
}

const (
	minLowerSequences      = 3
	minLowerSequencePeriod = 1500 * time.Millisecond
)

// replaceKnown adds the sequence number of an announcement, and reports whether it replaces the
// known one.
func (l *lowerSequences) replaceKnown(sequence uint64, now time.Time) bool {
	if l.count == 0 || sequence <= l.last {
		l.count, l.since = 0, now
	}
	l.count++
	l.last = sequence
	return l.count >= minLowerSequences && now.Sub(l.since) >= minLowerSequencePeriod
}

// incarnationQueryAttempts is the number of calls after which a query about an incarnation is
// given up until the next announcement.
const incarnationQueryAttempts = 3

// queryIncarnation asks the endpoint whether it is the instance that req names.
func (x *Executor) queryIncarnation(ctx context.Context, req endpointapi.ObserveRequest) (obs endpointapi.Observation, err error) {
	for range incarnationQueryAttempts {
		callCtx, cancel := context.WithTimeout(ctx, x.cfg.Timing.CallTimeout)
		obs, err = x.cfg.Endpoint.Observe(callCtx, req)
		cancel()
		x.cfg.Metrics.observations.Inc()
		if err == nil || isEndpointDown(err) || ctx.Err() != nil {
			break
		}
	}
	return obs, err
}

// handleIncarnationReply processes the reply of the endpoint to a query about the incarnation
// that a names.
func (x *Executor) handleIncarnationReply(a endpointapi.Announcement, obs endpointapi.Observation, err error, now time.Time) (accepted bool) {
	if err == nil && obs.StartMillis > 0 && obs.StartMillis != a.StartMillis {
		err = &endpointapi.OtherInstanceError{Instance: a.Profile.Instance + ", started at another time"}
	}
	if err != nil && (x.profile != nil || isEndpointDown(err)) {
		x.cfg.Log.Log(event.AnnouncementRefused, "instance", a.Profile.Instance, "born", a.StartMillis, "why", err)
		return false
	}
	announcedAt := a.Clock
	a.Clock = obs.Clock // that of the announcement cannot be checked
	x.newIncarnation(a, now)
	x.announcedAt = announcedAt
	x.unverified = err != nil
	if err == nil {
		x.save(a)
	}
	return true
}

// Restore applies the announcement that an earlier process of this agent saved. It is used
// until the endpoint announces itself; an observation checks at once that this incarnation
// still runs.
func (x *Executor) Restore(a endpointapi.Announcement) {
	x.loop.Do(func() {
		if x.profile != nil {
			return
		}
		a.Sequence, a.Clock = 0, 0
		x.persisted = persistedStateOf(a)
		x.newIncarnation(a, time.Now())
		x.unverified = true
	})
}

// forgetRestored discards the restored profile of an incarnation that has ended.
func (x *Executor) forgetRestored(err error) {
	x.cfg.Log.Log(event.EndpointUnreachable, "error", err, "runs", len(x.runs))
	x.profile, x.endpointStartMillis, x.unverified, x.statusDirty = nil, 0, false, true
}

// cancelQueuedStarts prevents starts that are queued from being sent with a newer fencing token.
func (x *Executor) cancelQueuedStarts() {
	for _, r := range x.runs {
		r.starts.cancelQueued()
	}
}

// stopRunsOfEndedIncarnation stops all runs and reports each as lost once its stop is confirmed: the
// next incarnation, which has the same id, may have accepted starts that were meant for the one
// that has ended.
func (x *Executor) stopRunsOfEndedIncarnation(now time.Time) {
	for _, r := range x.runs {
		if r.starts.attempts == 1 && r.sentAt().IsZero() {
			x.finish(r, wire.RunLost, 0, "endpoint incarnation ended") // its only start was not sent
			continue
		}
		r.countsAsLost = true
		if r.state != runStopping {
			x.stop(r, 0, now)
		}
	}
}

// loseRuns reports all runs as lost.
func (x *Executor) loseRuns(why string) {
	for _, r := range x.runs {
		x.finish(r, wire.RunLost, 0, why)
	}
}

// loseClaimedRuns reports the runs as lost that entries have claimed if the endpoint is still
// unknown, or has not answered, when the lease of an earlier process has expired.
func (x *Executor) loseClaimedRuns(now time.Time) {
	if !x.clock.known() && now.Sub(x.startedAt) >= x.cfg.Timing.maxInheritedLease() {
		x.loseRuns("endpoint is unknown")
	}
}

// persistedState is the part of an announcement that is saved whenever it changes.
type persistedState struct {
	instance    string
	startMillis int64
	draining    bool
}

func persistedStateOf(a endpointapi.Announcement) persistedState {
	return persistedState{a.Profile.Instance, a.StartMillis, a.Draining}
}

func (x *Executor) save(a endpointapi.Announcement) {
	if x.persisted == persistedStateOf(a) {
		return
	}
	x.persisted = persistedStateOf(a)
	if x.cfg.Save != nil {
		x.cfg.Save(a)
	}
}

// newIncarnation discards the state of an earlier incarnation of the endpoint. Runs that were
// claimed before the endpoint was known are kept.
func (x *Executor) newIncarnation(a endpointapi.Announcement, now time.Time) {
	x.cfg.Log.Log(event.EndpointAnnounced, "instance", a.Profile.Instance, "born", a.StartMillis,
		"service", a.Profile.Service, "millicores", a.Profile.Capacity.MilliCores, "runs", len(x.runs))
	first := x.profile == nil || x.unverified
	sameID := !first && a.Profile.Instance == x.profile.Instance
	if !first {
		x.recordCrash(now)
	}
	x.unverified = false
	profile := a.Profile
	x.profile, x.endpointStartMillis, x.sequence, x.endpointDraining = &profile, a.StartMillis, a.Sequence, a.Draining
	x.incarnationSince, x.lower, x.otherProfile, x.statedCapacity = now, lowerSequences{}, nil, profile.Capacity
	x.clock, x.announcedAt = endpointClock{}, 0
	x.leaseEnd, x.lastEndSequence, x.ackedSequence, x.failedObservations, x.unreachable = 0, 0, 0, 0, false
	x.setClock(a.Clock, now, now, "first announcement")
	x.releaseAllEnds(now, "the endpoint has restarted")
	x.health = health{}
	if !first && !sameID {
		x.loseRuns("endpoint incarnation ended")
	}
	x.cancelQueuedStarts()
	x.fence.startIncarnation()
	if sameID {
		x.stopRunsOfEndedIncarnation(now)
	}
	if first {
		x.adoptDeadline = now.Add(x.cfg.Timing.AdoptWindow)
	}
	for _, e := range x.entries {
		e.profileSent = false
	}
	x.statusDirty = true
	x.applyPendingClaims(now)
	x.wakeObserver()
}

// Deregister handles the deregistration of the given endpoint instance. Its runs count as lost
// once a call shows that the endpoint has ended: the message may have been delayed until the
// endpoint has started again under the same id, or come from other software.
func (x *Executor) Deregister(instance string) {
	x.loop.Do(func() {
		if x.profile == nil || x.profile.Instance != instance {
			return
		}
		x.cfg.Log.Log(event.EndpointWithdrawn, "instance", instance, "runs", len(x.runs))
		x.endpointDraining, x.statusDirty = true, true
		x.observeNow(time.Now())
	})
}
