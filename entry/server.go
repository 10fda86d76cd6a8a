package entry

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"runtime/debug"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sync/errgroup"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/httplimit"
	"oriolerelay/ids"
	"oriolerelay/submission"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// Options configures a Server. Self, Dispatcher, Tickets and Members are required.
type Options struct {
	Self       ids.Incarnation
	Region     string
	DataCentre string
	Rack       string
	Dispatcher Dispatcher
	Tickets    Tickets
	Members    Members
	Callers    []CallerToken
	Operators  []OperatorToken
	// Seeds are the internal addresses of entries from which peers are discovered.
	Seeds []string
	// Transport is used to dial peers.
	Transport       transport.Options
	SubmissionTable submission.Config
	// SubmissionWindow and ClockTolerance bound submitted_at; zero selects the
	// defaults.
	SubmissionWindow, ClockTolerance time.Duration
	Logger                           *event.Logger
	Registry                         *prometheus.Registry // nil creates a new registry
	Tracer                           trace.Tracer         // nil disables tracing
	// Now replaces the monotonic clock in tests.
	Now func() time.Time
}

// Server serves the HTTP APIs and acts as the home of submissions. It is safe for
// concurrent use.
type Server struct {
	self             ids.Incarnation
	dispatcher       Dispatcher
	tickets          Tickets
	members          Members
	outageMembers    OutageMembers // nil if Members does not implement it
	creds            credentials
	log              *event.Logger
	registry         *prometheus.Registry
	metrics          *metrics
	tracer           trace.Tracer
	mux              *http.ServeMux
	now              func() time.Time
	submissionWindow time.Duration
	clockTolerance   time.Duration

	idIssuer        *idIssuer
	submissionTable *submission.Table
	runningJobs     runningJobs
	peers           peers
	conns           acceptedConns
	// pendingReplies counts the calls of peers that have not been replied to.
	pendingReplies inFlight

	baseHello       wire.Hello             // this process and its location
	internalAddress atomic.Pointer[string] // nil while unknown

	agentReadiness agentReadiness
	draining       atomic.Bool // the readiness check fails
	refusingNew    atomic.Bool // new submissions are refused
}

// New returns a Server. Run must be called for it to reach its peers.
func New(o Options) *Server {
	s := &Server{
		self:             o.Self,
		dispatcher:       o.Dispatcher,
		tickets:          o.Tickets,
		members:          o.Members,
		creds:            newCredentials(o.Callers, o.Operators),
		log:              o.Logger,
		registry:         o.Registry,
		mux:              http.NewServeMux(),
		now:              o.Now,
		submissionWindow: durationOrDefault(o.SubmissionWindow, defaultSubmissionWindow),
		clockTolerance:   durationOrDefault(o.ClockTolerance, defaultClockTolerance),
		tracer:           o.Tracer,
	}
	s.outageMembers, _ = o.Members.(OutageMembers)
	if s.tracer == nil {
		s.tracer = noop.NewTracerProvider().Tracer("")
	}
	if s.now == nil {
		s.now = newMonotonicClock().now
	}
	if s.registry == nil {
		s.registry = prometheus.NewRegistry()
	}
	// The submission table must use the same clock as the age check.
	o.SubmissionTable.Now = s.now
	s.baseHello = wire.Hello{Node: o.Self, Role: wire.RoleEntry, Region: o.Region, DataCentre: o.DataCentre, Rack: o.Rack}
	s.submissionTable = submission.NewTable(o.SubmissionTable)
	s.idIssuer = newIDIssuer(o.Self, s.submissionWindow, s.now)
	s.metrics = newMetrics(s)
	s.peers = peers{
		self:       o.Self,
		seeds:      o.Seeds,
		dial:       s.dialPeer(o.Transport),
		members:    o.Members,
		heartbeat:  s.heartbeat,
		importView: s.importView,
		log:        o.Logger,
	}
	s.peers.init()
	s.registerRoutes()
	return s
}

func durationOrDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// Run connects to the peers, sends configuration changes to the agents and
// monitors the view until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.peers.run(ctx) })
	g.Go(func() error { return s.pushConfigChanges(ctx) })
	g.Go(func() error { return s.monitorView(ctx) })
	return g.Wait()
}

func (s *Server) registerRoutes() {
	s.handle("/v1/submission-ids", methods{http.MethodPost: s.postSubmissionIDs})
	for path, request := range map[string]bool{"/v1/jobs": false, "/v1/requests": true} {
		s.handle(path, methods{http.MethodPost: s.postSubmission(request)})
		s.handle(path+"/{id}", methods{
			http.MethodGet:    s.submissionByID(wire.FetchAnswer),
			http.MethodDelete: s.submissionByID(wire.FetchCancel),
		})
	}
	for path, get := range map[string]handlerFunc{
		"/v1/tickets/{number}": s.getTicket, "/v1/state": s.getState,
		"/v1/endpoints": s.getEndpoints, "/v1/members": s.getMembers,
	} {
		s.handle(path, methods{http.MethodGet: s.operatorOnly(get)})
	}
	s.handle("/v1/tickets", methods{
		http.MethodGet:  s.operatorOnly(s.getTickets),
		http.MethodPost: s.operatorOnly(s.postTicket),
	})
	s.handle("/healthz", methods{http.MethodGet: s.getHealth})
	s.handle("/readyz", methods{http.MethodGet: s.getReady})
	s.handleRaw("/metrics", promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
	s.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		errorResponse(errkind.New(errkind.NotFound, "no such path: %s", r.URL.Path)).write(w)
	})
}

// Handler returns the HTTP handler of all APIs.
func (s *Server) Handler() http.Handler { return s.recoverPanics(s.mux) }

// bodyReadTimeout bounds the time in which a caller sends its body of at most 1 MiB.
const bodyReadTimeout = 10 * time.Second

// handlerFunc serves one HTTP request.
type handlerFunc func(r *http.Request) httpResponse

// methods maps HTTP methods to the handlers of one path.
type methods map[string]handlerFunc

func (s *Server) handle(path string, m methods) {
	allowed := strings.Join(slices.Sorted(maps.Keys(m)), ", ")
	s.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		h, ok := m[r.Method]
		if r.Method == http.MethodHead {
			h, ok = m[http.MethodGet] // net/http omits the response body
		}
		if !ok {
			w.Header().Set("Allow", allowed)
			errorResponse(errMethodNotAllowed(r.Method, path)).write(w)
			return
		}
		start := time.Now()
		setBodyReadDeadline(w, r)
		response := h(r)
		s.metrics.observe(path, response.Status, time.Since(start))
		if s.draining.Load() {
			// Makes the caller reconnect, so that its next request reaches another entry.
			w.Header().Set("Connection", "close")
		}
		response.write(w)
	})
}

// setBodyReadDeadline bounds the time in which a caller sends its body. The
// timeouts of http.Server cannot be used: they would also end the wait for a job's
// answer.
func setBodyReadDeadline(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if r.Body == nil || control.SetReadDeadline(time.Now().Add(bodyReadTimeout)) != nil {
		return // there is no body, or a test runs without a connection
	}
	r.Body = &deadlineBody{ReadCloser: r.Body, control: control}
}

// deadlineBody clears the read deadline at the end of the body. After any other
// error the deadline is kept, since net/http reads the rest of the body before it
// responds.
type deadlineBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *deadlineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// handleRaw serves GET requests on path with h.
func (s *Server) handleRaw(path string, h http.Handler) {
	s.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			errorResponse(errMethodNotAllowed(r.Method, path)).write(w)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func errMethodNotAllowed(method, path string) error {
	return errkind.New(errkind.MethodNotAllowed, "%s is not allowed on %s", method, path)
}

// recoverPanics responds to a panic of a handler with an internal error, so that
// the connection is not closed without a response.
func (s *Server) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if p := recover(); p != nil {
				s.log.Log(event.EntryPanic, "panic", p, "stack", string(debug.Stack()))
				errorResponse(errkind.New(errkind.Internal, "internal error")).write(w)
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// readBody reads a body of limited size. If reading fails, nothing has been
// submitted yet, so the response states "not run".
func readBody(r *http.Request) ([]byte, error) {
	b, failure := httplimit.ReadBody(nil, r, MaxBodyBytes)
	if failure == nil {
		failure = httplimit.Charge(r.Context(), httplimit.DecodedCost(b))
	}
	if failure != nil {
		return nil, failure
	}
	return b, nil
}

func (s *Server) getHealth(*http.Request) httpResponse {
	return jsonResponse(http.StatusOK, map[string]string{"status": "ok"})
}

func (s *Server) getReady(*http.Request) httpResponse {
	if err := s.notReady(); err != nil {
		return errorResponse(err)
	}
	return jsonResponse(http.StatusOK, map[string]string{"status": "ready"})
}

func (s *Server) notReady() error {
	if s.draining.Load() {
		return errDraining()
	}
	if _, ok := s.tickets.LogState(); !ok && s.tickets.Load().Number == 0 {
		return errkind.New(errkind.NoConfiguration, "no configuration is known yet")
	}
	return s.agentReadiness.notReady(s)
}

func errDraining() error { return errkind.New(errkind.Draining, "this entry is draining") }
