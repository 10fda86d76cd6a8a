package ticket

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"oriolerelay/errkind"
	"oriolerelay/internal/bubble"
	"oriolerelay/logstore"
	"oriolerelay/logstore/standin"
)

// submitStep is one step of a plan. Plans are drawn before the fake clock starts.
type submitStep struct {
	Pause       time.Duration
	Faults      *standin.Faults // new faults of the platform; nil for no change
	Operators   int             // number of operators that submit at the same time, each at the next follower
	Resend      bool            // resend every ticket whose result is unknown
	AddFollower bool            // start another follower
}

func drawPlan(rt *rapid.T) []submitStep {
	faults := []standin.Faults{{}, {}, {Down: true}, {LoseResponses: true}, {DelayMS: 300}, {DelayMS: 2500}}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) submitStep {
		s := submitStep{Pause: time.Duration(rapid.IntRange(0, 1500).Draw(rt, "pause ms")) * time.Millisecond}
		switch rapid.IntRange(0, 7).Draw(rt, "step") {
		case 0, 1:
			f := rapid.SampledFrom(faults).Draw(rt, "faults")
			s.Faults = &f
		case 2:
			s.Resend = true
		case 3:
			s.AddFollower = true
		default:
			s.Operators = rapid.IntRange(1, 3).Draw(rt, "operators")
		}
		return s
	}), 1, 25).Draw(rt, "plan")
}

// submitRun executes a plan and collects the results that the operators received.
type submitRun struct {
	ctx       context.Context
	server    *standin.Server
	mu        sync.Mutex
	wg        sync.WaitGroup
	followers []*Follower
	answers   map[*Ticket]errkind.Kind // the empty kind means accepted
	problems  []string
	sent      int
}

func (r *submitRun) start() {
	client := logstore.NewClient("http://platform", logstore.WithTransport(r.server.Transport()))
	f := NewFollower(client, nil)
	r.followers = append(r.followers, f)
	go func() { _ = f.Run(r.ctx) }()
	go func() { // the configuration must never become older
		for last := uint64(0); r.ctx.Err() == nil; {
			changed := f.Changed()
			if n := f.Load().Number; n < last {
				r.reportProblem("a follower went from ticket %d to %d", last, n)
			} else {
				last = n
			}
			select {
			case <-changed:
			case <-r.ctx.Done():
			}
		}
	}()
}

func (r *submitRun) reportProblem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

func (r *submitRun) submit(f *Follower, t *Ticket) {
	r.wg.Go(func() {
		v, err := f.Submit(r.ctx, t)
		kind := errkind.Kind("")
		if err != nil {
			kind = errkind.From(err).Kind
		}
		if err == nil && (v.Status != StatusAccepted || f.Load().Number < t.Number) {
			r.reportProblem("ticket %d was accepted but is not in force at ticket %d", t.Number, f.Load().Number)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		// A resend that did not reach the log says nothing about the first call.
		if kind != errkind.LogUnavailable || r.answers[t] != errkind.TicketUnknown {
			r.answers[t] = kind
		}
	})
}

func (r *submitRun) step(s submitStep) {
	time.Sleep(s.Pause)
	switch {
	case s.Faults != nil:
		r.server.SetFaults(*s.Faults)
	case s.AddFollower:
		r.start()
	case s.Resend:
		r.resend()
	}
	for i := range s.Operators {
		f := r.followers[i%len(r.followers)]
		r.sent++
		r.submit(f, serviceTicket(f.Load().Number+1, fmt.Sprintf("operator-%d", r.sent)))
	}
}

func (r *submitRun) resend() {
	r.wg.Wait()
	r.mu.Lock()
	answers := maps.Clone(r.answers)
	r.mu.Unlock()
	for t, kind := range answers {
		if kind == errkind.TicketUnknown {
			r.submit(r.followers[0], t)
		}
	}
}

// check compares the results that the operators received with the log.
func (r *submitRun) check() {
	r.wg.Wait()
	r.server.SetFaults(standin.Faults{})
	time.Sleep(time.Minute) // until delayed appends have taken effect
	r.resend()
	r.wg.Wait()
	time.Sleep(4 * time.Second) // within which a ticket must be in force everywhere
	final, _ := r.followers[0].LogState()
	for i, f := range r.followers {
		state, ok := f.LogState()
		if !ok || fmt.Sprint(state.History) != fmt.Sprint(final.History) || f.Load().Number != final.Config.Number {
			r.reportProblem("follower %d differs from the first one", i)
		}
	}
	for t, kind := range r.answers {
		a, ok := final.Find(t.Number)
		accepted := ok && a.Hash == t.Hash()
		if accepted != (kind == "") || kind == errkind.TicketUnknown {
			r.reportProblem("ticket %d of %s had the result %q, accepted is %v", t.Number, t.Author, kind, accepted)
		}
	}
}

// Guards against telling an operator a wrong result, a resend with another verdict,
// followers that differ and a configuration that becomes older. Operators submit
// concurrently while the log is down, slow or loses responses.
func TestConcurrentOperators(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt)
		var r *submitRun
		bubble.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			r = &submitRun{ctx: ctx, server: standin.New(), answers: map[*Ticket]errkind.Kind{}}
			r.start()
			r.start()
			for _, s := range plan {
				r.step(s)
			}
			r.check()
			cancel()
			synctest.Wait()
		})
		if len(r.problems) > 0 {
			rt.Fatalf("%v", r.problems)
		}
	})
}
