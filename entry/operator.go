package entry

import "net/http"

// operatorOnly serves h to holders of an operator's token.
func (s *Server) operatorOnly(h func(r *http.Request, operator string) reply) handlerFunc {
	return func(r *http.Request) reply {
		name, err := s.creds.operator(r)
		if err != nil {
			return errorReply(err)
		}
		return h(r, name)
	}
}

func (s *Server) getEndpoints(*http.Request, string) reply {
	return jsonReply(http.StatusOK, map[string]any{"endpoints": s.disp.Endpoints()})
}

// getState returns the configuration in force. Origins give the ticket that
// set each object.
func (s *Server) getState(*http.Request, string) reply {
	return jsonReply(http.StatusOK, s.tickets.Load())
}
