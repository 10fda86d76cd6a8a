package standin

import (
	"bytes"
	"io"
	"net/http"
)

// Transport returns an http.RoundTripper that calls the server within the process,
// without a network, for tests with a fake clock.
func (s *Server) Transport() http.RoundTripper { return inProcessTransport{s} }

type inProcessTransport struct{ server *Server }

// responseRecorder is an http.ResponseWriter that keeps the response in memory.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *responseRecorder) Header() http.Header         { return r.header }
func (r *responseRecorder) Write(b []byte) (int, error) { return r.body.Write(b) }
func (r *responseRecorder) WriteHeader(status int)      { r.status = status }

// RoundTrip implements http.RoundTripper. The call continues after the caller's
// context ends, as it would on a remote server.
func (t inProcessTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := requestBody(r)
	if err != nil {
		return nil, err
	}
	type result struct {
		resp *http.Response
		err  error
	}
	done := make(chan result, 1)
	call := r.Clone(r.Context())
	call.Body = io.NopCloser(bytes.NewReader(body))
	go func() {
		defer func() {
			if v := recover(); v != nil {
				done <- result{err: io.ErrUnexpectedEOF}
			}
		}()
		w := &responseRecorder{header: http.Header{}, status: http.StatusOK}
		t.server.ServeHTTP(w, call)
		done <- result{resp: &http.Response{
			StatusCode: w.status, Header: w.header, Body: io.NopCloser(&w.body), Request: r,
		}}
	}()
	select {
	case res := <-done:
		return res.resp, res.err
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func requestBody(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	defer r.Body.Close()
	return io.ReadAll(r.Body)
}
