package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"oriolerelay/ticket"
)

// Ticket is the body of POST /v1/tickets (docs/design.md section 11.3).
type Ticket struct {
	Number   uint64                     `json:"number"`
	Author   string                     `json:"author"`
	Reason   string                     `json:"reason"`
	Services map[string]*ticket.Service `json:"services,omitempty"`
	Teams    map[string]*ticket.Team    `json:"teams,omitempty"`
}

// Settings of the sample services.
const (
	sampleBuffer             = 2
	sampleEjectAfterFailures = 5
	sampleEjectDuration      = time.Second
	sampleQueueLimit         = 2000
	sampleMaxAttempts        = 3
	sampleWeight             = 1
	// The naive policy has an unlimited queue; these are the largest values that
	// a ticket and an agent accept.
	naiveQueueLimit = 1_000_000
	naiveBuffer     = 1000
)

// NewTicket returns a ticket that sets the services and teams of the workloads
// with the given policy.
func NewTicket(number uint64, policy string, workloads ...Workload) Ticket {
	t := Ticket{
		Number: number, Author: "gwenllian", Reason: "sample services with policy " + policy,
		Services: map[string]*ticket.Service{}, Teams: map[string]*ticket.Team{},
	}
	queue, buffer := sampleQueueLimit, sampleBuffer
	if policy == "naive" {
		queue, buffer = naiveQueueLimit, naiveBuffer
	}
	for _, w := range workloads {
		s := &ticket.Service{Kinds: map[string]ticket.Kind{}, Endpoints: ticket.EndpointRules{
			Policy: policy, Buffer: buffer, EjectAfterFailures: sampleEjectAfterFailures, EjectMS: sampleEjectDuration.Milliseconds(),
		}}
		for _, c := range w.Classes {
			k := ticket.Kind{
				Idempotent: c.Idempotent, DeadlineMS: c.Deadline.Milliseconds(), MaxAttempts: 1, QueueLimit: queue,
				ExpectedMS: max((c.RunTime.Min+c.RunTime.Max).Milliseconds()/2, 1),
			}
			if c.Idempotent {
				k.MaxAttempts = sampleMaxAttempts
			}
			s.Kinds[c.Kind] = k
		}
		t.Services[w.Service] = s
		t.Teams[w.Team] = &ticket.Team{Weight: sampleWeight}
	}
	return t
}

// SubmitTicket posts a ticket or any other body to an entry with the operator token and
// returns the status and body of the response.
func (t Target) SubmitTicket(ctx context.Context, entry int, body any) (int, []byte, error) {
	client := newClient()
	defer client.CloseIdleConnections()
	return sendRequest(ctx, client, http.MethodPost, t.Entries[entry]+"/v1/tickets", t.OperatorToken, body)
}

// TicketInForce returns the number of the ticket in force at an entry.
func (t Target) TicketInForce(ctx context.Context, entry int) (uint64, error) {
	var s struct {
		Number uint64 `json:"number"`
	}
	return s.Number, t.getAsOperator(ctx, entry, "/v1/state", &s)
}

// EndpointCount returns the number of endpoints of a service to which an entry may send tasks.
func (t Target) EndpointCount(ctx context.Context, entry int, service string) (int, error) {
	var list struct {
		Endpoints []struct {
			Service  string `json:"service"`
			Slots    int    `json:"slots"`
			Draining bool   `json:"draining"`
		} `json:"endpoints"`
	}
	if err := t.getAsOperator(ctx, entry, "/v1/endpoints", &list); err != nil {
		return 0, err
	}
	n := 0
	for _, e := range list.Endpoints {
		if e.Service == service && e.Slots > 0 && !e.Draining {
			n++
		}
	}
	return n, nil
}

func (t Target) getAsOperator(ctx context.Context, entry int, path string, into any) error {
	client := newClient()
	defer client.CloseIdleConnections()
	status, body, err := sendRequest(ctx, client, http.MethodGet, t.Entries[entry]+path, t.OperatorToken, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("%s%s returned status %d: %s", t.Entries[entry], path, status, body)
	}
	return json.Unmarshal(body, into)
}

// Configure submits a ticket with the next number for the given policy and workloads and
// waits until it is in force at every entry.
func (t Target) Configure(ctx context.Context, policy string, workloads ...Workload) error {
	number, err := t.TicketInForce(ctx, 0)
	if err != nil {
		// An entry that has no configuration yet refuses GET /v1/state.
		number = 0
	}
	next := NewTicket(number+1, policy, workloads...)
	status, body, err := t.SubmitTicket(ctx, 0, next)
	if err != nil {
		return err
	}
	if status/100 != 2 {
		return fmt.Errorf("ticket %d was refused with status %d: %s", next.Number, status, body)
	}
	return t.WaitTicketInForce(ctx, next.Number)
}

// statePollInterval is the time between two reads of the ticket in force.
const statePollInterval = 20 * time.Millisecond

// WaitTicketInForce waits until the given ticket or a later one is in force at every entry.
func (t Target) WaitTicketInForce(ctx context.Context, number uint64) error {
	for entry := range t.Entries {
		for {
			got, err := t.TicketInForce(ctx, entry)
			if err == nil && got >= number {
				break
			}
			if !sleepUntil(ctx, time.Now().Add(statePollInterval)) {
				return fmt.Errorf("ticket %d is not in force at %s (has %d, %w): %w", number, t.Entries[entry], got, err, ctx.Err())
			}
		}
	}
	return nil
}
