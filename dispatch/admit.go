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

// defaultQueueLimit is the maximum number of queued tasks of a kind whose
// configuration sets no limit.
const defaultQueueLimit = 4096

// submit admits a job and assigns as many of its tasks as possible, or returns
// the reason for a refusal. A refused job changes no state.
func (d *Dispatcher) submit(ctx context.Context, request Job, now time.Time) (*job, *errkind.Error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return nil, errkind.New(errkind.Draining, "this entry is draining")
	}
	state := d.cfg.State()
	rules, kindConfig, err := jobRulesFor(state, request)
	if err != nil {
		return nil, err
	}
	key := jobKey{request.Team, request.Submission.Raw}
	if d.jobs[key] != nil {
		return nil, errkind.New(errkind.IDConflict, "submission %q is already running", request.Submission.Raw)
	}
	svc := d.getOrCreateService(request.Service)
	j := newJob(ctx, request, now)
	j.service, j.kind, j.rules = svc, svc.getOrCreateKind(request.Kind), rules
	team := state.Teams[request.Team]
	j.queueItem = svc.queue.NewItem(request.Team, team.Weight, request.Deadline, j)
	if err := d.checkAdmission(j, kindConfig, now); err != nil {
		return nil, err
	}
	if err := d.quotas.Admit(request.Team, team, d.cfg.EntryCount(), len(request.Tasks), now); err != nil {
		return nil, err
	}
	d.enqueue(j, now)
	return j, nil
}

func jobRulesFor(state *ticket.Config, request Job) (jobRules, ticket.Kind, *errkind.Error) {
	if state == nil {
		return jobRules{}, ticket.Kind{}, errkind.New(errkind.NoConfiguration, "no configuration is in force yet")
	}
	svc, ok := state.Services[request.Service]
	if !ok {
		return jobRules{}, ticket.Kind{}, errkind.New(errkind.UnknownService, "no service %q", request.Service)
	}
	k, ok := svc.Kinds[request.Kind]
	if !ok {
		return jobRules{}, ticket.Kind{}, errkind.New(errkind.UnknownKind, "service %s has no kind %q", request.Service, request.Kind)
	}
	if len(request.Tasks) == 0 {
		return jobRules{}, k, errkind.New(errkind.InvalidRequest, "a job has at least one task")
	}
	return jobRules{
		retryable:       request.Request && len(request.Tasks) == 1 && k.Idempotent,
		maxAttempts:     max(k.MaxAttempts, 1),
		declaredRunTime: time.Duration(k.ExpectedMS) * time.Millisecond,
	}, k, nil
}

// enqueue adds an admitted job to the queue of its service and runs the
// scheduler.
func (d *Dispatcher) enqueue(j *job, now time.Time) {
	s := j.service
	d.jobs[j.key] = j
	d.inFlightBytes += j.payloadBytes
	s.retries.RecordRequest()
	j.kind.queued += len(j.tasks)
	s.queued += len(j.tasks)
	s.queue.Push(j.queueItem)
	d.schedule(s, now)
}

// checkAdmission returns the reason why a job can't be accepted, or nil. It runs
// before the job counts against any limit.
func (d *Dispatcher) checkAdmission(j *job, kindConfig ticket.Kind, now time.Time) *errkind.Error {
	s := j.service
	if !s.available() {
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
		return nil // the naive policy is the baseline without admission control
	}
	est := s.estimateJob(j, now)
	if err := d.checkQueueLimits(j, kindConfig, est); err != nil {
		return err
	}
	return est.checkDeadline(j, now)
}

func (s *service) fits(t *Task) bool {
	for _, a := range s.agents {
		if a.available() && a.fits(t.Demand) {
			return true
		}
	}
	return false
}

// checkQueueLimits checks the limits on queued tasks and on payload bytes. Only
// the tasks of the job that can't start immediately count as queued.
func (d *Dispatcher) checkQueueLimits(j *job, kindConfig ticket.Kind, est estimate) *errkind.Error {
	maxQueued := kindConfig.QueueLimit
	if maxQueued <= 0 {
		maxQueued = defaultQueueLimit
	}
	waiting := max(len(j.Tasks)-max(est.freeSlots-j.service.queued, 0), 0)
	if waiting > 0 && j.kind.queued+waiting > maxQueued {
		err := errkind.New(errkind.QueueFull, "%d tasks of kind %s are queued, the limit is %d", j.kind.queued, j.kind.name, maxQueued)
		err.RetryAfter = est.wait
		return err
	}
	if d.inFlightBytes+j.payloadBytes > d.cfg.MaxInFlightBytes {
		err := errkind.New(errkind.QueueFull, "payloads of jobs in flight have %d bytes, the limit is %d", d.inFlightBytes, d.cfg.MaxInFlightBytes)
		err.RetryAfter = est.wait
		return err
	}
	return nil
}

// estimate holds the expected times of a new job.
type estimate struct {
	freeSlots int           // free slots of the agents
	wait      time.Duration // until its first task starts
	finish    time.Duration // until its last task ends
	learned   bool          // whether the estimate uses learned run times
}

// estimateJob estimates the wait and the finish of a job from the learned run
// times, the free slots and the tasks that are scheduled before it.
func (s *service) estimateJob(j *job, now time.Time) estimate {
	longest := j.declaredRunTime(j.peek()) // the first task to start is the longest
	loads := s.endpointLoads[:0]
	for _, a := range s.agents {
		if a.available() {
			run := j.kind.runTimes.ExpectedRunTime(a.runTimesFor(j.kind), longest, a.oldestTaskAge(now), now)
			loads = append(loads, limit.EndpointLoad{Slots: int(a.announce.Slots), Busy: a.estimatedLoad(now, 0), RunTime: run})
		}
	}
	s.endpointLoads = loads
	totalWeight, teamWeight := s.queue.ActiveWeight(j.queueItem)
	est := estimate{learned: j.kind.runTimes.HasEnoughSamples()}
	slots := 0
	for _, load := range loads {
		slots += load.Slots
		est.freeSlots += max(load.Slots-load.Busy, 0)
	}
	teamAhead := 0
	s.queue.EachBefore(j.queueItem, func(o *job) { teamAhead += len(o.pending) })
	ahead := float64(teamAhead) * totalWeight / teamWeight
	upTo := float64(teamAhead+len(j.Tasks)) * totalWeight / teamWeight
	if s.queued < slots {
		// All queued tasks start as soon as each slot becomes free once, so no
		// more than these can precede the job. A longer queue is assumed to
		// persist, so that other teams take their share throughout.
		ahead = min(ahead, float64(s.queued))
		upTo = min(upTo, float64(s.queued+len(j.Tasks)))
	}
	est.wait, est.finish = limit.EstimateSchedule(loads, ahead, upTo)
	est.finish += min(j.kind.runTimes.SlowestExcess(len(j.Tasks)), math.MaxInt64-est.finish)
	if s.queued == 0 && len(j.Tasks) <= est.freeSlots {
		est.wait, est.finish = 0, min(est.finish, limit.ShortestRunTime(loads))
	}
	return est
}

// checkDeadline refuses a job whose deadline can't be met. Declared run times
// may be wrong by a factor of ten, so until run times have been learned a job is
// refused only if a tenth of the estimate exceeds the time left.
func (est estimate) checkDeadline(j *job, now time.Time) *errkind.Error {
	remaining := j.Deadline.Sub(now)
	needed := est.finish
	if !est.learned {
		needed /= 10
	}
	if remaining > 0 && needed <= remaining {
		return nil
	}
	err := errkind.New(errkind.DeadlineUnmet, "expected completion in %v exceeds the deadline in %v",
		est.finish.Round(time.Millisecond), remaining.Round(time.Millisecond))
	err.RetryAfter = max(est.finish-remaining, 0) // the backlog is short enough by then
	return err
}
