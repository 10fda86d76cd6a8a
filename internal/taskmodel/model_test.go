package taskmodel

import (
	"flag"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/executor"
	"oriolerelay/router"
)

var (
	numFaults = flag.Int("taskmodel.faults", 1, "greatest number of faults in a search of all kinds")
	kinds     = flag.String("taskmodel.kinds", "kill,pause,block,crash,mute,reset", "kinds of faults in such a search")
	maxStates = flag.Int("taskmodel.states", 6_000_000, "greatest number of states of a search, which take up to 1 KB each")
)

// selectedFaults returns the kinds of faults named by -taskmodel.kinds.
func selectedFaults() (f faults) {
	for name, kind := range map[string]*bool{
		"kill": &f.kill, "pause": &f.pause, "block": &f.block, "crash": &f.crash, "mute": &f.mute, "reset": &f.reset, "lost_reset": &f.lostReset,
	} {
		*kind = slices.Contains(strings.Split(*kinds, ","), name)
	}
	return f
}

// check searches all states and reports a violation, or a search that has not ended.
func check(t *testing.T, m *model) {
	started := time.Now()
	r := m.search(*maxStates)
	t.Logf("%d faults, %d states in %v", m.budget, r.states, time.Since(started).Round(time.Millisecond))
	if len(r.counterexample) > 0 {
		t.Errorf("two endpoints run the task:\n%s", strings.Join(r.counterexample, "\n"))
	} else if !r.complete {
		t.Errorf("the search has ended after %d states", r.states)
	}
}

// Guards against overlapping runs of a task of a caller that waits before it submits the job again,
// whichever entries its copies meet at, and whichever process fails, is paused or cut off.
func TestRunsDoNotOverlap(t *testing.T) {
	for name, set := range map[string]func(m *model){
		"shared agents": func(*model) {},
		"shared agents, copies at different entries":     func(m *model) { m.anyPlacement = true },
		"placement entries, copies at different entries": func(m *model) { m.ownAgents, m.anyPlacement = true, true },
	} {
		t.Run(name, func(t *testing.T) {
			m := newModel(selectedFaults(), uint8(*numFaults))
			set(m)
			check(t, m)
		})
	}
}

// Guards against overlapping runs of a task after combinations of two faults of the kinds that have
// caused them most often.
func TestRunsDoNotOverlapAfterTwoFaults(t *testing.T) {
	for name, f := range map[string]faults{
		"kills":  {kill: true, reset: true},
		"pauses": {pause: true},
	} {
		t.Run(name, func(t *testing.T) { check(t, newModel(f, 2)) })
	}
}

// Guards against overlapping runs of a task of a caller whose request is reset and that submits the
// job to another entry at once.
func TestRunsOfPromptCallerDoNotOverlap(t *testing.T) {
	m := newModel(faults{reset: true}, 2)
	m.promptCaller = true
	check(t, m)
}

// Guards against a model that would miss a time bound that is too long or too short.
func TestViolationsAreFound(t *testing.T) {
	tests := []struct {
		name   string
		faults faults
		set    func(m *model)
	}{
		{"lease", faults{kill: true}, func(m *model) { m.bounds.lease += 4 }},
		{"orphan timeout", faults{kill: true}, func(m *model) { m.bounds.orphanTimeout -= 4 }},
		{"order age", faults{pause: true}, func(m *model) { m.bounds.maxOrderAge += 8 }},
		{"caller's delay", faults{kill: true}, func(m *model) { m.bounds.callerResend = 2 }},
		{"copies at different entries", faults{reset: true}, func(m *model) { m.promptCaller, m.anyPlacement = true, true }},
		{"lost end of a request", faults{lostReset: true}, func(m *model) { m.anyPlacement = true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newModel(tt.faults, 1)
			tt.set(m)
			started := time.Now()
			r := m.search(*maxStates)
			t.Logf("%d states in %v:\n%s", r.states, time.Since(started).Round(time.Millisecond), strings.Join(r.counterexample, "\n"))
			if len(r.counterexample) == 0 {
				t.Error("no violation was found")
			}
		})
	}
}

// Guards against steps that round a time bound so that the model has more or less time than the system.
func TestBoundsInSteps(t *testing.T) {
	c := qt.New(t)
	b, agents := defaultBounds(), executor.DefaultTiming(time.Minute)
	for _, exact := range []time.Duration{agents.EntryTimeout, router.PeerTimeout, router.MaxForwarderAge, connIdleTimeout} {
		c.Check(exact%step, qt.Equals, time.Duration(0))
	}
	c.Check(agents.MaxOrderAge+agents.Lease <= agents.OrphanTimeout(), qt.IsTrue)
	c.Check(b.maxOrderAge+b.lease <= b.orphanTimeout, qt.IsTrue)
	c.Check(agents.EntryTimeout+agents.Lease <= callerResendDelay, qt.IsTrue)
	c.Check(b.entryTimeout+b.lease <= b.callerResend, qt.IsTrue)
	c.Check(router.PeerTimeout+agents.EntryTimeout+agents.Lease <= callerResendDelay, qt.Equals, b.peerTimeout+b.entryTimeout+b.lease <= b.callerResend)
}
