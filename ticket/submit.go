package ticket

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/logstore"
	"oriolerelay/logstore/follow"
	"oriolerelay/settings"
)

// SubmitTimeout limits the duration of Submit, which reads the log, appends the ticket
// and reads its record back. The log client also limits each of these calls.
const SubmitTimeout = 8 * time.Second

// Submit appends t to the log and returns its verdict after the record has been read
// back. Run must be running. Errors are of kind TicketInvalid, TicketLost,
// LogUnavailable (this call did not append the ticket, but an earlier call may have)
// and TicketUnknown (the ticket may have been accepted or may still be; the same
// ticket can be submitted again). The verdict is set for an accepted, lost or invalid
// ticket. Submit appends at most once.
func (f *Follower) Submit(ctx context.Context, t *Ticket) (Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, SubmitTimeout)
	defer cancel()
	v, err := f.submit(ctx, t)
	answer := string(StatusAccepted)
	if err != nil {
		answer = string(errkind.From(err).Kind)
	}
	f.answerCounter.WithLabelValues(answer).Inc()
	return v, err
}

func (f *Follower) submit(ctx context.Context, t *Ticket) (Verdict, error) {
	if problems := Validate(t); len(problems) > 0 {
		return f.finishSubmit(ctx, t, Verdict{Status: StatusInvalid, Problems: problems})
	}
	err := f.records.Poll(ctx)
	if errors.Is(err, follow.ErrNoStartPoint) && t.Restart {
		return f.submitRestart(ctx, t)
	}
	if err != nil {
		return Verdict{}, errkind.New(errkind.LogUnavailable, "this call did not send the ticket: %w", err)
	}
	state, ok := f.LogState()
	if !ok {
		return Verdict{}, errkind.New(errkind.LogUnavailable, "this call did not send the ticket: the log has not been read completely")
	}
	if v := state.Evaluate(t); v.Status != StatusAccepted || t.Number <= state.Config.Number {
		return f.finishSubmit(ctx, t, v) // nothing to append: the ticket is invalid, lost or already accepted
	}
	return f.append(ctx, t)
}

// submitRestart appends a restart ticket to a log whose tickets are lost. It fails if
// a configuration is in force: this came from a peer, which still has the tickets and
// will write a snapshot.
func (f *Follower) submitRestart(ctx context.Context, t *Ticket) (Verdict, error) {
	if n := f.Load().Number; n > 0 {
		return Verdict{}, errkind.New(errkind.LogUnavailable,
			"this call did not send the ticket: ticket %d is in force; wait until an entry that has read it writes a snapshot", n)
	}
	if v, _ := restart(t, logstore.Record{}); v.Status != StatusAccepted {
		return f.finishSubmit(ctx, t, v)
	}
	return f.append(ctx, t)
}

func (f *Follower) append(ctx context.Context, t *Ticket) (Verdict, error) {
	pos, err := f.client.Append(ctx, Stream, record{Type: recordType, Ticket: t})
	if logstore.IsNotApplied(err) {
		return Verdict{}, errkind.New(errkind.LogUnavailable, "this call did not send the ticket: %w", err)
	}
	if err != nil {
		return f.resolveFailedAppend(ctx, t, err)
	}
	return f.readBack(ctx, t, pos)
}

// readBack waits for the appended record and returns its verdict.
func (f *Follower) readBack(ctx context.Context, t *Ticket, pos logstore.Position) (Verdict, error) {
	if err := f.records.Await(ctx, pos.Offset); err != nil {
		return Verdict{}, unknownError(t, err)
	}
	state, ok := f.LogState()
	if !ok {
		return Verdict{}, unknownError(t, errors.New("the state of the log is not available"))
	}
	v := state.Evaluate(t)
	if t.Number > state.Config.Number && v.Status == StatusAccepted {
		// The record was refused when it was applied, but the state that caused this has changed.
		return Verdict{}, unknownError(t, errors.New("its record was refused, but the ticket would be valid now"))
	}
	return f.finishSubmit(ctx, t, v)
}

// resolveFailedAppend determines the verdict on a ticket whose append returned no
// definite result. The verdict is known only once a ticket with its number has been
// accepted; until then the record may still be added to the log.
func (f *Follower) resolveFailedAppend(ctx context.Context, t *Ticket, cause error) (Verdict, error) {
	if err := f.records.Poll(ctx); err != nil {
		return Verdict{}, unknownError(t, cause)
	}
	state, ok := f.LogState()
	if !ok || t.Number > state.Config.Number {
		return Verdict{}, unknownError(t, cause)
	}
	return f.finishSubmit(ctx, t, state.Evaluate(t))
}

func unknownError(t *Ticket, cause error) error {
	return errkind.New(errkind.TicketUnknown,
		"ticket %d may have been accepted; send the same ticket again: %w", t.Number, cause)
}

// finishSubmit returns the result of Submit for a verdict. For an accepted ticket, it
// waits until the ticket is in force.
func (f *Follower) finishSubmit(ctx context.Context, t *Ticket, v Verdict) (Verdict, error) {
	switch v.Status {
	case StatusAccepted:
		f.awaitInForce(ctx, t.Number)
		return v, nil
	case StatusLost:
		f.log.Log(event.TicketRefused, "number", t.Number, "author", t.Author, "winner", v.Ticket.Author)
		return v, errkind.New(errkind.TicketLost, "number %d was taken by the ticket of %s (%s); the next number is %d",
			t.Number, v.Ticket.Author, v.Ticket.Reason, f.Load().Number+1)
	case StatusForgotten:
		return v, unknownError(t, fmt.Errorf("its number is older than the last %d tickets", MaxHistoryTickets))
	}
	f.log.Log(event.TicketRefused, "number", t.Number, "author", t.Author, "faults", len(v.Problems))
	return v, errkind.New(errkind.TicketInvalid, "%s", formatProblems(v.Problems))
}

// awaitInForce waits until the ticket is in force in this process or ctx ends.
func (f *Follower) awaitInForce(ctx context.Context, number uint64) {
	for {
		changed := f.Changed()
		if f.Load().Number >= number {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func formatProblems(problems []settings.Problem) string {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.Path + ": " + p.Message
	}
	return strings.Join(lines, "\n")
}
