package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/ticket"
)

// operatorOnly requires an operator token for h.
func (s *Server) operatorOnly(h handlerFunc) handlerFunc {
	return func(r *http.Request) httpResponse {
		if _, err := s.creds.operator(r); err != nil {
			return errorResponse(err)
		}
		return h(r)
	}
}

// ticketResponse is the body of the response to a submitted ticket.
type ticketResponse struct {
	Verdict *ticket.Verdict `json:"verdict,omitempty"`
	Error   *errorBody      `json:"error,omitempty"`
}

// postTicket submits a ticket and returns its verdict. It continues if the
// operator disconnects, because the record may already be in the log.
func (s *Server) postTicket(r *http.Request) httpResponse {
	raw, err := readBody(r)
	if err != nil {
		return errorResponse(err)
	}
	t, err := ticket.Decode(raw)
	if err != nil {
		return errorResponse(err)
	}
	v, err := s.tickets.Submit(context.WithoutCancel(r.Context()), t)
	if err == nil {
		return jsonResponse(http.StatusOK, ticketResponse{Verdict: &v})
	}
	resp, e := errorResponse(err), newErrorBody(err)
	body := ticketResponse{Error: &e}
	if v.Status != "" {
		body.Verdict = &v
	}
	resp.Body = encodeJSON(body)
	return resp
}

func (s *Server) getTickets(*http.Request) httpResponse {
	fold, err := s.fold()
	if err != nil {
		return errorResponse(err)
	}
	list := fold.History
	if list == nil {
		list = []ticket.AcceptedTicket{}
	}
	return jsonResponse(http.StatusOK, map[string]any{"tickets": list})
}

func (s *Server) getTicket(r *http.Request) httpResponse {
	number, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil {
		return errorResponse(invalid("ticket number: %w", err))
	}
	fold, err := s.fold()
	if err != nil {
		return errorResponse(err)
	}
	t, ok := fold.Find(number)
	if !ok {
		return errorResponse(errkind.New(errkind.NotFound, "ticket %d was not accepted or is older than the last %d tickets", number, ticket.MaxHistoryTickets))
	}
	return jsonResponse(http.StatusOK, t)
}

func (s *Server) fold() (ticket.LogState, error) {
	fold, ok := s.tickets.LogState()
	if !ok {
		return fold, errkind.New(errkind.LogUnavailable, "this entry has not read the ticket log completely yet")
	}
	return fold, nil
}

// getState returns the configuration in force. Its origins name the ticket that
// last set each object.
func (s *Server) getState(*http.Request) httpResponse {
	return jsonResponse(http.StatusOK, s.tickets.Load())
}

func (s *Server) getEndpoints(*http.Request) httpResponse {
	list := s.dispatcher.Endpoints()
	return jsonResponse(http.StatusOK, map[string]any{"endpoints": json.RawMessage(encodeList(list, len(list)))})
}

// encodeList encodes the list v of length n. A nil list is encoded as [].
func encodeList(v any, n int) []byte {
	if n == 0 {
		return []byte("[]")
	}
	return encodeJSON(v)
}

// memberStatus is the status of a member as seen by this entry.
type memberStatus struct {
	Node      ids.Incarnation `json:"node"`
	Address   string          `json:"address"`
	Region    string          `json:"region,omitempty"`
	Self      bool            `json:"self"`
	Connected bool            `json:"connected"`
}

func (s *Server) getMembers(*http.Request) httpResponse {
	connected := map[ids.Incarnation]bool{}
	for _, n := range s.peers.connectedTo() {
		connected[n] = true
	}
	list := []memberStatus{}
	for _, m := range s.members.Addresses() {
		list = append(list, memberStatus{
			Node: m.Node, Address: m.Address, Region: m.Region,
			Self: m.Node == s.self, Connected: connected[m.Node],
		})
	}
	return jsonResponse(http.StatusOK, map[string]any{"members": list})
}
