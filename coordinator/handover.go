package coordinator

import (
	"maps"
	"slices"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/job"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

const (
	// handedOverTime is the least time for which the target of a returned job is kept, so that copies of
	// the job go there as well. Callers wait for a shorter time.
	handedOverTime = 10 * time.Second
	// maxHandedOver bounds the jobs whose targets are kept; above it no job is returned.
	maxHandedOver = 10000
)

// handover is the state of the jobs that were returned to be placed at other entries.
type handover struct {
	targets   map[string]handedOver   // by job id
	recent    []policy.ReturnedDemand // not older than a status that counts
	expiredAt time.Time               // when expired targets were last removed
	labels    []string                // buffer for the labels of a job
	// typical is the size of the last ordered task, by service.
	typical map[string]wire.Resources
}

// handedOver is where a returned job is placed, and until when this is kept.
type handedOver struct {
	incarnation string
	until       time.Time
	copies      int // that were returned
}

// SetPeers sets the other placement entries and their loads.
func (c *Coordinator) SetPeers(p *policy.Peers) { c.peers.Store(p) }

// returnedError answers a job that is to be placed at another entry. No task of it was ordered.
func returnedError(to string) *errkind.Error {
	return errkind.New(errkind.QueueFull, "no endpoint has free capacity: %w", &job.Returned{To: to})
}

// answerCopy answers a copy of a job that was returned, so that it joins the job at the entry that
// places it. It reports whether it has done so.
func (c *Coordinator) answerCopy(s *job.Submission, w waiter, now time.Time) bool {
	target, ok := c.handover.targets[s.ID]
	if !ok || !now.Before(target.until) {
		return false
	}
	peers := c.peers.Load()
	switch {
	case peers != nil && s.ReturnedBy == peers.Self && target.copies == 1: // the forwarder cannot reach the target
		delete(c.handover.targets, s.ID)
		return false
	case s.ReturnedBy != "": // the target may run another copy of it
		w.answer <- outcome{err: errkind.New(errkind.HomeUnreachable, "another copy of the job may run at an entry that cannot be reached")}
	default:
		target.copies++
		c.handover.targets[s.ID] = target
		w.answer <- outcome{err: returnedError(target.incarnation)}
	}
	return true
}

// handOver returns j, of which no task was ordered, if it cannot be placed now and another placement
// entry has free capacity for it. It reports whether it has done so.
func (c *Coordinator) handOver(j *activeJob, v *serviceView, now time.Time) bool {
	peers := c.peers.Load()
	if peers == nil || !c.cfg.Policy.Uses(policy.Handover) || j.stored != nil || j.spec.ReturnedBy != "" || c.hasStoppingRun(j) {
		return false
	}
	if c.handover.forgetOld(now); len(c.handover.targets) >= maxHandedOver {
		return false
	}
	unplaced := c.unplacedCores(j, v)
	if unplaced == 0 {
		return false
	}
	h := policy.HandoverJob{
		Service: j.spec.Queue.Service, Demand: j.waitingMilliCores(), Slack: max(j.objective.Sub(j.arrived)-j.expectedRunTime, 0),
	}
	c.handover.labels = c.handover.labels[:0]
	for i := range j.spec.Steps {
		st := &j.spec.Steps[i]
		c.handover.labels = append(c.handover.labels, st.Label)
		h.Largest = max(h.Largest, uint64(st.Size.MilliCores))
	}
	h.Labels = c.handover.labels
	var known bool
	if h.Wait, known = c.releasesOf(v, h.Service, now).TimeUntilFree(v.coresAhead + unplaced); !known {
		h.Wait = h.Slack
	}
	i, ok := c.cfg.Policy.ChooseHandover(&h, peers.Entries, c.handover.recent, now)
	if !ok {
		return false
	}
	to := &peers.Entries[i]
	if c.handover.targets == nil {
		c.handover.targets = make(map[string]handedOver)
	}
	c.handover.targets[j.spec.ID] = handedOver{to.Incarnation, now.Add(max(handedOverTime, 10*j.objective.Sub(j.arrived))), len(j.waiters)}
	c.handover.recent = append(c.handover.recent, policy.ReturnedDemand{Incarnation: to.Incarnation, Service: h.Service, At: now, MilliCores: h.Demand})
	c.cfg.Metrics.handedOver.Inc()
	c.cfg.Log.Log(event.JobHandedOver, "job", j.spec.ID, "queue", j.spec.Queue.Name, "to", to.Incarnation,
		"waited_ms", now.Sub(j.arrived).Milliseconds(), "wait_ms", h.Wait.Milliseconds(), "slack_ms", h.Slack.Milliseconds(),
		"unplaced_cores", unplaced, "ahead_cores", v.coresAhead, "status_age_ms", now.Sub(to.ReceivedAt).Milliseconds())
	c.remove(j)
	j.answer(outcome{err: returnedError(to.Incarnation)})
	return true
}

// forgetOld removes what no longer counts.
func (h *handover) forgetOld(now time.Time) {
	h.recent = slices.DeleteFunc(h.recent, func(d policy.ReturnedDemand) bool { return now.Sub(d.At) > handedOverTime/10 })
	if now.Sub(h.expiredAt) >= time.Second {
		h.expiredAt = now
		maps.DeleteFunc(h.targets, func(_ string, t handedOver) bool { return !now.Before(t.until) })
	}
}

// noteSize keeps the size of an ordered task as the typical one of its service.
func (c *Coordinator) noteSize(t *task) {
	if !c.cfg.Policy.Uses(policy.Handover) {
		return
	}
	if c.handover.typical == nil {
		c.handover.typical = make(map[string]wire.Resources)
	}
	c.handover.typical[t.job.spec.Queue.Service] = t.step.Size
}

// addUsable adds the free capacity of an endpoint that tasks of its service can use to l.
func (c *Coordinator) addUsable(l *wire.ServiceLoad, e *policy.Endpoint) {
	if !c.cfg.Policy.Uses(policy.Handover) {
		return
	}
	typical, ok := c.handover.typical[l.Service]
	if !ok {
		typical = wire.Resources{MilliCores: 1000}
	}
	usable, largest := policy.UsableCapacity([]policy.Endpoint{*e}, typical)
	l.Usable += usable
	l.LargestFree = max(l.LargestFree, largest)
}
