package trial

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"oriolerelay/emulator"
	"oriolerelay/errkind"
	"oriolerelay/internal/bubble"
	"oriolerelay/job"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// lateAnswerFactor is the share of the worth of a job that a late answer earns if it arrives within
// three times the objective.
const lateAnswerFactor = 0.2

// Simulate runs a scenario with a policy on a simulated clock.
func Simulate(t *testing.T, s Scenario, p policy.Policy) (out Outcome) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		system := emulator.NewPolicySystem(ctx, s.newEndpoints(), s.Entries, p, nil)
		time.Sleep(1600 * time.Millisecond) // until the agents are connected
		out = s.simulate(ctx, system)
		stop()
		time.Sleep(3 * time.Second)
		synctest.Wait()
	})
	return out
}

// newEndpoints returns the emulated endpoints, which know the true work of each task.
func (s *Scenario) newEndpoints() []*emulator.Endpoint {
	type task struct {
		work time.Duration
		size wire.Resources
	}
	tasks := make(map[string]task)
	for i := range s.Arrivals {
		a := &s.Arrivals[i]
		for k, w := range a.Work {
			tasks[job.TaskID{Job: a.Job.ID, Index: k}.String()] = task{w, a.Job.Steps[0].Size}
		}
	}
	var out []*emulator.Endpoint
	for i, e := range s.Endpoints {
		x := emulator.NewEndpoint(fmt.Sprintf("endpoint-%02d", i), e.Capacity, e.Slowness)
		x.Service = e.Service
		x.Work = func(name, _ string) (time.Duration, wire.Resources) { return tasks[name].work, tasks[name].size }
		out = append(out, x)
	}
	return out
}

func (s *Scenario) simulate(ctx context.Context, system *emulator.System) Outcome {
	start := time.Now()
	for _, f := range s.Faults {
		time.AfterFunc(f.At, func() { injectFault(system, s, f, true) })
		time.AfterFunc(f.At+f.Duration, func() { injectFault(system, s, f, false) })
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	tally := tally{jobsByQueue: make(map[string]int), inTimeByQueue: make(map[string]int)}
	var answers []emulator.Answer
	for i := range s.Arrivals {
		a := &s.Arrivals[i]
		time.Sleep(time.Until(start.Add(a.At)))
		wg.Go(func() {
			sent := time.Now()
			ctx, cancel := context.WithTimeout(ctx, answerTimeout)
			defer cancel()
			state, err := submit(ctx, system, a.Entry, a.Job)
			mu.Lock()
			defer mu.Unlock()
			tally.add(a, a.PriorWait+time.Since(sent), state, err)
			answers = append(answers, emulator.Answer{Job: a.Job.ID, SentAt: sent, ReceivedAt: time.Now(), State: state, Err: err})
		})
	}
	wg.Wait()
	out := tally.outcome()
	for _, line := range system.Check(answers) {
		out.Violations = append(out.Violations, strings.TrimSpace(line))
	}
	return out
}

func submit(ctx context.Context, system *emulator.System, entry int, j job.Submission) (job.State, *errkind.Error) {
	if r := system.Router(entry); r != nil {
		return r.Submit(ctx, j)
	}
	return system.Entry(entry).Submit(ctx, j)
}

// injectFault begins or ends a fault.
func injectFault(system *emulator.System, s *Scenario, f Fault, active bool) {
	for _, i := range f.Targets {
		switch f.Kind {
		case FaultKillEntry:
			if active {
				system.KillEntry(i)
			}
		case FaultKillAgent:
			if active {
				system.KillAgent(i)
			}
		default:
			injectEndpointFault(system.Endpoints[i], s.Endpoints[i].Slowness, f, active)
		}
	}
}

func injectEndpointFault(e *emulator.Endpoint, slowness float64, f Fault, active bool) {
	if !active {
		e.SetFaults(emulator.Faults{})
		e.SetSlowness(slowness)
		return
	}
	switch f.Kind {
	case FaultSlow:
		e.SetSlowness(slowness * f.Strength)
	case FaultHang:
		e.SetFaults(emulator.Faults{Hang: true})
	case FaultFail:
		e.SetFaults(emulator.Faults{Fail: true})
	case FaultCrash:
		e.Crash()
		e.SetFaults(emulator.Faults{Down: true})
	case FaultLoseOrders:
		e.SetFaults(emulator.Faults{LossRate: f.Strength, Delay: 2 * time.Second})
	}
}

// tally accumulates the answers of a trial.
type tally struct {
	Outcome
	totalWorth, earnedWorth, refusalDelays float64

	jobsByQueue, inTimeByQueue map[string]int
}

func (t *tally) add(a *Arrival, took time.Duration, state job.State, err *errkind.Error) {
	t.Jobs++
	t.jobsByQueue[a.Job.Queue.Name]++
	t.totalWorth += a.Worth
	objective := a.objective()
	switch {
	case err != nil && err.Answer().Outcome == errkind.NotRun:
		t.Refused++
		t.refusalDelays += float64(took) / float64(objective)
	case err != nil || state != job.Completed:
		t.Failed++
	case took <= objective:
		t.InTime++
		t.inTimeByQueue[a.Job.Queue.Name]++
		t.earnedWorth += a.Worth
	default:
		t.Late++
		if took <= 3*objective {
			t.earnedWorth += lateAnswerFactor * a.Worth
		}
	}
}

func (t *tally) outcome() Outcome {
	out := t.Outcome
	if t.totalWorth > 0 {
		out.EarnedShare = t.earnedWorth / t.totalWorth
	}
	out.InTimeByQueue = make(map[string]float64)
	for queue, n := range t.jobsByQueue {
		out.InTimeByQueue[queue] = float64(t.inTimeByQueue[queue]) / float64(n)
	}
	if t.Refused > 0 {
		out.RefusalDelay = t.refusalDelays / float64(t.Refused)
	}
	return out
}
