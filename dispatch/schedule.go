package dispatch

import (
	"time"

	"oriolerelay/balance"
	"oriolerelay/errkind"
	"oriolerelay/limit"
	"oriolerelay/ticket"
	"oriolerelay/wire"
)

// maxAside bounds the jobs that one pass skips because their next task fits no
// open endpoint. It bounds the work of a pass that starts nothing.
const maxAside = 8

// doomedShare is the part of the expected run time that must be left until the
// deadline when a task starts. Estimates are averages, so a task with slightly
// less time than the average often still finishes.
const doomedShare = 0.7

// bufferedRun is the run time per slot below which tasks are also placed in the
// buffer of an agent. The buffer hides the round trip of about 1 ms between the
// end of a task and the next Start; for longer tasks this gain is less than the
// loss of a task that waits at one agent while a slot of another becomes free.
const bufferedRun = 2 * time.Millisecond

// view is the snapshot for the choices of one pass. It is valid for tasks with
// the same key; other tasks rebuild it.
type view struct {
	key       viewKey
	endpoints []balance.Endpoint
	limited   bool // false for the naive policy
	open      int  // endpoints below their limit, whether or not they suit the task
	plan      balance.Plan
}

type viewKey struct {
	kind   *kind
	demand wire.Resources
	avoid  *agent
}

// schedule assigns queued tasks to agents until no task can be placed. It
// costs logarithmic time per assigned task, plus the size of the service for
// the snapshot of the pass.
func (d *Dispatcher) schedule(s *service, now time.Time) {
	if s.queue.Len() == 0 || !s.served() {
		return
	}
	rules := d.endpointRules(s.name)
	s.view.key = viewKey{}
	var held *kind
	var aside []*limit.FairItem[*job]
	for s.queue.Len() > 0 && len(aside) < maxAside {
		item := s.queue.Head()
		j := item.Value
		t := j.peek()
		if held == j.kind && t.avoid == nil {
			s.queue.Remove(item)
			aside = append(aside, item)
			continue
		}
		s.look(t, rules, now, d.random.Uint64())
		if s.view.open == 0 {
			break
		}
		i, ok := s.view.plan.Next(s.queued, d.random.Uint64())
		if !ok {
			if t.avoid == nil {
				held = j.kind
			}
			s.queue.Remove(item)
			aside = append(aside, item)
			continue
		}
		d.place(t, item, i, now)
	}
	for _, item := range aside {
		if !item.Value.finished {
			s.queue.Push(item)
		}
	}
}

// look makes the view valid for t.
func (s *service) look(t *task, rules ticket.EndpointRules, now time.Time, random uint64) {
	j := t.job
	key := viewKey{kind: j.kind, demand: j.Tasks[t.index].Demand, avoid: t.avoid}
	if s.view.key == key {
		return
	}
	s.view.key = key
	s.view.open = 0
	s.view.limited = rules.Policy != string(balance.Naive)
	s.view.endpoints = s.view.endpoints[:0]
	only := s.only(key.avoid)
	for _, a := range s.agents {
		e := balance.Endpoint{Slots: int(a.announce.Slots), Busy: a.busy(now, rules.MessagesOverResponse), Limit: a.tasksAllowed(now)}
		if !s.view.limited {
			e.Limit = int(^uint(0) >> 1)
		}
		if !a.live() {
			e.Limit = 0
		}
		e.Skip = !a.fits(key.demand) || a == key.avoid && !only
		e.RunTime = j.kind.times.RunTimeForPlacement(a.timesOf(j.kind), j.declared(t), a.waiting(now), now)
		if e.RunTime >= bufferedRun*time.Duration(e.Slots) && s.view.limited {
			e.Limit = min(e.Limit, e.Slots)
		}
		if e.Busy < e.Limit {
			s.view.open++
		}
		s.view.endpoints = append(s.view.endpoints, e)
	}
	s.view.plan.Reset(balance.Snapshot{Policy: balance.Policy(rules.Policy), Endpoints: s.view.endpoints}, random)
}

// only reports whether a is the only agent that can be given tasks.
func (s *service) only(a *agent) bool {
	for _, o := range s.agents {
		if o != a && o.live() {
			return false
		}
	}
	return true
}

// place assigns the next task of a job to the i-th agent of the view.
func (d *Dispatcher) place(t *task, item *limit.FairItem[*job], i int, now time.Time) {
	j, s := t.job, t.job.service
	a, e := s.agents[i], &s.view.endpoints[i]
	if s.view.limited && j.kind.times.HasEnoughSamples() && now.Add(time.Duration(doomedShare*float64(e.RunTime))).After(j.Deadline) {
		d.giveUp(j, errkind.New(errkind.DeadlineUnmet, "a task needs about %v and has %v left",
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
	s.queue.Charge(item, float64(j.kind.times.TypicalRunTime(j.declared(t))))
	s.view.plan.Place(i)
	if e.Busy == e.Limit {
		s.view.open--
	}
}

// declared returns the run time that was declared for a task, or for its kind.
func (j *job) declared(t *task) time.Duration {
	if x := j.Tasks[t.index].Expected; x > 0 {
		return x
	}
	return j.rules.expected
}
