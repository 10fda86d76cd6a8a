package dispatch

import (
	"time"

	"oriolerelay/balance"
	"oriolerelay/errkind"
	"oriolerelay/limit"
	"oriolerelay/ticket"
	"oriolerelay/wire"
)

// maxSkippedJobs bounds the jobs that one scheduler pass skips because their next
// task fits no endpoint with free capacity. It bounds the cost of a pass that
// assigns nothing.
const maxSkippedJobs = 8

// minRemainingShare is the share of the expected run time that must remain until
// the deadline when a task is assigned. Expected run times are averages, so a
// task with slightly less time left often still finishes.
const minRemainingShare = 0.7

// maxBufferedRunTime is the expected run time per slot from which no tasks are
// placed in the buffer of an agent. The buffer hides the round trip of about 1 ms
// between the end of a task and the next Start; for longer tasks this gains less
// than is lost when a task waits at one agent while a slot of another is free.
const maxBufferedRunTime = 2 * time.Millisecond

// snapshot is the state of the endpoints of a service during one scheduler pass.
// It is valid for tasks with the same key and is rebuilt for others.
type snapshot struct {
	key           snapshotKey
	endpoints     []balance.Endpoint
	enforceLimits bool // false for the naive policy
	belowLimit    int  // number of endpoints below their limit, whether or not they suit the task
	plan          balance.Plan
}

type snapshotKey struct {
	kind   *kind
	demand wire.Resources
	avoid  *agent
}

// schedule assigns queued tasks to agents until no task can be placed. It takes
// logarithmic time per assigned task, plus linear time in the number of agents of
// the service for each snapshot.
func (d *Dispatcher) schedule(s *service, now time.Time) {
	if s.queue.Len() == 0 || !s.available() {
		return
	}
	rules := d.endpointRules(s.name)
	s.snapshot.key = snapshotKey{}
	var blockedKind *kind
	var skipped []*limit.FairItem[*job]
	for s.queue.Len() > 0 && len(skipped) < maxSkippedJobs {
		item := s.queue.Head()
		j := item.Value
		t := j.peek()
		if blockedKind == j.kind && t.avoid == nil {
			s.queue.Remove(item)
			skipped = append(skipped, item)
			continue
		}
		s.refreshSnapshot(t, rules, now, d.rng.Uint64())
		if s.snapshot.belowLimit == 0 {
			break
		}
		i, ok := s.snapshot.plan.Next(s.queued, d.rng.Uint64())
		if !ok {
			if t.avoid == nil {
				blockedKind = j.kind
			}
			s.queue.Remove(item)
			skipped = append(skipped, item)
			continue
		}
		d.placeTask(t, item, i, now)
	}
	for _, item := range skipped {
		if !item.Value.finished {
			s.queue.Push(item)
		}
	}
}

// refreshSnapshot rebuilds the snapshot unless it is valid for t.
func (s *service) refreshSnapshot(t *task, rules ticket.EndpointRules, now time.Time, random uint64) {
	j := t.job
	key := snapshotKey{kind: j.kind, demand: j.Tasks[t.index].Demand, avoid: t.avoid}
	if s.snapshot.key == key {
		return
	}
	s.snapshot.key = key
	s.snapshot.belowLimit = 0
	s.snapshot.enforceLimits = rules.Policy != string(balance.Naive)
	s.snapshot.endpoints = s.snapshot.endpoints[:0]
	onlyAvoided := s.onlyAvailable(key.avoid)
	for _, a := range s.agents {
		e := balance.Endpoint{Slots: int(a.announce.Slots), Busy: a.estimatedLoad(now, rules.MessagesOverResponse), Limit: a.taskLimit(now)}
		if !s.snapshot.enforceLimits {
			e.Limit = int(^uint(0) >> 1)
		}
		if !a.available() {
			e.Limit = 0
		}
		e.Skip = !a.fits(key.demand) || a == key.avoid && !onlyAvoided
		e.RunTime = j.kind.runTimes.RunTimeForPlacement(a.runTimesFor(j.kind), j.declaredRunTime(t), a.oldestTaskAge(now), now)
		if e.RunTime >= maxBufferedRunTime*time.Duration(e.Slots) && s.snapshot.enforceLimits {
			e.Limit = min(e.Limit, e.Slots)
		}
		if e.Busy < e.Limit {
			s.snapshot.belowLimit++
		}
		s.snapshot.endpoints = append(s.snapshot.endpoints, e)
	}
	s.snapshot.plan.Reset(balance.Snapshot{Policy: balance.Policy(rules.Policy), Endpoints: s.snapshot.endpoints}, random)
}

// onlyAvailable reports whether no agent other than a can be given tasks.
func (s *service) onlyAvailable(a *agent) bool {
	for _, other := range s.agents {
		if other != a && other.available() {
			return false
		}
	}
	return true
}

// placeTask assigns the next task of a job to the i-th agent of the snapshot, or
// aborts the job if too little time is left until its deadline.
func (d *Dispatcher) placeTask(t *task, item *limit.FairItem[*job], i int, now time.Time) {
	j, s := t.job, t.job.service
	a, e := s.agents[i], &s.snapshot.endpoints[i]
	if s.snapshot.enforceLimits && j.kind.runTimes.HasEnoughSamples() && now.Add(time.Duration(minRemainingShare*float64(e.RunTime))).After(j.Deadline) {
		d.abortJob(j, errkind.New(errkind.DeadlineUnmet, "a task is expected to run for %v but only %v remain until the deadline",
			e.RunTime.Round(time.Millisecond), j.Deadline.Sub(now).Round(time.Millisecond)), t)
		return
	}
	j.pop()
	j.kind.queued--
	s.queued--
	if len(j.pending) == 0 {
		s.queue.Remove(item)
	}
	d.assign(t, a)
	s.queue.Charge(item, float64(j.kind.runTimes.TypicalRunTime(j.declaredRunTime(t))))
	s.snapshot.plan.Place(i)
	if e.Busy == e.Limit {
		s.snapshot.belowLimit--
	}
}

// declaredRunTime returns the declared run time of a task, or else of its kind.
func (j *job) declaredRunTime(t *task) time.Duration {
	if x := j.Tasks[t.index].DeclaredRunTime; x > 0 {
		return x
	}
	return j.rules.declaredRunTime
}
