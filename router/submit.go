package router

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/job"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// maxWaitFraction is the fraction of a job's latency objective for which the job waits for a
// connected placement entry. A job may wait for free capacity for about as long, half of its
// slack.
const maxWaitFraction = 0.25

// maxForwardedBytes is the size of the largest encoded job that fits into a frame.
const maxForwardedBytes = wire.MaxFrameBytes - 1<<10

// Submit runs a caller's job, here or at another entry, and returns its outcome.
func (r *Router) Submit(ctx context.Context, s job.Submission) (job.State, *errkind.Error) {
	arrived := time.Now()
	waitTimer := time.NewTimer(time.Duration(maxWaitFraction * float64(s.Queue.Objective(s.LongestTask()))))
	defer waitTimer.Stop()
	var refusal *errkind.Error
	triedIncarnation := ""
	for {
		p, ok, changed := r.chooseEntry(&s, triedIncarnation)
		switch {
		case ok:
			s.RefusedBefore = refusal != nil && refusal.Kind == errkind.QueueFull && r.cfg.Shares != nil
			o, sent := r.submitTo(ctx, p, s, arrived)
			if !sent {
				continue
			}
			if to := returnedTo(o.err); to != "" {
				return r.submitReturned(ctx, p, to, s, arrived)
			}
			if triedIncarnation != "" || !r.deservesSecondTry(o.err) {
				return o.state, o.err
			}
			// Loads may have changed since they were sent; another entry may have free capacity.
			refusal, triedIncarnation = o.err, p.incarnation
			continue
		case triedIncarnation != "":
			return "", refusal
		case r.lacksLabel(&s):
			r.cfg.Log.Log(event.JobRefused, "job", s.ID, "queue", s.Queue.Name, "kind", errkind.NoEndpoint,
				"why", "no endpoint has the label that the job requires", "waited_ms", time.Since(arrived).Milliseconds())
			return "", errkind.New(errkind.NoEndpoint, "no endpoint has the label that the job requires")
		}
		select {
		case <-changed:
		case <-waitTimer.C:
			r.cfg.Log.Log(event.JobRefused, "job", s.ID, "queue", s.Queue.Name, "kind", errkind.NoEndpoint,
				"why", "no placement entry is connected", "waited_ms", time.Since(arrived).Milliseconds())
			return "", errkind.New(errkind.NoEndpoint, "no entry that can place the job is connected")
		case <-ctx.Done():
			return "", errkind.New(errkind.CancelledRunning, "the caller disconnected")
		}
	}
}

// deservesSecondTry reports whether another entry may run a job that one has answered with err.
func (r *Router) deservesSecondTry(err *errkind.Error) bool {
	if err == nil || !r.cfg.Policy.Uses(policy.SecondTry) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return err.Kind == errkind.Draining || err.Kind == errkind.QueueFull && !r.sharedAgents
}

// lacksLabel reports whether connected entries have capacity for the job's service but no
// endpoint with a label that the job requires.
func (r *Router) lacksLabel(s *job.Submission) bool {
	unlabelled := *s
	unlabelled.Steps = nil
	_, hasCapacity, _ := r.chooseEntry(&unlabelled, "")
	_, ok, _ := r.chooseEntry(s, "")
	return hasCapacity && !ok
}

// chooseEntry returns the entry that runs a job, which may be the local one; ok is false if there
// is none. triedIncarnation is the entry that has refused the job, if any. changed is closed when
// the result may differ.
func (r *Router) chooseEntry(s *job.Submission, triedIncarnation string) (p *placementEntry, ok bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.enabled {
		return r.local, triedIncarnation == "", r.changed
	}
	var entries []*placementEntry
	var candidates []policy.PlacementCandidate
	triedIndex := -1
	add := func(p *placementEntry, c policy.PlacementCandidate) {
		c.Draw = policy.JobDraw(s.ID, p.incarnation)
		if r.sharedAgents && c.Capacity > 0 {
			c.Capacity, c.Used, c.Waiting, c.Sent = 1, 0, 0, 0
		}
		if p.incarnation == triedIncarnation {
			triedIndex = len(entries)
		}
		entries, candidates = append(entries, p), append(candidates, c)
	}
	now := time.Now()
	for _, p := range r.placementEntries {
		if !p.loads.Closed && !p.retired && now.Sub(p.lastReceived) <= SuspectTimeout {
			add(p, p.candidate(s))
		}
	}
	if !r.closed {
		own := policy.PlacementCandidate{Draining: r.draining}
		setLoad(&own, s, r.cfg.Local.ServiceLoads(), r.cfg.Local.Labels())
		add(r.local, own)
	}
	i, ok := r.cfg.Policy.ChoosePlacementEntry(candidates, triedIndex, r.random)
	if !ok {
		return nil, false, r.changed
	}
	return entries[i], true, r.changed
}

// setLoad sets the load of c for a job. It leaves the capacity at 0 if no endpoint has a label
// that the job requires.
func setLoad(c *policy.PlacementCandidate, s *job.Submission, loads []wire.ServiceLoad, labels []wire.ServiceLabels) {
	var available []string
	for _, l := range labels {
		if l.Service == s.Queue.Service {
			available = l.Labels
		}
	}
	for i := range s.Steps {
		st := &s.Steps[i]
		if st.Label != "" && !slices.Contains(available, st.Label) {
			return
		}
		c.NearData = c.NearData || st.DataRack != "" && slices.Contains(available, st.DataRack)
	}
	for _, load := range loads {
		if load.Service == s.Queue.Service {
			c.Capacity, c.Used, c.Waiting = load.Capacity, load.Used, load.Waiting
		}
	}
}

// candidate returns p in the form of package policy. The demand of jobs that p has not yet
// received counts as sent.
func (p *placementEntry) candidate(s *job.Submission) policy.PlacementCandidate {
	c := policy.PlacementCandidate{OtherRegion: p.otherRegion, Draining: p.loads.Draining}
	setLoad(&c, s, p.loads.Services, p.labels)
	for n, f := range p.forwarded {
		if n > p.loads.Accepted && f.service == s.Queue.Service {
			c.Sent += f.milliCores
		}
	}
	return c
}

// submitTo runs a job at p, here or by forwarding it, and waits for its outcome. sent is false if
// the job could not be sent.
func (r *Router) submitTo(ctx context.Context, p *placementEntry, s job.Submission, arrived time.Time) (o outcome, sent bool) {
	s.Elapsed += time.Since(arrived)
	if p == r.local {
		state, err := r.cfg.Local.Submit(ctx, s)
		return outcome{state, err}, true
	}
	if s.CallerDisconnected != nil && s.CallerDisconnected() {
		r.cfg.Log.Log(event.CallerDisconnected, "job", s.ID, "queue", s.Queue.Name, "waited_ms", time.Since(arrived).Milliseconds())
		return outcome{err: errkind.New(errkind.CancelledRunning, "the caller disconnected")}, true
	}
	encoded, err := cbor.Marshal(s)
	if err != nil {
		return outcome{err: errkind.New(errkind.Internal, "encode the job: %w", err)}, true
	}
	if len(encoded) > maxForwardedBytes {
		return outcome{err: errkind.New(errkind.BodyTooLarge, "the job needs %d bytes between entries, of at most %d", len(encoded), maxForwardedBytes)}, true
	}
	f := &forwardedJob{done: make(chan outcome, 1), service: s.Queue.Service, milliCores: s.MilliCores()}
	n, ok := r.forward(p, f, encoded)
	if !ok {
		return outcome{}, false
	}
	r.cfg.Metrics.forwarded.Inc()
	r.cfg.Log.Log(event.JobForwarded, "job", s.ID, "queue", s.Queue.Name, "entry", p.incarnation, "number", n,
		"waited_ms", time.Since(arrived).Milliseconds())
	select {
	case o = <-f.done:
	case <-ctx.Done():
		r.cancelForwarded(p, n)
		o = outcome{err: errkind.New(errkind.CancelledRunning, "the caller disconnected")}
	}
	r.cfg.Log.Log(event.ForwardedJobAnswered, "job", s.ID, "entry", p.incarnation, "state", o.state, "error", o.err,
		"took_ms", time.Since(arrived).Milliseconds())
	return o, true
}

// forward sends an encoded job to p. ok is false if p was dropped.
func (r *Router) forward(p *placementEntry, f *forwardedJob, encoded []byte) (number uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.placementEntries[p.connection] != p {
		return 0, false
	}
	p.lastNumber++
	p.lastEchoed = time.Now()
	if !r.sendTo(p, &wire.Place{Number: p.lastNumber, Job: encoded, StatusClockMillis: p.clockMillis}) {
		return 0, false
	}
	p.forwarded[p.lastNumber] = f
	return p.lastNumber, true
}

func (r *Router) cancelForwarded(p *placementEntry, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.forwarded[number] == nil {
		return
	}
	delete(p.forwarded, number)
	if r.placementEntries[p.connection] == p {
		r.sendTo(p, &wire.Withdraw{Numbers: []uint64{number}})
	}
}
