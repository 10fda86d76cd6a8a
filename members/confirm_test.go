package members

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oriolerelay/ids"
	"oriolerelay/internal/bubble"
	"oriolerelay/logstore"
	"oriolerelay/logstore/standin"
	"oriolerelay/wire"
)

// process is one entry process of the model.
type process struct {
	node     ids.Incarnation
	follower *Follower
	link     *link
	stop     context.CancelFunc
	ended    bool
}

// confirmStep is one step of a plan that is drawn before the fake clock starts.
type confirmStep struct {
	Pause  time.Duration
	Entry  int
	Kind   string
	Fault  linkFault
	Faults standin.Faults
	// Delays of statements, one for each send in turn; negative ones are lost.
	Delays []time.Duration
}

const confirmEntries = 4

func drawConfirmPlan(rt *rapid.T) []confirmStep {
	kinds := []string{
		"start", "start", "start", "kill", "leave", "silent", "heard", "pause", "resume",
		"link", "link", "link", "platform", "platform", "wait", "wait", "outage",
	}
	faults := []standin.Faults{{}, {}, {Down: true}, {Down: true}, {LoseAnswers: true}, {DelayMS: 400}, {DelayMS: 2500}}
	links := []linkFault{{}, {}, {Cut: true}, {Cut: true}, {Lose: true}, {Delay: 300 * time.Millisecond}, {Delay: 6 * time.Second}, {Delay: 20 * time.Second}}
	delays := []time.Duration{0, 0, 0, 40 * time.Millisecond, time.Second, 4 * time.Second, -1}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) confirmStep {
		return confirmStep{
			Pause:  time.Duration(rapid.SampledFrom([]int{1, 500, 1000, 3000, 8000}).Draw(rt, "ms")) * time.Millisecond,
			Entry:  rapid.IntRange(0, confirmEntries-1).Draw(rt, "entry"),
			Kind:   rapid.SampledFrom(kinds).Draw(rt, "kind"),
			Fault:  rapid.SampledFrom(links).Draw(rt, "link"),
			Faults: rapid.SampledFrom(faults).Draw(rt, "platform"),
			Delays: rapid.SliceOfN(rapid.SampledFrom(delays), 1, 5).Draw(rt, "delays"),
		}
	}), 10, 30).Draw(rt, "plan")
}

// question is a submission that is asked of every process.
type question struct {
	sub   ids.Submission
	atMS  int64
	actor ids.Incarnation // the one incarnation that would act
}

// confirmRun is one run of a plan.
type confirmRun struct {
	ctx       context.Context
	server    *standin.Server
	started   uint64
	sent      int
	delays    []time.Duration
	beatAt    time.Time
	askedAt   time.Time
	questions []*question
	problem   string
	// acts counts the decisions to act; confirmed those that needed statements.
	acts, confirmed int

	mu      sync.Mutex // guards running against the asking processes
	running [confirmEntries]*process
}

func (r *confirmRun) alive() []*process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*process
	for _, p := range r.running {
		if p != nil && !p.ended && !p.link.isPaused() {
			list = append(list, p)
		}
	}
	return list
}

func (r *confirmRun) start(i int) {
	if p := r.running[i]; p != nil && !p.ended {
		return // a name restarts only after its process has ended
	}
	r.started++
	ctx, stop := context.WithCancel(r.ctx)
	p := &process{link: &link{to: r.server.Transport()}, stop: stop}
	client := logstore.NewClient("http://platform", logstore.WithTransport(p.link))
	p.follower = NewFollower(client, nil, WithConfirmation())
	p.follower.SetAsk(askAmong(func() []*Follower {
		var list []*Follower
		for _, other := range r.alive() {
			list = append(list, other.follower)
		}
		return list
	}))
	m := testMember(fmt.Sprintf("entry-%d", i), r.started)
	p.node = m.Node
	go func() { _ = p.follower.Run(ctx) }()
	go func() { _ = p.follower.Join(ctx, m) }()
	r.mu.Lock()
	r.running[i] = p
	r.mu.Unlock()
}

func (r *confirmRun) step(s confirmStep) {
	r.delays = s.Delays
	p := r.running[s.Entry]
	up := p != nil && !p.ended
	switch {
	case s.Kind == "start":
		r.start(s.Entry)
	case s.Kind == "platform":
		r.server.SetFaults(s.Faults)
	case s.Kind == "outage":
		r.server.SetFaults(standin.Faults{Down: true})
	case up:
		r.stepProcess(p, s)
	}
	for end := time.Now().Add(s.Pause); time.Now().Before(end); {
		time.Sleep(min(s.Pause, 250*time.Millisecond))
		r.exchange()
		r.ask()
	}
}

func (r *confirmRun) stepProcess(p *process, s confirmStep) {
	switch s.Kind {
	case "kill":
		r.mu.Lock()
		p.ended = true
		r.mu.Unlock()
		p.stop()
		p.link.resume()
	case "leave":
		go func() { _ = p.follower.Leave(r.ctx) }()
	case "silent":
		var nodes []ids.Incarnation
		for _, a := range p.follower.Addresses() {
			nodes = append(nodes, a.Node)
		}
		p.follower.ReportSuspects(nodes[:(len(nodes)+1)/2])
	case "heard":
		p.follower.ReportSuspects(nil)
	case "pause":
		p.link.pause()
	case "resume":
		p.link.resume()
	case "link":
		p.link.setFault(s.Fault)
	}
}

// exchange delivers a statement of each process to each other one every second,
// with the drawn delays and losses.
func (r *confirmRun) exchange() {
	if time.Since(r.beatAt) < time.Second {
		return
	}
	r.beatAt = time.Now()
	for _, from := range r.alive() {
		st, ok := from.follower.Statement()
		if !ok {
			continue
		}
		for _, to := range r.alive() {
			r.sent++
			if delay := r.delays[r.sent%len(r.delays)]; to != from && delay >= 0 {
				r.deliver(from, to, st, delay)
			}
		}
	}
}

func (r *confirmRun) deliver(from, to *process, st wire.MemberStatement, delay time.Duration) {
	if delay == 0 {
		to.follower.ReceiveStatement(from.node, st)
		return
	}
	time.AfterFunc(delay, func() { to.follower.ReceiveStatement(from.node, st) })
}

// askEvery bounds the cost of a run.
const askEvery = 500 * time.Millisecond

// ask adds submissions at present times and at the borders of what each process
// knows, and asks every process about them and about earlier ones.
func (r *confirmRun) ask() {
	if time.Since(r.askedAt) < askEvery {
		return
	}
	r.askedAt = time.Now()
	now := r.askedAt.UnixMilli()
	times := []int64{now - 50, now + 450}
	for _, p := range r.alive() {
		position, known := p.follower.knowledge()
		for _, ms := range []int64{position.KnownMS, known} {
			if ms > 0 {
				times = append(times, ms+LeadMS-1, ms+LeadMS, ms+LeadMS+1)
			}
		}
	}
	for _, at := range times {
		sub, _ := ids.ParseSubmission(fmt.Sprintf("order-%d", len(r.questions)))
		r.questions = append(r.questions, &question{sub: sub, atMS: at})
	}
	// All processes are asked about the questions of the last 40 s at times.
	const perAsk = 2 + 6*confirmEntries
	for _, back := range []int{0, 3, 8, 20, 60} {
		end := len(r.questions) - back*perAsk
		for _, q := range r.questions[max(0, end-perAsk):max(0, end)] {
			r.compare(q)
		}
	}
}

func (r *confirmRun) compare(q *question) {
	for _, p := range r.alive() {
		home, err := p.follower.Home(q.sub, "lace", time.UnixMilli(q.atMS))
		if err != nil || home != p.node {
			continue
		}
		r.acts++
		if !Complete(p.follower.records.Position().KnownMS, q.atMS) {
			r.confirmed++
		}
		if q.actor.IsZero() {
			q.actor = home
		}
		if q.actor != home && r.problem == "" {
			r.problem = fmt.Sprintf("%s at %d is acted for by %s and %s", q.sub.Raw, q.atMS, q.actor, home)
		}
	}
}

// heal ends all faults and asks again, so that processes that were cut off see
// what the others saw.
func (r *confirmRun) heal() {
	r.server.SetFaults(standin.Faults{})
	for _, p := range r.running {
		if p != nil {
			p.link.setFault(linkFault{})
			p.link.resume()
		}
	}
	r.step(confirmStep{Pause: 6 * time.Second, Kind: "wait", Delays: []time.Duration{0}})
	for _, q := range r.questions {
		r.compare(q)
	}
}

// Guards against two incarnations that act for one submission, whatever processes
// are asked at whatever time, while processes start, end, pause, leave, suspect
// each other and restart, each with its own faults towards the platform, and
// statements are delayed and lost.
func TestOneIncarnationActsWithConfirmation(t *testing.T) {
	acts, confirmed := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawConfirmPlan(rt)
		var r *confirmRun
		bubble.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			r = &confirmRun{ctx: ctx, server: standin.New(), delays: []time.Duration{0}}
			for i := range 3 {
				r.start(i)
			}
			r.step(confirmStep{Pause: 8 * time.Second, Kind: "wait", Delays: []time.Duration{0}})
			for _, s := range plan {
				r.step(s)
			}
			r.heal()
			cancel()
			time.Sleep(30 * time.Second) // calls that are still delayed must end in the bubble
		})
		acts += r.acts
		confirmed += r.confirmed
		if r.problem != "" {
			rt.Fatal(r.problem)
		}
	})
	t.Logf("%d decisions to act, %d by confirmation", acts, confirmed)
	if confirmed == 0 {
		t.Error("no decision needed a confirmation")
	}
}

// Guards against statements that never allow an entry to act in an outage, and
// against one that acts without the statement of every member.
func TestConfirmationInAnOutage(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := &confirmRun{ctx: ctx, server: standin.New(), delays: []time.Duration{0}}
		for i := range 3 {
			r.start(i)
		}
		wait := func(d time.Duration, delays ...time.Duration) {
			r.step(confirmStep{Pause: d, Kind: "wait", Delays: delays})
		}
		known := func(i int) bool {
			_, ms := r.running[i].follower.knowledge()
			return Complete(ms, time.Now().UnixMilli())
		}
		wait(10*time.Second, 0)
		r.server.SetFaults(standin.Faults{Down: true})
		for end := time.Now().Add(time.Hour); time.Now().Before(end); time.Sleep(time.Second) {
			r.exchange()
		}
		wait(5*time.Second, 0)
		for i := range 3 {
			c.Assert(known(i), qt.IsTrue, qt.Commentf("entry %d", i))
		}
		r.step(confirmStep{Pause: 5 * time.Second, Kind: "kill", Entry: 2, Delays: []time.Duration{0}})
		c.Assert(known(0) || known(1), qt.IsFalse)
		c.Assert(r.problem, qt.Equals, "")
		cancel()
		time.Sleep(30 * time.Second)
	})
}
