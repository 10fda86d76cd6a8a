package members

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/internal/bubble"
	"oriolerelay/logstore"
	"oriolerelay/logstore/standin"
)

// raceStep is one step of a plan that is drawn before the fake clock starts.
type raceStep struct {
	Pause  time.Duration
	Entry  int // the entry that the step concerns
	Kind   string
	Faults standin.Faults
}

func drawPlan(rt *rapid.T) []raceStep {
	kinds := []string{"start", "start", "stop", "stop", "leave", "silent", "silent", "heard", "faults", "faults", "wait", "wait"}
	faults := []standin.Faults{{}, {}, {Down: true}, {LoseAnswers: true}, {DelayMS: 400}, {DelayMS: 2500}}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) raceStep {
		return raceStep{
			Pause: time.Duration(rapid.SampledFrom([]int{1, 300, 1100, 4000, 15_000}).Draw(rt, "ms")) * time.Millisecond,
			Entry: rapid.IntRange(0, 2).Draw(rt, "entry"), Kind: rapid.SampledFrom(kinds).Draw(rt, "kind"),
			Faults: rapid.SampledFrom(faults).Draw(rt, "faults"),
		}
	}), 5, 40).Draw(rt, "plan")
}

// testRetention is short, so that plans reach expired records and resets.
const testRetention = 40 * time.Second

type raceEntry struct {
	follower *Follower
	stop     context.CancelFunc // nil when stopped
}

// placed is a submission with the home that some follower gave.
type placed struct {
	sub  ids.Submission
	at   time.Time
	home string
}

type race struct {
	ctx     context.Context
	server  *standin.Server
	mu      sync.Mutex // guards running against the asking processes
	running [3]raceEntry
	// all holds stopped followers too: a paused process may still answer.
	all      []*Follower
	samples  []placed
	started  uint64
	answered int
	problem  string
}

func (r *race) start(i int) {
	if r.running[i].stop != nil {
		return
	}
	r.started++
	ctx, stop := context.WithCancel(r.ctx)
	client := logstore.NewClient("http://platform", logstore.WithTransport(r.server.Transport()))
	f := NewFollower(client, nil, WithRetention(testRetention))
	f.SetAsk(askAmong(r.runningFollowers))
	go func() { _ = f.Run(ctx) }()
	m := testMember(fmt.Sprintf("entry-%d", i), r.started)
	go func() { _ = f.Join(ctx, m) }()
	r.set(i, raceEntry{follower: f, stop: stop})
	r.all = append(r.all, f)
}

// runningFollowers returns the followers that can be asked.
func (r *race) runningFollowers() []*Follower {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*Follower
	for _, e := range r.running {
		if e.stop != nil {
			list = append(list, e.follower)
		}
	}
	return list
}

// set replaces the process of entry i.
func (r *race) set(i int, e raceEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[i] = e
}

func (r *race) step(s raceStep) {
	e := &r.running[s.Entry]
	switch s.Kind {
	case "start":
		r.start(s.Entry)
	case "stop": // without a leave record
		if e.stop != nil {
			e.stop()
			r.set(s.Entry, raceEntry{follower: e.follower})
		}
	case "leave":
		if e.stop != nil {
			f := e.follower // the step "start" replaces e.follower
			go func() { _ = f.Leave(r.ctx) }()
		}
	case "silent": // everybody else, rightly or wrongly
		if e.stop != nil {
			var nodes []ids.Incarnation
			for _, a := range e.follower.Addresses() {
				nodes = append(nodes, a.Node)
			}
			e.follower.ReportSuspects(nodes)
		}
	case "heard":
		if e.stop != nil {
			e.follower.ReportSuspects(nil)
		}
	case "faults":
		r.server.SetFaults(s.Faults)
	}
	for end := time.Now().Add(s.Pause); time.Now().Before(end); {
		time.Sleep(min(s.Pause, 250*time.Millisecond))
		r.sample()
	}
}

// sample places new and earlier submissions at every follower.
func (r *race) sample() {
	sub, _ := ids.ParseSubmission(fmt.Sprintf("order-%d", len(r.samples)))
	r.samples = append(r.samples, placed{sub: sub, at: time.Now().Add(-50 * time.Millisecond)})
	for _, back := range []int{1, 7, 20, 33, 50, 100} {
		if back > len(r.samples) {
			break
		}
		s := &r.samples[len(r.samples)-back]
		for _, f := range r.all {
			r.compare(s, f)
		}
	}
}

func (r *race) compare(s *placed, f *Follower) {
	home, err := f.Home(s.sub, "lace", s.at)
	got := home.String()
	switch e := errkind.From(err); {
	case e == nil || e.Kind == errkind.HomeLost:
	case e.Kind == errkind.HomeUnknown && e.Answer().Outcome == errkind.NotRun:
		got = "none"
	case e.Kind == errkind.HomeUnknown || e.Kind == errkind.SubmissionStale:
		return
	default:
		r.problem = err.Error()
		return
	}
	r.answered++
	if s.home == "" {
		s.home = got
	}
	if s.home != got {
		r.problem = fmt.Sprintf("%s at %d has home %s and %s", s.sub.Raw, s.at.UnixMilli(), s.home, got)
	}
}

// settle heals the platform and checks that all entries become members again.
func (r *race) settle() {
	r.server.SetFaults(standin.Faults{})
	var want []string
	for i := range r.running {
		if r.running[i].stop != nil {
			r.running[i].stop()
			r.set(i, raceEntry{follower: r.running[i].follower})
		}
		r.start(i)
		want = append(want, fmt.Sprintf("entry-%d", i))
	}
	r.step(raceStep{Pause: 20 * time.Second, Kind: "wait"})
	for _, e := range r.running {
		var names []string
		for _, a := range e.follower.Addresses() {
			names = append(names, a.Node.Name)
		}
		if !slices.Equal(names, want) && r.problem == "" {
			r.problem = fmt.Sprintf("members are %v", names)
		}
	}
}

// Guards against two homes of one submission, given by any two followers at any
// times, while entries start, stop, leave, suspect each other and start again,
// records expire, and the log is down, slow or loses answers. Guards as well
// against entries that never become members.
func TestFollowersNeverDisagreeOnAHome(t *testing.T) {
	answered := 0
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt)
		var r *race
		bubble.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			r = &race{ctx: ctx, server: standin.New(standin.WithRetention(testRetention))}
			r.start(0)
			for _, s := range plan {
				r.step(s)
			}
			r.settle()
			cancel()
			time.Sleep(5 * time.Second) // calls that the platform still delays must end in the bubble
		})
		answered += r.answered
		if r.problem != "" {
			rt.Fatal(r.problem)
		}
	})
	t.Logf("%d placements compared", answered)
}

// Guards against a partition whose two sides fill the log with leave and join
// records while both reach the log.
func TestMutualSuspicionWritesFewRecords(t *testing.T) {
	inBubble(t, func(c *qt.C, server *standin.Server, start func() *Follower) {
		a, b := start(), start()
		memberA, memberB := testMember("entry-a", 1), testMember("entry-b", 2)
		c.Assert(a.Join(c.Context(), memberA), qt.IsNil)
		c.Assert(b.Join(c.Context(), memberB), qt.IsNil)
		const minutes = 10
		for range minutes * 60 {
			a.ReportSuspects([]ids.Incarnation{memberB.Node})
			b.ReportSuspects([]ids.Incarnation{memberA.Node})
			time.Sleep(time.Second)
		}
		client := logstore.NewClient("http://platform", logstore.WithTransport(server.Transport()))
		batch, err := client.Read(c.Context(), Stream, 0, 1000)
		c.Assert(err, qt.IsNil)
		// Pauses of 5 s to 160 s give 7 rejoins of each side, with a leave record each.
		c.Assert(len(batch.Records) <= 2+2*2*8, qt.IsTrue, qt.Commentf("%d records", len(batch.Records)))
	})
}

// Guards against the same when each side reports the other only while it is in the
// view, and then lets it join again. Both leave records are written each time, but
// the fold ignores the second.
func TestMutualSuspicionOfMembersWritesFewRecords(t *testing.T) {
	inBubble(t, func(c *qt.C, server *standin.Server, start func() *Follower) {
		a, b := start(), start()
		c.Assert(a.Join(c.Context(), testMember("entry-a", 1)), qt.IsNil)
		c.Assert(b.Join(c.Context(), testMember("entry-b", 2)), qt.IsNil)
		const minutes = 10
		for range minutes * 60 {
			for _, f := range []*Follower{a, b} {
				var others []ids.Incarnation
				for _, e := range f.Addresses() {
					if e.Node != f.node {
						others = append(others, e.Node)
					}
				}
				f.ReportSuspects(others)
			}
			time.Sleep(time.Second)
		}
		client := logstore.NewClient("http://platform", logstore.WithTransport(server.Transport()))
		batch, err := client.Read(c.Context(), Stream, 0, 1000)
		c.Assert(err, qt.IsNil)
		// Pauses of 5 s to 160 s give at most 8 rejoins of each side, with a join and
		// two leave records each.
		c.Assert(len(batch.Records) <= 2+2*8*3, qt.IsTrue, qt.Commentf("%d records", len(batch.Records)))
		c.Assert(len(batch.Records) > 2+3, qt.IsTrue, qt.Commentf("%d records, none joined again", len(batch.Records)))
	})
}

// Guards against several leave records for one silent member, and against none
// when the first in turn is silent too.
func TestLeaveTurns(t *testing.T) {
	c := qt.New(t)
	var members []Member
	for i := range 4 {
		members = append(members, testMember(fmt.Sprintf("entry-%d", i), uint64(i)))
	}
	silent := map[ids.Incarnation]time.Time{members[2].Node: {}}
	delay := func(self int) time.Duration { return leaveDelay(members, silent, members[2].Node, members[self].Node) }
	c.Assert([]time.Duration{delay(3), delay(0), delay(1)}, qt.DeepEquals, []time.Duration{0, leaveStep, 2 * leaveStep})
	silent[members[3].Node] = time.Time{}
	c.Assert([]time.Duration{delay(0), delay(1)}, qt.DeepEquals, []time.Duration{0, leaveStep})
}
