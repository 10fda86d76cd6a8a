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

// membershipStep is one step of a plan. Plans are drawn before the fake clock starts.
type membershipStep struct {
	Pause  time.Duration
	Entry  int // index of the entry that the step applies to
	Kind   string
	Faults standin.Faults
}

func drawPlan(rt *rapid.T) []membershipStep {
	kinds := []string{"start", "start", "stop", "stop", "leave", "silent", "silent", "heard", "faults", "faults", "wait", "wait"}
	faults := []standin.Faults{{}, {}, {Down: true}, {LoseResponses: true}, {DelayMS: 400}, {DelayMS: 2500}}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) membershipStep {
		return membershipStep{
			Pause: time.Duration(rapid.SampledFrom([]int{1, 300, 1100, 4000, 15_000}).Draw(rt, "ms")) * time.Millisecond,
			Entry: rapid.IntRange(0, 2).Draw(rt, "entry"), Kind: rapid.SampledFrom(kinds).Draw(rt, "kind"),
			Faults: rapid.SampledFrom(faults).Draw(rt, "faults"),
		}
	}), 5, 40).Draw(rt, "plan")
}

// testRetention is short, so that records expire and resets occur within a plan.
const testRetention = 40 * time.Second

type entryState struct {
	follower *Follower
	stop     context.CancelFunc // nil when stopped
}

// homeSample is a submission with the home that a follower has found first.
type homeSample struct {
	sub  ids.Submission
	at   time.Time
	home string
}

type membershipRun struct {
	ctx     context.Context
	server  *standin.Server
	mu      sync.Mutex // guards running, which sponsor requests read concurrently
	running [3]entryState
	// all includes stopped followers, since a paused process may still find homes.
	all      []*Follower
	samples  []homeSample
	started  uint64
	answered int
	problem  string
}

func (r *membershipRun) start(i int) {
	if r.running[i].stop != nil {
		return
	}
	r.started++
	ctx, stop := context.WithCancel(r.ctx)
	client := logstore.NewClient("http://platform", logstore.WithTransport(r.server.Transport()))
	f := NewFollower(client, nil, WithRetention(testRetention))
	f.SetSponsorRequest(requestSponsorAmong(r.runningFollowers))
	go func() { _ = f.Run(ctx) }()
	m := testMember(fmt.Sprintf("entry-%d", i), r.started)
	go func() { _ = f.Join(ctx, m) }()
	r.set(i, entryState{follower: f, stop: stop})
	r.all = append(r.all, f)
}

// runningFollowers returns the followers that sponsor requests can reach.
func (r *membershipRun) runningFollowers() []*Follower {
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

// set replaces the state of entry i.
func (r *membershipRun) set(i int, e entryState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[i] = e
}

func (r *membershipRun) step(s membershipStep) {
	e := &r.running[s.Entry]
	switch s.Kind {
	case "start":
		r.start(s.Entry)
	case "stop": // without a leave record
		if e.stop != nil {
			e.stop()
			r.set(s.Entry, entryState{follower: e.follower})
		}
	case "leave":
		if e.stop != nil {
			f := e.follower // the step "start" replaces e.follower
			go func() { _ = f.Leave(r.ctx) }()
		}
	case "silent": // reports all members, whether reachable or not
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
		r.sampleHomes()
	}
}

// sampleHomes compares the homes that all followers find for a new submission and for
// earlier ones.
func (r *membershipRun) sampleHomes() {
	sub, _ := ids.ParseSubmission(fmt.Sprintf("order-%d", len(r.samples)))
	r.samples = append(r.samples, homeSample{sub: sub, at: time.Now().Add(-50 * time.Millisecond)})
	for _, back := range []int{1, 7, 20, 33, 50, 100} {
		if back > len(r.samples) {
			break
		}
		s := &r.samples[len(r.samples)-back]
		for _, f := range r.all {
			r.compareHome(s, f)
		}
	}
}

func (r *membershipRun) compareHome(s *homeSample, f *Follower) {
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

// clearFaultsAndCheck ends the faults of the platform, restarts all entries and checks
// that they become members.
func (r *membershipRun) clearFaultsAndCheck() {
	r.server.SetFaults(standin.Faults{})
	var want []string
	for i := range r.running {
		if r.running[i].stop != nil {
			r.running[i].stop()
			r.set(i, entryState{follower: r.running[i].follower})
		}
		r.start(i)
		want = append(want, fmt.Sprintf("entry-%d", i))
	}
	r.step(membershipStep{Pause: 20 * time.Second, Kind: "wait"})
	for _, e := range r.running {
		var names []string
		for _, a := range e.follower.Addresses() {
			names = append(names, a.Node.Name)
		}
		if !slices.Equal(names, want) && r.problem == "" {
			r.problem = fmt.Sprintf("members at the end are %v", names)
		}
	}
}

// Guards against two followers that find different homes for one submission at any
// times, and against entries that never become members. Entries start, stop, leave and
// suspect each other, records expire, and the log is down, slow or loses responses.
func TestFollowersNeverDisagreeOnHome(t *testing.T) {
	answered := 0
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt)
		var r *membershipRun
		bubble.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			r = &membershipRun{ctx: ctx, server: standin.New(standin.WithRetention(testRetention))}
			r.start(0)
			for _, s := range plan {
				r.step(s)
			}
			r.clearFaultsAndCheck()
			cancel()
			time.Sleep(5 * time.Second) // delayed calls must end before the fake clock stops
		})
		answered += r.answered
		if r.problem != "" {
			rt.Fatal(r.problem)
		}
	})
	t.Logf("%d homes compared", answered)
}

// Guards against a partition between two members whose two sides fill the log with leave
// and join records because both still reach the log.
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
		// Backoffs of 5 s to 160 s allow 7 rejoins of each side, with a leave record each.
		c.Assert(len(batch.Records) <= 2+2*2*8, qt.IsTrue, qt.Commentf("%d records", len(batch.Records)))
	})
}

// Guards against the same when each side reports the other only while it is in the view,
// so that the other can join again. Both leave records are written each time, but the
// second has no effect.
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
		// Backoffs of 5 s to 160 s allow at most 8 rejoins of each side, with a join and
		// two leave records each.
		c.Assert(len(batch.Records) <= 2+2*8*3, qt.IsTrue, qt.Commentf("%d records", len(batch.Records)))
		c.Assert(len(batch.Records) > 2+3, qt.IsTrue, qt.Commentf("%d records, none joined again", len(batch.Records)))
	})
}

// Guards against several leave records for one suspect, and against none when the member
// that is first in turn is also a suspect.
func TestLeaveStagger(t *testing.T) {
	c := qt.New(t)
	var members []Member
	for i := range 4 {
		members = append(members, testMember(fmt.Sprintf("entry-%d", i), uint64(i)))
	}
	suspects := map[ids.Incarnation]time.Time{members[2].Node: {}}
	delay := func(self int) time.Duration {
		return leaveDelay(members, suspects, members[2].Node, members[self].Node)
	}
	c.Assert([]time.Duration{delay(3), delay(0), delay(1)}, qt.DeepEquals, []time.Duration{0, leaveStagger, 2 * leaveStagger})
	suspects[members[3].Node] = time.Time{}
	c.Assert([]time.Duration{delay(0), delay(1)}, qt.DeepEquals, []time.Duration{0, leaveStagger})
}
