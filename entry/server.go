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
	"oriolerelay/ids"
	"oriolerelay/submission"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// Options are the parts that a Server connects. Self, Dispatcher, Tickets and
// Members are required.
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
	// Seeds are the internal addresses at which peers are looked for.
	Seeds []string
	// Transport is used to dial peers.
	Transport transport.Options
	Record    submission.Config
	// Window and Tolerance bound submitted_at; zero takes the defaults.
	Window, Tolerance time.Duration
	Logger            *event.Logger
	Registry          *prometheus.Registry // nil means a registry of its own
	Tracer            trace.Tracer         // nil means no spans
	// Now replaces the steady clock in tests.
	Now func() time.Time
}

// Server serves the HTTP APIs and the home of submissions. It is safe for
// concurrent use.
type Server struct {
	self      ids.Incarnation
	disp      Dispatcher
	tickets   Tickets
	members   Members
	confirm   Confirmer // nil when Members has no such part
	creds     credentials
	log       *event.Logger
	registry  *prometheus.Registry
	metrics   *metrics
	tracer    trace.Tracer
	mux       *http.ServeMux
	now       func() time.Time
	window    time.Duration
	tolerance time.Duration

	issued  *issuedIDs
	record  *submission.Table
	running runningJobs
	peers   peers
	conns   openConns
	// forwards counts the answers that are owed to peers.
	forwards inFlight

	place   wire.Hello             // Self and where it runs
	address atomic.Pointer[string] // internal address, nil while unknown

	agents   agentWait
	draining atomic.Bool // readyz fails
	refusing atomic.Bool // new submissions are refused
}

// New returns a server.
func New(o Options) *Server {
	s := &Server{
		self:      o.Self,
		disp:      o.Dispatcher,
		tickets:   o.Tickets,
		members:   o.Members,
		creds:     newCredentials(o.Callers, o.Operators),
		log:       o.Logger,
		registry:  o.Registry,
		mux:       http.NewServeMux(),
		now:       o.Now,
		window:    orDefault(o.Window, defaultWindow),
		tolerance: orDefault(o.Tolerance, defaultTolerance),
		tracer:    o.Tracer,
	}
	s.confirm, _ = o.Members.(Confirmer)
	if s.tracer == nil {
		s.tracer = noop.NewTracerProvider().Tracer("")
	}
	if s.now == nil {
		s.now = newSteadyClock().now
	}
	if s.registry == nil {
		s.registry = prometheus.NewRegistry()
	}
	// The record must use the clock of the age check.
	o.Record.Now = s.now
	s.place = wire.Hello{Node: o.Self, Role: wire.RoleEntry, Region: o.Region, DataCentre: o.DataCentre, Rack: o.Rack}
	s.record = submission.NewTable(o.Record)
	s.issued = newIssuedIDs(o.Self, s.window, s.now)
	s.metrics = newMetrics(s)
	s.peers = peers{
		self:    o.Self,
		seeds:   o.Seeds,
		dial:    s.dialPeer(o.Transport),
		members: o.Members,
		beat:    s.heartbeat,
		offer:   s.offerView,
		log:     o.Logger,
	}
	s.peers.init()
	s.routes()
	return s
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// Run connects to the peers and passes configuration changes on until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.peers.run(ctx) })
	g.Go(func() error { return s.pushStates(ctx) })
	g.Go(func() error { return s.watchView(ctx) })
	return g.Wait()
}

func (s *Server) routes() {
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
		errorReply(errkind.New(errkind.NotFound, "no such path: %s", r.URL.Path)).write(w)
	})
}

// Handler returns the HTTP handler of all APIs.
func (s *Server) Handler() http.Handler { return s.recovered(s.mux) }

// bodyTimeout bounds the time in which a caller sends its body of at most 1 MiB.
const bodyTimeout = 10 * time.Second

// handlerFunc serves one request and returns its answer.
type handlerFunc func(r *http.Request) reply

// methods maps HTTP methods to handlers of one path.
type methods map[string]handlerFunc

func (s *Server) handle(path string, m methods) {
	allowed := strings.Join(slices.Sorted(maps.Keys(m)), ", ")
	s.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		h, ok := m[r.Method]
		if r.Method == http.MethodHead {
			h, ok = m[http.MethodGet] // the body of the answer is left out by net/http
		}
		if !ok {
			w.Header().Set("Allow", allowed)
			errorReply(errMethod(r.Method, path)).write(w)
			return
		}
		start := time.Now()
		limitBodyTime(w, r)
		answer := h(r)
		s.metrics.observe(path, answer.Status, time.Since(start))
		if s.draining.Load() {
			// The next request of this caller should reach another entry.
			w.Header().Set("Connection", "close")
		}
		answer.write(w)
	})
}

// limitBodyTime bounds the time in which a caller sends its body. The timeouts
// of http.Server would also end the wait for a job's answer.
func limitBodyTime(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if r.Body == nil || control.SetReadDeadline(time.Now().Add(bodyTimeout)) != nil {
		return // no body, or a test without a connection
	}
	r.Body = &timedBody{ReadCloser: r.Body, control: control}
}

// timedBody ends the read deadline with the body. After any other error the
// deadline stays, since net/http reads on before it answers.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// handleRaw serves GET on path by an existing handler.
func (s *Server) handleRaw(path string, h http.Handler) {
	s.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
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
	if _, ok := s.tickets.LogState(); !ok && s.tickets.Load().Number == 0 {
		return errkind.New(errkind.NoConfiguration, "no configuration is known yet")
	}
	return s.agents.notReady(s)
}

func errDraining() error { return errkind.New(errkind.Draining, "this entry is draining") }
