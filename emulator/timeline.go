package emulator

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oriolerelay/endpointapi"
	"oriolerelay/job"
	"oriolerelay/wire"
)

// timeline records the messages between the processes of a system, the submissions of callers and
// the injected faults, so that a violation can be traced.
type timeline struct {
	mu         sync.Mutex
	lastNumber int // of a connection
	events     []timelineEvent
}

// timelineEvent is a handled message, or a note about a submission or a fault.
type timelineEvent struct {
	at         time.Time
	connection int // number of the connection of a message
	from, to   string
	message    wire.Message
	note       string
	job        string // of a note; empty for a fault
}

// newConnection returns the number for another connection.
func (t *timeline) newConnection() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastNumber++
	return t.lastNumber
}

// addMessage records a message that is being handled.
func (t *timeline) addMessage(connection int, from, to string, m wire.Message) {
	switch m.(type) {
	case *wire.Orders, *wire.Reports, *wire.Stop, *wire.Claim, *wire.Place, *wire.PlaceResult, *wire.Withdraw:
		t.add(timelineEvent{connection: connection, from: from, to: to, message: m})
	}
}

// addFault records an injected fault.
func (t *timeline) addFault(format string, args ...any) {
	t.add(timelineEvent{note: fmt.Sprintf(format, args...)})
}

// addSubmission records what happens to a submission of a job.
func (t *timeline) addSubmission(id, format string, args ...any) {
	t.add(timelineEvent{job: id, note: fmt.Sprintf(format, args...)})
}

func (t *timeline) add(e timelineEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.at = time.Now()
	t.events = append(t.events, e)
}

var endNames = map[endpointapi.End]string{
	endpointapi.EndDone: "done", endpointapi.EndFailed: "failed", endpointapi.EndStopped: "stopped",
	endpointapi.EndLeaseExpired: "lease expired or endpoint down",
}

// faultLead is how long before the first event of a task its timeline begins to list faults.
const faultLead = 2 * time.Second

// ofTask returns a line for each event of a task with the given runs, and for each fault around
// them, in order of time.
func (t *timeline) ofTask(task string, runs []Run) []string {
	type line struct {
		at   time.Time
		text string
	}
	var lines, faults []line
	for _, r := range runs {
		if r.ID.Task != task {
			continue
		}
		lines = append(lines, line{r.Start, fmt.Sprintf("%s: run %d begins", r.Endpoint, r.ID.Number)})
		if !r.End.IsZero() {
			lines = append(lines, line{r.End, fmt.Sprintf("%s: run %d ends (%s)", r.Endpoint, r.ID.Number, endNames[r.EndReason])})
		}
	}
	jobID := task
	if id, err := job.ParseTaskID(task); err == nil {
		jobID = id.Job
	}
	type placement struct {
		connection int
		number     uint64
	}
	placed := make(map[placement]bool) // of the job
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.events {
		text := ""
		switch m := e.message.(type) {
		case nil:
			switch e.job {
			case "":
				faults = append(faults, line{e.at, "fault: " + e.note})
			case jobID:
				text = e.note
			}
		case *wire.Place:
			var s job.Submission
			if err := cbor.Unmarshal(m.Job, &s); err == nil && s.ID == jobID {
				placed[placement{e.connection, m.Number}] = true
				text = fmt.Sprintf("Place %d", m.Number)
			}
		case *wire.PlaceResult:
			if placed[placement{e.connection, m.Number}] {
				text = strings.TrimSpace(fmt.Sprintf("PlaceResult %d: %s %s %s", m.Number, m.State, m.Kind, m.Detail))
			}
		case *wire.Withdraw:
			if slices.ContainsFunc(m.Numbers, func(n uint64) bool { return placed[placement{e.connection, n}] }) {
				text = fmt.Sprintf("Withdraw %v", m.Numbers)
			}
		case *wire.Reports:
			for _, r := range m.Reports {
				if r.Run.Task == task {
					text = fmt.Sprintf("Report of run %d: %v, reason %v", r.Run.Number, r.State, r.Reason)
				}
			}
		default:
			text = runMessageText(m, task)
		}
		if text != "" && e.message != nil {
			text = fmt.Sprintf("%s to %s (connection %d): %s", e.from, e.to, e.connection, text)
		}
		if text != "" {
			lines = append(lines, line{e.at, text})
		}
	}
	if len(lines) == 0 {
		return nil
	}
	byTime := func(a, b line) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(lines, byTime)
	first, last := lines[0].at, lines[len(lines)-1].at
	for _, f := range faults {
		if !f.at.Before(first.Add(-faultLead)) && !f.at.After(last) {
			lines = append(lines, f)
		}
	}
	slices.SortStableFunc(lines, byTime)
	var out []string
	for _, l := range lines {
		out = append(out, fmt.Sprintf("%9.1f ms  %s", float64(l.at.Sub(first).Microseconds())/1000, l.text))
	}
	return out
}

// runMessageText describes a message of an entry to an agent if it concerns the task.
func runMessageText(m wire.Message, task string) string {
	describe := func(name string, runs []wire.Run) string {
		for _, r := range runs {
			if r.Task == task {
				return fmt.Sprintf("%s run %d", name, r.Number)
			}
		}
		return ""
	}
	var groups []wire.OrderGroup
	name := "Orders"
	switch m := m.(type) {
	case *wire.Stop:
		return describe("Stop", m.Runs)
	case *wire.Orders:
		groups = m.Groups
	case *wire.Claim:
		name, groups = "Claim", m.Groups
	}
	for i := range groups {
		if text := describe(name, groups[i].Runs); text != "" {
			return text
		}
	}
	return ""
}
