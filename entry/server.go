package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/ids"
	"oriolerelay/ticket"
)

// Options are the parts that a Server connects. Self, Dispatcher and State are
// required.
type Options struct {
	Self       ids.Incarnation
	Dispatcher Dispatcher
	// State returns the configuration in force, or nil when there is none yet.
	State     func() *ticket.State
	Callers   []CallerToken
	Operators []OperatorToken
	Logger    *event.Logger
	Registry  *prometheus.Registry // nil means a registry of its own
}

// Server serves the HTTP APIs and the home of submissions. It is safe for
// concurrent use.
type Server struct {
	self     ids.Incarnation
	disp     Dispatcher
	state    func() *ticket.State
	creds    credentials
	log      *event.Logger
	registry *prometheus.Registry
	issuer   *ids.Issuer
	mux      *http.ServeMux
	draining atomic.Bool
}

// New returns a server.
func New(o Options) *Server {
	s := &Server{
		self:     o.Self,
		disp:     o.Dispatcher,
		state:    o.State,
		creds:    newCredentials(o.Callers, o.Operators),
		log:      o.Logger,
		registry: o.Registry,
		issuer:   ids.NewIssuer(o.Self),
		mux:      http.NewServeMux(),
	}
	if s.registry == nil {
		s.registry = prometheus.NewRegistry()
	}
	s.routes()
	return s
}

func (s *Server) routes() {
	s.handle("/v1/jobs", methods{http.MethodPost: s.postSubmission(false)})
	s.handle("/v1/requests", methods{http.MethodPost: s.postSubmission(true)})
	s.handle("/v1/endpoints", methods{http.MethodGet: s.operatorOnly(s.getEndpoints)})
	s.handle("/healthz", methods{http.MethodGet: s.getHealth})
	s.handle("/readyz", methods{http.MethodGet: s.getReady})
	s.handleRaw("/metrics", promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
	s.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		errorReply(errkind.New(errkind.NotFound, "no such path: %s", r.URL.Path)).write(w)
	})
}

// Handler returns the HTTP handler of all APIs.
func (s *Server) Handler() http.Handler { return s.recovered(s.mux) }

// handlerFunc serves one request and returns its answer.
type handlerFunc func(r *http.Request) reply

// methods maps HTTP methods to handlers of one path.
type methods map[string]handlerFunc

func (s *Server) handle(path string, m methods) {
	s.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		h, ok := m[r.Method]
		if !ok {
			errorReply(errMethod(r.Method, path)).write(w)
			return
		}
		h(r).write(w)
	})
}

// handleRaw serves GET on path by an existing handler.
func (s *Server) handleRaw(path string, h http.Handler) {
	s.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			errorReply(errMethod(r.Method, path)).write(w)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func errMethod(method, path string) error {
	return errkind.New(errkind.MethodNotAllowed, "%s is not allowed on %s", method, path)
}

// recovered answers a panic of a handler as an internal error, so that one
// fault does not cut the connection without an answer.
func (s *Server) recovered(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if p := recover(); p != nil {
				s.log.Log(event.EntryPanic, "panic", p, "stack", string(debug.Stack()))
				errorReply(errkind.New(errkind.Internal, "internal error")).write(w)
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// readBody reads a bounded body. A reader that fails midway never submitted
// anything, so the answer is "not run".
func readBody(r *http.Request) ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errkind.New(errkind.BodyTooLarge, "the body has more than %d bytes", MaxBodyBytes)
	}
	if err != nil {
		return nil, invalid("read body: %w", err)
	}
	return b, nil
}

func (s *Server) getHealth(*http.Request) reply {
	return jsonReply(http.StatusOK, map[string]string{"status": "ok"})
}

func (s *Server) getReady(*http.Request) reply {
	if err := s.notReady(); err != nil {
		return errorReply(err)
	}
	return jsonReply(http.StatusOK, map[string]string{"status": "ready"})
}

func (s *Server) notReady() error {
	if s.draining.Load() {
		return errDraining()
	}
	if s.state() == nil {
		return errkind.New(errkind.NoConfiguration, "no configuration is known yet")
	}
	return nil
}

func errDraining() error { return errkind.New(errkind.Draining, "this entry is draining") }

// Serve serves HTTP on server until ctx ends, then shuts down without cutting
// a request in flight, for at most limit.
func Serve(ctx context.Context, server *http.Server, listen func() error, limit time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- listen() }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve http: %w", err)
	case <-ctx.Done():
	}
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	return server.Shutdown(sctx)
}
