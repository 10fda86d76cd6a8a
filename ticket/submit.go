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

// SubmitTimeout bounds a Submit: one read, one append and the read back, each of
// which is bounded by the client.
const SubmitTimeout = 8 * time.Second

// Submit appends t to the log and returns its verdict after it was read back.
// Run must be running. The errors are of kind TicketInvalid, TicketLost,
// LogUnavailable (this call did not send the ticket, an earlier one may have) and
// TicketUnknown (the ticket may be or become accepted; the same ticket may be sent
// again). The verdict is set for an accepted, lost or invalid ticket. Submit
// appends at most once.
func (f *Follower) Submit(ctx context.Context, t *Ticket) (Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, SubmitTimeout)
	defer cancel()
	v, err := f.submit(ctx, t)
	answer := string(StatusAccepted)
	if err != nil {
		answer = string(errkind.From(err).Kind)
	}
	f.answers.WithLabelValues(answer).Inc()
	return v, err
}

func (f *Follower) submit(ctx context.Context, t *Ticket) (Verdict, error) {
	if faults := Validate(t); len(faults) > 0 {
		return f.conclude(ctx, t, Verdict{Status: StatusInvalid, Faults: faults})
	}
	err := f.records.Poll(ctx)
	if errors.Is(err, follow.ErrNoStartPoint) && t.Restart {
		return f.submitRestart(ctx, t)
	}
	if err != nil {
		return Verdict{}, errkind.New(errkind.LogUnavailable, "this call did not send the ticket: %w", err)
	}
	fold, ok := f.Fold()
	if !ok {
		return Verdict{}, errkind.New(errkind.LogUnavailable, "this call did not send the ticket: the log is not read completely")
	}
	if v := fold.Judge(t); v.Status != StatusAccepted || t.Number <= fold.State.Number {
		return f.conclude(ctx, t, v) // nothing to append: faulty, lost or a resend
	}
	return f.append(ctx, t)
}

// submitRestart appends a restart ticket to a log whose tickets are lost. A
// configuration in force came from a peer that still has the tickets and that
// will write a snapshot.
func (f *Follower) submitRestart(ctx context.Context, t *Ticket) (Verdict, error) {
	if n := f.Load().Number; n > 0 {
		return Verdict{}, errkind.New(errkind.LogUnavailable,
			"this call did not send the ticket: ticket %d is in force; wait for a snapshot of an entry that has read it", n)
	}
	if v, _ := restart(t, logstore.Record{}); v.Status != StatusAccepted {
		return f.conclude(ctx, t, v)
	}
	return f.append(ctx, t)
}

func (f *Follower) append(ctx context.Context, t *Ticket) (Verdict, error) {
	pos, err := f.client.Append(ctx, Stream, record{Type: recordType, Ticket: t})
	if logstore.IsNotApplied(err) {
		return Verdict{}, errkind.New(errkind.LogUnavailable, "this call did not send the ticket: %w", err)
	}
	if err != nil {
		return f.settle(ctx, t, err)
	}
	return f.readBack(ctx, t, pos)
}

// readBack waits for the appended record and returns its verdict.
func (f *Follower) readBack(ctx context.Context, t *Ticket, pos logstore.Position) (Verdict, error) {
	if err := f.records.Await(ctx, pos.Offset); err != nil {
		return Verdict{}, unknown(t, err)
	}
	fold, ok := f.Fold()
	if !ok {
		return Verdict{}, unknown(t, errors.New("the fold of the log was lost"))
	}
	v := fold.Judge(t)
	if t.Number > fold.State.Number && v.Status == StatusAccepted {
		// Its record was refused, although the state no longer shows why.
		return Verdict{}, unknown(t, errors.New("its record was refused, but it would be valid now"))
	}
	return f.conclude(ctx, t, v)
}

// settle decides a ticket whose append had no usable answer. Only a taken number
// decides; otherwise the record may still appear.
func (f *Follower) settle(ctx context.Context, t *Ticket, cause error) (Verdict, error) {
	if err := f.records.Poll(ctx); err != nil {
		return Verdict{}, unknown(t, cause)
	}
	fold, ok := f.Fold()
	if !ok || t.Number > fold.State.Number {
		return Verdict{}, unknown(t, cause)
	}
	return f.conclude(ctx, t, fold.Judge(t))
}

func unknown(t *Ticket, cause error) error {
	return errkind.New(errkind.TicketUnknown,
		"ticket %d may have been accepted; send the same ticket again: %w", t.Number, cause)
}

// conclude turns a verdict into the answer of Submit.
func (f *Follower) conclude(ctx context.Context, t *Ticket, v Verdict) (Verdict, error) {
	switch v.Status {
	case StatusAccepted:
		f.awaitInForce(ctx, t.Number)
		return v, nil
	case StatusLost:
		f.log.Log(event.TicketRefused, "number", t.Number, "author", t.Author, "winner", v.Ticket.Author)
		return v, errkind.New(errkind.TicketLost, "number %d was taken by the ticket of %s (%s); the next number is %d",
			t.Number, v.Ticket.Author, v.Ticket.Reason, f.Load().Number+1)
	case StatusForgotten:
		return v, unknown(t, fmt.Errorf("its number is older than the last %d tickets", HistoryTickets))
	}
	f.log.Log(event.TicketRefused, "number", t.Number, "author", t.Author, "faults", len(v.Faults))
	return v, errkind.New(errkind.TicketInvalid, "%s", faultText(v.Faults))
}

// awaitInForce waits until this process has the ticket in force.
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

func faultText(faults []settings.Problem) string {
	lines := make([]string, len(faults))
	for i, p := range faults {
		lines[i] = p.Path + ": " + p.Message
	}
	return strings.Join(lines, "\n")
}
