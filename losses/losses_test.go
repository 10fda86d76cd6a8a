package losses

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// logText builds the log lines of several processes.
type logText struct {
	strings.Builder
	prefix string
}

var midnight = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// add appends a line that the process node wrote atMS after midnight.
func (l *logText) add(atMS int, node string, code int, fields string) {
	at := midnight.Add(time.Duration(atMS) * time.Millisecond).Format(time.RFC3339Nano)
	fmt.Fprintf(l, "%slevel=info ts=%s node=%s event=%d msg=\"m\" %s\n", l.prefix, at, node, code, fields)
}

const admittedFields = "queue=q tasks=1 objective_ms=220 needs_ms=100 stretch=1.6 target_ms=60 typical_slowness=1"

// admit appends the admission of a job.
func (l *logText) admit(atMS int, id string) {
	l.add(atMS, "entry-1.a1", 600, "job="+id+" "+admittedFields)
}

// runTask appends an order and the end of its run. The declared run time is 100 ms.
func (l *logText) runTask(atMS int, id, agent string, index, run, waitedMS, tookMS int, state string) {
	task := fmt.Sprintf("task=%s.0.0.%d run=%d", id, index, run)
	l.add(atMS, "entry-1.a1", 604, fmt.Sprintf("%s agent=%s waited_ms=%d heard_ms_ago=5 slowness=1000", task, agent, waitedMS))
	l.add(atMS+tookMS, agent+".b1", 620, fmt.Sprintf("%s state=%s reason=none estimate_ms=100 took_ms=%d waited_ms=0", task, state, tookMS))
}

func (l *logText) end(atMS int, id string, tookMS int) {
	l.add(atMS, "entry-1.a1", 602, fmt.Sprintf("job=%s queue=q state=completed took_ms=%d objective_ms=220 in_time=%t", id, tookMS, tookMS <= 220))
}

func analyse(t *testing.T, l *logText) Report {
	t.Helper()
	a := New()
	qt.Assert(t, a.Read(strings.NewReader(l.String())), qt.IsNil)
	return a.Report()
}

// addOnTimeJobs appends four jobs at an agent whose runs take the declared run time.
func (l *logText) addOnTimeJobs(atMS int, agent string) {
	for i := range 4 {
		id := fmt.Sprintf("%015d%d", i, atMS%10)
		l.admit(atMS, id)
		l.runTask(atMS, id, agent, 0, 1, 0, 100, "done")
		l.end(atMS+101, id, 101)
	}
}

const lostJob = "00000000000000ff"

// Guards against jobs that are assigned a wrong cause, two causes, or none.
func TestCauses(t *testing.T) {
	tests := []struct {
		cause Cause
		add   func(l *logText)
	}{
		{CallerTimeout, func(l *logText) {
			l.admit(0, lostJob)
			l.add(50, "entry-1.a1", 601, "job="+lostJob+" queue=q kind=queue_full need_millicores=6000 free_millicores=9000 heard_ms=40")
		}},
		{NoCapacity, func(l *logText) {
			l.admit(0, lostJob)
			l.add(50, "entry-1.a1", 601, "job="+lostJob+" queue=q kind=queue_full need_millicores=6000 free_millicores=3000 heard_ms=40")
		}},
		{NoneAvailable, func(l *logText) {
			l.add(50, "entry-1.a1", 601, "job="+lostJob+" queue=q kind=no_endpoint")
		}},
		{StoreUnavailable, func(l *logText) {
			l.add(50, "entry-1.a1", 601, "job="+lostJob+" queue=q kind=log_unavailable")
		}},
		{ProcessLost, func(l *logText) {
			l.admit(0, lostJob)
			l.add(300, "entry-1.a2", 500, "role=entry")
		}},
		{ProcessLost, func(l *logText) {
			l.admit(0, lostJob)
			l.runTask(0, lostJob, "agent-1", 0, 1, 0, 10, "lost")
			l.add(300, "entry-1.a1", 605, "task="+lostJob+".0.0.0 run=1 why=lost agent=agent-1")
			l.runTask(300, lostJob, "agent-2", 0, 2, 300, 100, "done")
			l.end(401, lostJob, 401)
		}},
		{WaitedForCapacity, func(l *logText) {
			l.admit(0, lostJob)
			l.runTask(200, lostJob, "agent-1", 0, 1, 200, 100, "done")
			l.end(301, lostJob, 301)
		}},
		{OrderLost, func(l *logText) {
			l.admit(0, lostJob)
			l.add(0, "entry-1.a1", 604, "task="+lostJob+".0.0.0 run=1 agent=agent-1 waited_ms=0 slowness=1000")
			l.add(200, "entry-1.a1", 605, "task="+lostJob+".0.0.0 run=1 why=unanswered agent=agent-1")
			l.runTask(200, lostJob, "agent-2", 0, 2, 0, 100, "done")
			l.end(301, lostJob, 301)
		}},
		{AgentFull, func(l *logText) {
			l.admit(0, lostJob)
			l.add(0, "entry-1.a1", 604, "task="+lostJob+".0.0.0 run=1 agent=agent-1 waited_ms=0 slowness=1000")
			l.add(180, "entry-1.a1", 605, "task="+lostJob+".0.0.0 run=1 why=no_room agent=agent-1")
			l.runTask(180, lostJob, "agent-2", 0, 2, 0, 100, "done")
			l.end(281, lostJob, 281)
		}},
		{UselessMove, func(l *logText) {
			l.admit(0, lostJob)
			l.runTask(0, lostJob, "agent-1", 0, 1, 0, 150, "stopped")
			l.add(100, "entry-1.a1", 606, "task="+lostJob+".0.0.0 run=1 agent=agent-1 remaining_ms=500")
			l.add(150, "entry-1.a1", 605, "task="+lostJob+".0.0.0 run=1 why=stopped agent=agent-1")
			l.runTask(150, lostJob, "agent-2", 0, 2, 0, 100, "done")
			l.end(251, lostJob, 251)
		}},
		{RunFailed, func(l *logText) {
			l.admit(0, lostJob)
			l.runTask(0, lostJob, "agent-1", 0, 1, 0, 150, "failed")
			l.add(150, "entry-1.a1", 605, "task="+lostJob+".0.0.0 run=1 why=failed agent=agent-1")
			l.runTask(150, lostJob, "agent-2", 0, 2, 0, 100, "done")
			l.end(251, lostJob, 251)
		}},
		{SlowPlacement, func(l *logText) {
			l.admit(0, lostJob)
			l.add(0, "entry-1.a1", 604, "task="+lostJob+".0.0.0 run=1 agent=agent-1 waited_ms=0 slowness=3000")
			l.add(300, "agent-1.b1", 620, "task="+lostJob+".0.0.0 run=1 state=done estimate_ms=100 took_ms=300 waited_ms=0")
			l.end(301, lostJob, 301)
		}},
		{EndpointSlowed, func(l *logText) {
			for i := range 3 {
				id := fmt.Sprintf("%015da", i)
				l.admit(0, id)
				l.runTask(0, id, "agent-1", 0, 1, 0, 400, "done")
			}
			l.admit(0, lostJob)
			l.runTask(0, lostJob, "agent-1", 0, 1, 0, 400, "done")
			l.end(401, lostJob, 401)
		}},
		{Straggler, func(l *logText) {
			l.addOnTimeJobs(0, "agent-1")
			l.admit(0, lostJob)
			l.runTask(0, lostJob, "agent-2", 0, 1, 0, 100, "done")
			l.runTask(0, lostJob, "agent-3", 1, 1, 0, 100, "done")
			l.runTask(0, lostJob, "agent-1", 2, 1, 0, 130, "done")
			l.end(400, lostJob, 400)
			l.add(200, "entry-1.a1", 604, "task="+lostJob+".0.0.3 run=1 agent=agent-1 waited_ms=0 slowness=1000")
			l.add(399, "agent-1.b1", 620, "task="+lostJob+".0.0.3 run=1 state=failed estimate_ms=100 took_ms=199 waited_ms=0")
		}},
		{ProcessingDelay, func(l *logText) {
			l.admit(0, lostJob)
			l.runTask(0, lostJob, "agent-1", 0, 1, 0, 100, "done")
			l.end(400, lostJob, 400)
		}},
		{Unexplained, func(l *logText) {
			l.admit(0, lostJob)
			l.end(400, lostJob, 400)
		}},
	}
	for _, tt := range tests {
		t.Run(string(tt.cause), func(t *testing.T) {
			l := new(logText)
			tt.add(l)
			r := analyse(t, l)
			i := -1
			for k, x := range r.Losses {
				if x.Job == lostJob {
					i = k
				}
			}
			qt.Assert(t, i >= 0, qt.IsTrue, qt.Commentf("job is not reported as lost: %+v", r))
			qt.Check(t, r.Losses[i].Cause, qt.Equals, tt.cause)
			sum := 0
			for _, c := range r.Causes {
				sum += c.Jobs
			}
			qt.Check(t, sum, qt.Equals, r.Lost)
			qt.Check(t, r.InTime+r.Lost, qt.Equals, r.Jobs)
			qt.Check(t, r.Causes, qt.HasLen, len(Causes()))
		})
	}
}

// Guards against objectives that follow the declared run time instead of the actual work: a job
// whose work was larger than declared counts as lost although it met the objective of that
// work, and a job whose work was smaller counts as in time.
func TestObjectiveFollowsTheWork(t *testing.T) {
	l := new(logText)
	l.admit(0, "000000000000000a")
	l.runTask(0, "000000000000000a", "agent-1", 0, 1, 0, 250, "done")
	l.end(260, "000000000000000a", 260) // the objective is 1.6 x 250 + 60 ms
	l.admit(0, "000000000000000b")
	l.runTask(100, "000000000000000b", "agent-1", 0, 1, 100, 50, "done")
	l.end(160, "000000000000000b", 160) // the objective is 1.6 x 50 + 60 ms
	r := analyse(t, l)
	qt.Check(t, r.InTime, qt.Equals, 1)
	qt.Assert(t, r.Losses, qt.HasLen, 1)
	qt.Check(t, r.Losses[0], qt.Equals, Loss{Job: "000000000000000b", Queue: "q", Cause: WaitedForCapacity})
}

// Guards against forwarded jobs that are counted at both entries or classified only by the lines
// of the placement entry, and against disconnected callers that count as losses.
func TestForwardedJobs(t *testing.T) {
	l := new(logText)
	l.prefix = "  12.25 host-3 "
	forward := func(id string) {
		l.add(0, "front-1.c1", 607, "job="+id+" queue=q entry=entry-1.a1 number=1 waited_ms=0")
		l.add(1, "entry-1.a1", 609, "job="+id+" entry=front-1.c1 number=1 elapsed_ms=0")
		l.admit(1, id)
	}
	forward("000000000000000a")
	l.runTask(1, "000000000000000a", "agent-1", 0, 1, 0, 100, "done")
	l.end(102, "000000000000000a", 101)
	l.add(103, "front-1.c1", 608, "job=000000000000000a state=completed error=null took_ms=103")
	forward("000000000000000b")
	l.add(50, "entry-1.a1", 601, "job=000000000000000b queue=q kind=queue_full free_millicores=0 need_millicores=1")
	l.add(51, "front-1.c1", 608, `job=000000000000000b state= error="queue_full: no endpoint has room in time" took_ms=51`)
	forward("000000000000000c")
	l.add(50, "entry-1.a1", 603, "job=000000000000000c left=1")
	l.add(51, "front-1.c1", 608, `job=000000000000000c state= error="cancelled_running: the caller has gone" took_ms=51`)
	l.WriteString("a line of another program\nlevel=info ts=yesterday event=600 job=x\n")
	r := analyse(t, l)
	qt.Check(t, r.Jobs, qt.Equals, 2)
	qt.Check(t, r.InTime, qt.Equals, 1)
	qt.Check(t, r.Abandoned, qt.Equals, 1)
	qt.Check(t, r.Skipped, qt.Equals, 1)
	qt.Assert(t, r.Losses, qt.HasLen, 1)
	qt.Check(t, r.Losses[0].Cause, qt.Equals, NoCapacity)
}

// Guards against changed field names in the JSON report, which tools rely on, and against a
// timeline without the outcome.
func TestOutputs(t *testing.T) {
	l := new(logText)
	l.admit(0, lostJob)
	l.runTask(200, lostJob, "agent-1", 0, 1, 200, 100, "done")
	l.end(301, lostJob, 301)
	a := New()
	qt.Assert(t, a.Read(strings.NewReader(l.String())), qt.IsNil)
	var out bytes.Buffer
	qt.Assert(t, a.Report().WriteJSON(&out), qt.IsNil)
	var decoded struct {
		Jobs   int `json:"jobs"`
		InTime int `json:"in_time"`
		Lost   int `json:"lost"`
		Causes []struct {
			Cause string `json:"cause"`
			Jobs  int    `json:"jobs"`
		} `json:"causes"`
	}
	qt.Assert(t, json.Unmarshal(out.Bytes(), &decoded), qt.IsNil)
	qt.Check(t, decoded.Jobs, qt.Equals, 1)
	qt.Check(t, decoded.Lost, qt.Equals, 1)
	qt.Check(t, decoded.Causes[0].Cause, qt.Equals, "waited for room")
	qt.Check(t, decoded.Causes, qt.HasLen, len(Causes()))
	out.Reset()
	qt.Assert(t, a.Report().WriteTable(&out), qt.IsNil)
	qt.Check(t, strings.Contains(out.String(), "waited for room"), qt.IsTrue)
	out.Reset()
	qt.Assert(t, a.Timeline(&out, lostJob), qt.IsNil)
	qt.Check(t, strings.Count(out.String(), "\n"), qt.Equals, 5)
	qt.Check(t, strings.HasSuffix(out.String(), "lost: waited for room\n"), qt.IsTrue)
	qt.Check(t, a.Timeline(&out, "none"), qt.ErrorMatches, "no log line mentions job .*")
}

// Guards against crashes on lines of other programs.
func FuzzRead(f *testing.F) {
	l := new(logText)
	l.admit(0, lostJob)
	l.runTask(200, lostJob, "agent-1", 0, 1, 200, 100, "done")
	l.end(301, lostJob, 301)
	f.Add(l.String())
	f.Add("level=info ts=2026-12-04T00:00:00Z event=604 task=. run=")
	f.Fuzz(func(t *testing.T, text string) {
		a := New()
		if err := a.Read(strings.NewReader(text)); err != nil {
			return
		}
		if r := a.Report(); r.InTime+r.Lost != r.Jobs {
			t.Fatalf("%d jobs in time and %d lost do not add up to %d", r.InTime, r.Lost, r.Jobs)
		}
	})
}
