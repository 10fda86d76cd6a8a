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

// entryProcess is one simulated entry process.
type entryProcess struct {
	node      ids.Incarnation
	follower  *Follower
	transport *faultyTransport
	stop      context.CancelFunc
	ended     bool
}

// statementStep is one step of a plan. Plans are drawn before the fake clock starts.
type statementStep struct {
	Pause          time.Duration
	Entry          int
	Kind           string
	TransportFault transportFault
	PlatformFaults standin.Faults
	// StatementDelays apply to successive sends in turn; a statement with a negative
	// delay is lost.
	StatementDelays []time.Duration
}

const statementEntries = 4

func drawStatementPlan(rt *rapid.T) []statementStep {
	kinds := []string{
		"start", "start", "start", "kill", "leave", "silent", "heard", "pause", "resume",
		"link", "link", "link", "platform", "platform", "wait", "wait", "outage",
	}
	faults := []standin.Faults{{}, {}, {Down: true}, {Down: true}, {LoseResponses: true}, {DelayMS: 400}, {DelayMS: 2500}}
	links := []transportFault{{}, {}, {Cut: true}, {Cut: true}, {LoseAnswers: true}, {Delay: 300 * time.Millisecond}, {Delay: 6 * time.Second}, {Delay: 20 * time.Second}}
	delays := []time.Duration{0, 0, 0, 40 * time.Millisecond, time.Second, 4 * time.Second, -1}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) statementStep {
		return statementStep{
			Pause:           time.Duration(rapid.SampledFrom([]int{1, 500, 1000, 3000, 8000}).Draw(rt, "ms")) * time.Millisecond,
			Entry:           rapid.IntRange(0, statementEntries-1).Draw(rt, "entry"),
			Kind:            rapid.SampledFrom(kinds).Draw(rt, "kind"),
			TransportFault:  rapid.SampledFrom(links).Draw(rt, "link"),
			PlatformFaults:  rapid.SampledFrom(faults).Draw(rt, "platform"),
			StatementDelays: rapid.SliceOfN(rapid.SampledFrom(delays), 1, 5).Draw(rt, "delays"),
		}
	}), 10, 30).Draw(rt, "plan")
}

// homeQuery is a submission whose home every process determines.
type homeQuery struct {
	sub   ids.Submission
	atMS  int64
	actor ids.Incarnation // the first incarnation that found itself to be the home
}

// statementRun executes one plan.
type statementRun struct {
	ctx         context.Context
	server      *standin.Server
	started     uint64
	sent        int
	delays      []time.Duration
	exchangedAt time.Time
	queriedAt   time.Time
	queries     []*homeQuery
	problem     string
	// acts counts the decisions to act, byStatements those that needed peer statements.
	acts, byStatements int

	mu      sync.Mutex // guards running, which sponsor requests read concurrently
	running [statementEntries]*entryProcess
}

func (r *statementRun) alive() []*entryProcess {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*entryProcess
	for _, p := range r.running {
		if p != nil && !p.ended && !p.transport.isPaused() {
			list = append(list, p)
		}
	}
	return list
}

func (r *statementRun) start(i int) {
	if p := r.running[i]; p != nil && !p.ended {
		return // a name is reused only after its process has ended
	}
	r.started++
	ctx, stop := context.WithCancel(r.ctx)
	p := &entryProcess{transport: &faultyTransport{next: r.server.Transport()}, stop: stop}
	client := logstore.NewClient("http://platform", logstore.WithTransport(p.transport))
	p.follower = NewFollower(client, nil, WithPeerStatements())
	p.follower.SetSponsorRequest(requestSponsorAmong(func() []*Follower {
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

func (r *statementRun) step(s statementStep) {
	r.delays = s.StatementDelays
	p := r.running[s.Entry]
	up := p != nil && !p.ended
	switch {
	case s.Kind == "start":
		r.start(s.Entry)
	case s.Kind == "platform":
		r.server.SetFaults(s.PlatformFaults)
	case s.Kind == "outage":
		r.server.SetFaults(standin.Faults{Down: true})
	case up:
		r.stepProcess(p, s)
	}
	for end := time.Now().Add(s.Pause); time.Now().Before(end); {
		time.Sleep(min(s.Pause, 250*time.Millisecond))
		r.exchangeStatements()
		r.queryHomes()
	}
}

func (r *statementRun) stepProcess(p *entryProcess, s statementStep) {
	switch s.Kind {
	case "kill":
		r.mu.Lock()
		p.ended = true
		r.mu.Unlock()
		p.stop()
		p.transport.resume()
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
		p.transport.pause()
	case "resume":
		p.transport.resume()
	case "link":
		p.transport.setFault(s.TransportFault)
	}
}

// exchangeStatements delivers a statement of each process to every other one once
// per second, with the delays and losses of the plan.
func (r *statementRun) exchangeStatements() {
	if time.Since(r.exchangedAt) < time.Second {
		return
	}
	r.exchangedAt = time.Now()
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

func (r *statementRun) deliver(from, to *entryProcess, st wire.MemberStatement, delay time.Duration) {
	if delay == 0 {
		to.follower.ReceiveStatement(from.node, st)
		return
	}
	time.AfterFunc(delay, func() { to.follower.ReceiveStatement(from.node, st) })
}

// queryInterval limits the number of queries in a run.
const queryInterval = 500 * time.Millisecond

// queryHomes adds submissions at current times and at the limits of what each process
// knows, and compares the homes that all processes find for them and for earlier ones.
func (r *statementRun) queryHomes() {
	if time.Since(r.queriedAt) < queryInterval {
		return
	}
	r.queriedAt = time.Now()
	now := r.queriedAt.UnixMilli()
	times := []int64{now - 50, now + 450}
	for _, p := range r.alive() {
		position, known := p.follower.knownPosition()
		for _, ms := range []int64{position.KnownMS, known} {
			if ms > 0 {
				times = append(times, ms+ActivationDelayMS-1, ms+ActivationDelayMS, ms+ActivationDelayMS+1)
			}
		}
	}
	for _, at := range times {
		sub, _ := ids.ParseSubmission(fmt.Sprintf("order-%d", len(r.queries)))
		r.queries = append(r.queries, &homeQuery{sub: sub, atMS: at})
	}
	// Queries of the last 40 s are repeated at increasing intervals.
	const perRound = 2 + 6*statementEntries
	for _, back := range []int{0, 3, 8, 20, 60} {
		end := len(r.queries) - back*perRound
		for _, q := range r.queries[max(0, end-perRound):max(0, end)] {
			r.compareActors(q)
		}
	}
}

func (r *statementRun) compareActors(q *homeQuery) {
	for _, p := range r.alive() {
		home, err := p.follower.Home(q.sub, "lace", time.UnixMilli(q.atMS))
		if err != nil || home != p.node {
			continue
		}
		r.acts++
		if !ViewFinal(p.follower.records.Position().KnownMS, q.atMS) {
			r.byStatements++
		}
		if q.actor.IsZero() {
			q.actor = home
		}
		if q.actor != home && r.problem == "" {
			r.problem = fmt.Sprintf("submission %s at %d is run by both %s and %s", q.sub.Raw, q.atMS, q.actor, home)
		}
	}
}

// clearFaultsAndRecheck ends all faults and repeats every query, so that processes
// that were cut off read the same log as the others.
func (r *statementRun) clearFaultsAndRecheck() {
	r.server.SetFaults(standin.Faults{})
	for _, p := range r.running {
		if p != nil {
			p.transport.setFault(transportFault{})
			p.transport.resume()
		}
	}
	r.step(statementStep{Pause: 6 * time.Second, Kind: "wait", StatementDelays: []time.Duration{0}})
	for _, q := range r.queries {
		r.compareActors(q)
	}
}

// Guards against two incarnations that both act as the home of one submission. Processes
// start, end, pause, leave, suspect each other and restart, each with its own faults
// on the connection to the platform, and statements are delayed and lost.
func TestOneIncarnationActsWithPeerStatements(t *testing.T) {
	acts, byStatements := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawStatementPlan(rt)
		var r *statementRun
		bubble.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			r = &statementRun{ctx: ctx, server: standin.New(), delays: []time.Duration{0}}
			for i := range 3 {
				r.start(i)
			}
			r.step(statementStep{Pause: 8 * time.Second, Kind: "wait", StatementDelays: []time.Duration{0}})
			for _, s := range plan {
				r.step(s)
			}
			r.clearFaultsAndRecheck()
			cancel()
			time.Sleep(30 * time.Second) // delayed calls must end before the fake clock stops
		})
		acts += r.acts
		byStatements += r.byStatements
		if r.problem != "" {
			rt.Fatal(r.problem)
		}
	})
	t.Logf("%d decisions to act, %d by peer statements", acts, byStatements)
	if byStatements == 0 {
		t.Error("no decision needed peer statements")
	}
}

// Guards against statements that never allow an entry to act during an outage of the
// log, and against an entry that acts without a statement of every member.
func TestPeerStatementsDuringLogOutage(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := &statementRun{ctx: ctx, server: standin.New(), delays: []time.Duration{0}}
		for i := range 3 {
			r.start(i)
		}
		wait := func(d time.Duration, delays ...time.Duration) {
			r.step(statementStep{Pause: d, Kind: "wait", StatementDelays: delays})
		}
		known := func(i int) bool {
			_, ms := r.running[i].follower.knownPosition()
			return ViewFinal(ms, time.Now().UnixMilli())
		}
		wait(10*time.Second, 0)
		r.server.SetFaults(standin.Faults{Down: true})
		for end := time.Now().Add(time.Hour); time.Now().Before(end); time.Sleep(time.Second) {
			r.exchangeStatements()
		}
		wait(5*time.Second, 0)
		for i := range 3 {
			c.Assert(known(i), qt.IsTrue, qt.Commentf("entry %d", i))
		}
		r.step(statementStep{Pause: 5 * time.Second, Kind: "kill", Entry: 2, StatementDelays: []time.Duration{0}})
		c.Assert(known(0) || known(1), qt.IsFalse)
		c.Assert(r.problem, qt.Equals, "")
		cancel()
		time.Sleep(30 * time.Second)
	})
}
