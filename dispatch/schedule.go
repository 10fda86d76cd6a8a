package dispatch

import (
	"time"

	"oriolerelay/balance"
	"oriolerelay/errkind"
	"oriolerelay/limit"
	"oriolerelay/ticket"
	"oriolerelay/wire"
)

// maxSkippedJobs bounds the jobs that one pass skips because their next task fits no
// open endpoint. It bounds the work of a pass that starts nothing.
const maxSkippedJobs = 8

// minRemainingShare is the part of the expected run time that must be left until the
// deadline when a task starts. Estimates are averages, so a task with slightly
// less time than the average often still finishes.
const minRemainingShare = 0.7

// maxBufferedRunTime is the run time per slot below which tasks are also placed in the
// buffer of an agent. The buffer hides the round trip of about 1 ms between the
// end of a task and the next Start; for longer tasks this gain is less than the
// loss of a task that waits at one agent while a slot of another becomes free.
const maxBufferedRunTime = 2 * time.Millisecond

// snapshot is the snapshot for the choices of one pass. It is valid for tasks with
// the same key; other tasks rebuild it.
type snapshot struct {
	key           snapshotKey
	endpoints     []balance.Endpoint
	enforceLimits bool // false for the naive policy
	openEndpoints int  // endpoints below their limit, whether or not they suit the task
	plan          balance.Plan
}

type snapshotKey struct {
	kind   *kind
	demand wire.Resources
	avoid  *agent
}

// schedule assigns queued tasks to agents until no task can be placed. It
// costs logarithmic time per assigned task, plus the size of the service for
// the snapshot of the pass.
func (d *Dispatcher) schedule(s *service, now time.Time) {
	if s.queue.Len() == 0 || !s.available() {
		return
	}
	rules := d.endpointRules(s.name)
	s.snapshot.key = snapshotKey{}
	var held *kind
	var aside []*limit.FairItem[*job]
	for s.queue.Len() > 0 && len(aside) < maxSkippedJobs {
		item := s.queue.Head()
		j := item.Value
		t := j.peek()
		if held == j.kind && t.avoid == nil {
			s.queue.Remove(item)
			aside = append(aside, item)
			continue
		}
		s.refreshSnapshot(t, rules, now, d.rng.Uint64())
		if s.snapshot.openEndpoints == 0 {
			break
		}
		i, ok := s.snapshot.plan.Next(s.queued, d.rng.Uint64())
		if !ok {
			if t.avoid == nil {
				held = j.kind
			}
			s.queue.Remove(item)
			aside = append(aside, item)
			continue
		}
		d.placeTask(t, item, i, now)
	}
	for _, item := range aside {
		if !item.Value.finished {
			s.queue.Push(item)
		}
	}
}

// refreshSnapshot makes the view valid for t.
func (s *service) refreshSnapshot(t *task, rules ticket.EndpointRules, now time.Time, random uint64) {
	j := t.job
	key := snapshotKey{kind: j.kind, demand: j.Tasks[t.index].Demand, avoid: t.avoid}
	if s.snapshot.key == key {
		return
	}
	s.snapshot.key = key
	s.snapshot.openEndpoints = 0
	s.snapshot.enforceLimits = rules.Policy != string(balance.Naive)
	s.snapshot.endpoints = s.snapshot.endpoints[:0]
	only := s.onlyAvailable(key.avoid)
	for _, a := range s.agents {
		e := balance.Endpoint{Slots: int(a.announce.Slots), Busy: a.estimatedLoad(now, rules.MessagesOverResponse), Limit: a.taskLimit(now)}
		if !s.snapshot.enforceLimits {
			e.Limit = int(^uint(0) >> 1)
		}
		if !a.available() {
			e.Limit = 0
		}
		e.Skip = !a.fits(key.demand) || a == key.avoid && !only
		e.Run = j.kind.runTimes.ExpectForChoice(a.runTimesFor(j.kind), j.declaredRunTime(t), a.oldestTaskAge(now), now)
		if e.Run >= maxBufferedRunTime*time.Duration(e.Slots) && s.snapshot.enforceLimits {
			e.Limit = min(e.Limit, e.Slots)
		}
		if e.Busy < e.Limit {
			s.snapshot.openEndpoints++
		}
		s.snapshot.endpoints = append(s.snapshot.endpoints, e)
	}
	s.snapshot.plan.Reset(balance.Snapshot{Policy: balance.Policy(rules.Policy), Endpoints: s.snapshot.endpoints}, random)
}

// onlyAvailable reports whether a is the onlyAvailable agent that can be given tasks.
func (s *service) onlyAvailable(a *agent) bool {
	for _, o := range s.agents {
		if o != a && o.available() {
			return false
		}
	}
	return true
}

// placeTask assigns the next task of a job to the i-th agent of the view.
func (d *Dispatcher) placeTask(t *task, item *limit.FairItem[*job], i int, now time.Time) {
	j, s := t.job, t.job.service
	a, e := s.agents[i], &s.snapshot.endpoints[i]
	if s.snapshot.enforceLimits && j.kind.runTimes.Learned() && now.Add(time.Duration(minRemainingShare*float64(e.Run))).After(j.Deadline) {
		d.abortJob(j, errkind.New(errkind.DeadlineUnmet, "a task needs about %v and has %v left",
			e.Run.Round(time.Millisecond), j.Deadline.Sub(now).Round(time.Millisecond)), t)
		return
	}
	j.pop()
	j.kind.queued--
	s.queued--
	if len(j.pending) == 0 {
		s.queue.Remove(item)
	}
	d.assign(t, a)
	s.queue.Charge(item, float64(j.kind.runTimes.Typical(j.declaredRunTime(t))))
	s.snapshot.plan.Place(i)
	if e.Busy == e.Limit {
		s.snapshot.openEndpoints--
	}
}

// declaredRunTime returns the run time that was declaredRunTime for a task, or for its kind.
func (j *job) declaredRunTime(t *task) time.Duration {
	if x := j.Tasks[t.index].DeclaredRunTime; x > 0 {
		return x
	}
	return j.rules.declaredRunTime
}
