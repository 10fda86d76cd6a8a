package dispatch

import (
	"context"
	"math"
	"time"

	"oriolerelay/balance"
	"oriolerelay/errkind"
	"oriolerelay/limit"
	"oriolerelay/ticket"
)

// defaultQueueLimit bounds the waiting tasks of a kind whose rules give none.
const defaultQueueLimit = 4096

// submit admits a job and starts as many of its tasks as possible, or returns
// why the job is refused. A refused job leaves no trace.
func (d *Dispatcher) submit(ctx context.Context, r Job, now time.Time) (*job, *errkind.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return nil, errkind.New(errkind.Draining, "this entry is leaving")
	}
	state := d.cfg.State()
	rules, kindRules, err := rulesOf(state, r)
	if err != nil {
		return nil, err
	}
	key := jobKey{r.Team, r.Submission.Raw}
	if d.jobs[key] != nil {
		return nil, errkind.New(errkind.IDConflict, "submission %q is already running", r.Submission.Raw)
	}
	s := d.serviceOf(r.Service)
	j := newJob(ctx, r, now)
	j.service, j.kind, j.rules = s, s.kindOf(r.Kind), rules
	team := state.Teams[r.Team]
	j.item = s.queue.NewItem(r.Team, team.Weight, r.Deadline, j)
	if err := d.admissible(j, kindRules, now); err != nil {
		return nil, err
	}
	if err := d.quotas.Admit(r.Team, team, d.cfg.Entries(), len(r.Tasks), now); err != nil {
		return nil, err
	}
	d.start(j, now)
	return j, nil
}

func rulesOf(state *ticket.Config, r Job) (jobRules, ticket.Kind, *errkind.Error) {
	if state == nil {
		return jobRules{}, ticket.Kind{}, errkind.New(errkind.NoConfiguration, "no configuration is in force yet")
	}
	svc, ok := state.Services[r.Service]
	if !ok {
		return jobRules{}, ticket.Kind{}, errkind.New(errkind.UnknownService, "no service %q", r.Service)
	}
	k, ok := svc.Kinds[r.Kind]
	if !ok {
		return jobRules{}, ticket.Kind{}, errkind.New(errkind.UnknownKind, "service %s has no kind %q", r.Service, r.Kind)
	}
	if len(r.Tasks) == 0 {
		return jobRules{}, k, errkind.New(errkind.InvalidRequest, "a job has at least one task")
	}
	return jobRules{
		retryable:   r.Request && len(r.Tasks) == 1 && k.Idempotent,
		maxAttempts: max(k.MaxAttempts, 1),
		expected:    time.Duration(k.ExpectedMS) * time.Millisecond,
	}, k, nil
}

// start queues an admitted job and runs the scheduler.
func (d *Dispatcher) start(j *job, now time.Time) {
	s := j.service
	d.jobs[j.key] = j
	d.queuedBytes += j.bytes
	s.retries.Admitted()
	j.kind.queued += len(j.tasks)
	s.queued += len(j.tasks)
	s.queue.Push(j.item)
	d.schedule(s, now)
}

// admissible reports why a job can't be accepted, before anything is counted.
func (d *Dispatcher) admissible(j *job, rules ticket.Kind, now time.Time) *errkind.Error {
	s := j.service
	if !s.served() {
		return errkind.New(errkind.NoEndpoint, "no endpoint serves %s", s.name)
	}
	for i := range j.Tasks {
		if i > 0 && j.Tasks[i].Demand == j.Tasks[i-1].Demand {
			continue
		}
		if !s.fits(&j.Tasks[i]) {
			return errkind.New(errkind.NeverFits, "task %d demands more than any worker of %s has", i, s.name)
		}
	}
	if balance.Policy(d.endpointRules(s.name).Policy) == balance.Naive {
		return nil // the reference policy has no admission control
	}
	p := s.prospect(j, now)
	if err := d.queueRoom(j, rules, p); err != nil {
		return err
	}
	return p.check(j, now)
}

func (s *service) fits(t *Task) bool {
	for _, a := range s.agents {
		if a.live() && a.fits(t.Demand) {
			return true
		}
	}
	return false
}

// queueRoom checks the bounds of the queue. A job counts the tasks that can't
// start at once.
func (d *Dispatcher) queueRoom(j *job, rules ticket.Kind, p prospect) *errkind.Error {
	bound := rules.QueueLimit
	if bound <= 0 {
		bound = defaultQueueLimit
	}
	waiting := max(len(j.Tasks)-max(p.free-j.service.queued, 0), 0)
	if waiting > 0 && j.kind.queued+waiting > bound {
		err := errkind.New(errkind.QueueFull, "%d tasks of kind %s wait, at most %d may", j.kind.queued, j.kind.name, bound)
		err.RetryAfter = p.wait
		return err
	}
	if d.queuedBytes+j.bytes > d.cfg.MaxQueuedBytes {
		err := errkind.New(errkind.QueueFull, "the payloads in hand have %d bytes, at most %d may", d.queuedBytes, d.cfg.MaxQueuedBytes)
		err.RetryAfter = p.wait
		return err
	}
	return nil
}

// prospect is what a new job may expect.
type prospect struct {
	free    int           // places at the agents
	wait    time.Duration // until its first task starts
	finish  time.Duration // until its last task ends
	learned bool
}

// prospect estimates the wait and the finish of a job from the learned run
// times, the open places and the tasks that are served before it.
func (s *service) prospect(j *job, now time.Time) prospect {
	longest := j.declared(j.peek()) // the first task to start is the longest
	places := s.places[:0]
	for _, a := range s.agents {
		if a.live() {
			run := j.kind.times.Expect(a.timesOf(j.kind), longest, a.waiting(now), now)
			places = append(places, limit.Place{Slots: int(a.announce.Slots), Busy: a.busy(now, 0), Run: run})
		}
	}
	s.places = places
	total, own := s.queue.ActiveWeight(j.item)
	p := prospect{learned: j.kind.times.Learned()}
	slots := 0
	for _, x := range places {
		slots += x.Slots
		p.free += max(x.Slots-x.Busy, 0)
	}
	mine := 0
	s.queue.EachBefore(j.item, func(o *job) { mine += len(o.pending) })
	ahead := float64(mine) * total / own
	upTo := float64(mine+len(j.Tasks)) * total / own
	if s.queued < slots {
		// The queue runs empty within one round of the slots. A longer one is
		// taken to last, so that other teams take their share all the time.
		ahead = min(ahead, float64(s.queued))
		upTo = min(upTo, float64(s.queued+len(j.Tasks)))
	}
	p.wait, p.finish = limit.Expect(places, ahead, upTo)
	p.finish += min(j.kind.times.Excess(len(j.Tasks)), math.MaxInt64-p.finish)
	if s.queued == 0 && len(j.Tasks) <= p.free {
		p.wait, p.finish = 0, min(p.finish, limit.Fastest(places))
	}
	return p
}

// check refuses a job whose deadline can't be met. Declared run times may be
// wrong by a factor of ten, so before any were learned a job is refused only
// when it can't be met with a tenth of them.
func (p prospect) check(j *job, now time.Time) *errkind.Error {
	left := j.Deadline.Sub(now)
	need := p.finish
	if !p.learned {
		need /= 10
	}
	if left > 0 && need <= left {
		return nil
	}
	err := errkind.New(errkind.DeadlineUnmet, "the answer is expected in %v, the deadline is in %v",
		p.finish.Round(time.Millisecond), left.Round(time.Millisecond))
	err.RetryAfter = max(p.finish-left, 0) // by then the tasks before it have run
	return err
}
