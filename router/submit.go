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

// holdShare is the share of its latency objective for which a job waits until an entry
// that can place it is connected. It is the share for which a job may wait for room.
const holdShare = 0.25

// Submit runs a job of a caller and returns its outcome.
func (r *Router) Submit(ctx context.Context, s job.Submission) (job.State, *errkind.Error) {
	arrived := time.Now()
	hold := time.NewTimer(time.Duration(holdShare * float64(s.Queue.Objective(s.LongestTask()))))
	defer hold.Stop()
	var refusal *errkind.Error
	tried := ""
	for {
		p, ok, changed := r.choose(&s, tried)
		switch {
		case ok:
			o, sent := r.submitTo(ctx, p, s, arrived)
			if !sent {
				continue
			}
			if o.err == nil || o.err.Kind != errkind.QueueFull && o.err.Kind != errkind.Draining || tried != "" || !r.cfg.Policy.Uses(policy.SecondTry) {
				return o.state, o.err
			}
			// Room changes while the job is under way, and another entry may have some.
			refusal, tried = o.err, p.node
			continue
		case tried != "":
			return "", refusal
		case r.lacksLabel(&s):
			r.cfg.Log.Log(event.JobRefused, "job", s.ID, "queue", s.Queue.Name, "kind", errkind.NoEndpoint,
				"why", "no endpoint has the label that the job requires", "waited_ms", time.Since(arrived).Milliseconds())
			return "", errkind.New(errkind.NoEndpoint, "no endpoint has the label that the job requires")
		}
		select {
		case <-changed:
		case <-hold.C:
			r.cfg.Log.Log(event.JobRefused, "job", s.ID, "queue", s.Queue.Name, "kind", errkind.NoEndpoint,
				"why", "no entry that places jobs is connected", "waited_ms", time.Since(arrived).Milliseconds())
			return "", errkind.New(errkind.NoEndpoint, "no entry that can place the job is connected")
		case <-ctx.Done():
			return "", errkind.New(errkind.CancelledRunning, "the caller has gone")
		}
	}
}

// lacksLabel reports whether entries with room for the job's service are connected, and
// no endpoint of theirs has a label that the job requires.
func (r *Router) lacksLabel(s *job.Submission) bool {
	plain := *s
	plain.Steps = nil // without its labels
	_, hasRoom, _ := r.choose(&plain, "")
	_, ok, _ := r.choose(s, "")
	return hasRoom && !ok
}

// choose returns the entry that gets a job, if there is one. changed is closed when
// another attempt is worth while.
func (r *Router) choose(s *job.Submission, tried string) (p *placer, ok bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.enabled {
		return r.local, tried == "", r.changed
	}
	var peers []*placer
	var candidates []policy.Placer
	triedIndex := -1
	add := func(p *placer, c policy.Placer) {
		if p.node == tried {
			triedIndex = len(peers)
		}
		peers, candidates = append(peers, p), append(candidates, c)
	}
	now := time.Now()
	for _, p := range r.placers {
		if !p.rooms.Closed && !p.retired && now.Sub(p.heard) <= peerDoubt {
			add(p, p.candidate(s))
		}
	}
	if !r.closed {
		own := policy.Placer{Leaving: r.leaving}
		setRoom(&own, s, r.cfg.Local.Rooms(), r.cfg.Local.Labels())
		add(r.local, own)
	}
	i, ok := r.cfg.Policy.ChoosePlacer(candidates, triedIndex, r.random)
	if !ok {
		return nil, false, r.changed
	}
	return peers[i], true, r.changed
}

// setRoom sets the room of c for a job. It is none where no endpoint has a label that the job
// requires.
func setRoom(c *policy.Placer, s *job.Submission, rooms []wire.ServiceLoad, labels []wire.ServiceLabels) {
	var known []string
	for _, l := range labels {
		if l.Service == s.Queue.Service {
			known = l.Labels
		}
	}
	for i := range s.Steps {
		st := &s.Steps[i]
		if st.Label != "" && !slices.Contains(known, st.Label) {
			return
		}
		c.HasData = c.HasData || st.DataRack != "" && slices.Contains(known, st.DataRack)
	}
	for _, r := range rooms {
		if r.Service == s.Queue.Service {
			c.Capacity, c.Used, c.Waiting = r.Capacity, r.Used, r.Waiting
		}
	}
}

// candidate describes p to package policy. What it was sent and has not yet taken counts as sent.
func (p *placer) candidate(s *job.Submission) policy.Placer {
	c := policy.Placer{Far: p.far, Leaving: p.rooms.Draining}
	setRoom(&c, s, p.rooms.Services, p.labels)
	for n, call := range p.calls {
		if n > p.rooms.Accepted && call.service == s.Queue.Service {
			c.Sent += call.milliCores
		}
	}
	return c
}

// submitTo runs a job at p and waits for its outcome; sent is false when it could not be
// sent.
func (r *Router) submitTo(ctx context.Context, p *placer, s job.Submission, arrived time.Time) (o outcome, sent bool) {
	s.Elapsed += time.Since(arrived)
	if p == r.local {
		state, err := r.cfg.Local.Submit(ctx, s)
		return outcome{state, err}, true
	}
	if s.CallerGone != nil && s.CallerGone() {
		r.cfg.Log.Log(event.CallerDisconnected, "job", s.ID, "queue", s.Queue.Name, "waited_ms", time.Since(arrived).Milliseconds())
		return outcome{err: errkind.New(errkind.CancelledRunning, "the caller has gone")}, true
	}
	encoded, err := cbor.Marshal(s)
	if err != nil {
		return outcome{err: errkind.New(errkind.Internal, "encode the job: %w", err)}, true
	}
	c := &call{ended: make(chan outcome, 1), service: s.Queue.Service, milliCores: s.MilliCores()}
	n, ok := r.place(p, c, encoded)
	if !ok {
		return outcome{}, false
	}
	r.cfg.Metrics.passed.Inc()
	r.cfg.Log.Log(event.JobForwarded, "job", s.ID, "queue", s.Queue.Name, "entry", p.node, "number", n,
		"waited_ms", time.Since(arrived).Milliseconds())
	select {
	case o = <-c.ended:
	case <-ctx.Done():
		r.withdraw(p, n)
		o = outcome{err: errkind.New(errkind.CancelledRunning, "the caller has gone")}
	}
	r.cfg.Log.Log(event.ForwardedJobAnswered, "job", s.ID, "entry", p.node, "state", o.state, "error", o.err,
		"took_ms", time.Since(arrived).Milliseconds())
	return o, true
}

// place sends a job to p.
func (r *Router) place(p *placer, c *call, encoded []byte) (number uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.placers[p.connection] != p {
		return 0, false
	}
	p.number++
	if !r.sendTo(p, &wire.Place{Number: p.number, Job: encoded}) {
		return 0, false
	}
	p.calls[p.number] = c
	return p.number, true
}

func (r *Router) withdraw(p *placer, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.calls[number] == nil {
		return
	}
	delete(p.calls, number)
	if r.placers[p.connection] == p {
		r.sendTo(p, &wire.Withdraw{Numbers: []uint64{number}})
	}
}
