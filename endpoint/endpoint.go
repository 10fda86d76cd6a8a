// Package endpoint implements an endpoint: it announces itself to the agent on its host and
// runs the tasks that the agent sends to /run.
package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"oriolerelay/wire"
)

// drainPollInterval is the interval at which a draining endpoint asks the agent whether it
// still has tasks for it.
const drainPollInterval = 20 * time.Millisecond

// announceInterval is the time between announcements. The agent withdraws an endpoint after
// three missed announcements.
const announceInterval = time.Second

// headerTimeout bounds the time from the opening of a connection to the header of its first
// request. It is longer than the agent keeps an idle connection: the agent may dial one that
// it does not use at once, and loses the task that it then sends if the server closes it.
const headerTimeout = time.Minute

// maxPayloadBytes limits the payload of one task.
const maxPayloadBytes = 64 << 10

// Task is a task that the agent asks the endpoint to run.
type Task struct {
	Submission  string
	Index       int
	Team        string
	Kind        string
	TraceParent string
	Payload     []byte
}

// ErrNotRun is wrapped by the error of a Runner that did not start the task.
var ErrNotRun = errors.New("not run")

// Runner runs a task and returns its answer. The context ends at the task's deadline or
// when the agent closes the request. An error that wraps ErrNotRun reports the task as not
// run; any other error reports that it failed and may have run.
type Runner interface {
	RunTask(ctx context.Context, t Task) ([]byte, error)
}

// Config configures an Endpoint.
type Config struct {
	Agent       string // the agent's HTTP address, ip:port
	Listen      string // ip:port to listen on; port 0 selects a free port
	Service     string
	Slots       int
	Connections int
	Capacity    wire.Resources
}

// Endpoint runs tasks for an agent. Run may be called once.
type Endpoint struct {
	cfg      Config
	runner   Runner
	listener net.Listener
	mux      *http.ServeMux
	client   *http.Client
	slots    chan struct{}

	mu       sync.Mutex
	draining bool
	wg       sync.WaitGroup // tasks in progress
}

// New returns an endpoint that listens on its HTTP address. It accepts requests when Run is
// called.
func New(cfg Config, r Runner) (*Endpoint, error) {
	if cfg.Slots < 1 {
		return nil, fmt.Errorf("endpoint: slots must be positive, got %d", cfg.Slots)
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for tasks: %w", err)
	}
	e := &Endpoint{
		cfg: cfg, runner: r, listener: l, mux: http.NewServeMux(),
		client: &http.Client{Timeout: announceInterval},
		slots:  make(chan struct{}, cfg.Slots),
	}
	e.mux.HandleFunc("POST /run", e.serveRun)
	return e, nil
}

// Address returns the endpoint's HTTP address as ip:port.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Handle adds an HTTP handler. It must be called before Run.
func (e *Endpoint) Handle(pattern string, h http.Handler) { e.mux.Handle(pattern, h) }

// Run serves requests and announces the endpoint until ctx ends. It then announces that the
// endpoint is draining, finishes the tasks in progress and returns.
func (e *Endpoint) Run(ctx context.Context) error {
	srv := &http.Server{Handler: e.mux, ReadHeaderTimeout: headerTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(e.listener) }()
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		_, _ = e.announce(ctx, false) // repeated at the next tick
		select {
		case <-tick.C:
		case err := <-serveErr:
			return fmt.Errorf("serve tasks: %w", err)
		case <-ctx.Done():
			return e.stop(srv)
		}
	}
}

// stop announces that the endpoint is draining and keeps serving until the agent has no
// task on it, since a task that the agent has begun to send may not have arrived yet.
func (e *Endpoint) stop(srv *http.Server) error {
	err := e.announceDraining()
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.wg.Wait()
	_ = srv.Shutdown(context.Background())
	if err != nil {
		return fmt.Errorf("announce draining: %w", err)
	}
	return nil
}

// announceDraining repeats the draining announcement until the agent answers that it has no
// task on this endpoint. The deadlines of the tasks limit how long this takes.
func (e *Endpoint) announceDraining() error {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), announceInterval)
		busy, err := e.announce(ctx, true)
		cancel()
		if err != nil || !busy {
			return err
		}
		<-time.After(drainPollInterval)
	}
}

// announce sends an announcement. For a draining endpoint it reports whether the agent still
// has tasks on it.
func (e *Endpoint) announce(ctx context.Context, draining bool) (bool, error) {
	body, err := json.Marshal(map[string]any{
		"service": e.cfg.Service, "address": e.Address(), "slots": e.cfg.Slots,
		"connections": e.cfg.Connections, "capacity": e.cfg.Capacity, "leaving": draining,
	})
	if err != nil {
		return false, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.cfg.Agent+"/v1/endpoint", bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNoContent:
		return false, nil
	case http.StatusAccepted:
		return true, nil
	}
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 512)) // used only in the error message
	return false, fmt.Errorf("agent answered the announcement with %s: %s", resp.Status, b)
}

func (e *Endpoint) serveRun(w http.ResponseWriter, r *http.Request) {
	if reason := e.acquireSlot(); reason != "" {
		writeNotRun(w, reason)
		return
	}
	defer e.releaseSlot()
	t, ctx, cancel, err := parseTask(w, r)
	if err != nil {
		writeNotRun(w, err.Error())
		return
	}
	defer cancel()
	body, err := e.runner.RunTask(ctx, t)
	switch {
	case errors.Is(err, ErrNotRun):
		writeNotRun(w, err.Error())
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		_, _ = w.Write(body) // the agent notices a lost connection
	}
}

// acquireSlot takes a slot, or returns the reason why it cannot.
func (e *Endpoint) acquireSlot() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return "endpoint is draining"
	}
	select {
	case e.slots <- struct{}{}:
		e.wg.Add(1)
		return ""
	default:
		return "all slots are in use"
	}
}

func (e *Endpoint) releaseSlot() {
	<-e.slots
	e.wg.Done()
}

// writeNotRun writes a response that reports the task as not run.
func writeNotRun(w http.ResponseWriter, detail string) {
	w.Header().Set("Oriole-Not-Run", "true")
	http.Error(w, detail, http.StatusServiceUnavailable)
}

func parseTask(w http.ResponseWriter, r *http.Request) (Task, context.Context, context.CancelFunc, error) {
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayloadBytes))
	if err != nil {
		return Task{}, nil, nil, fmt.Errorf("read task payload: %w", err)
	}
	index, err := strconv.Atoi(r.Header.Get("Oriole-Index"))
	if err != nil {
		return Task{}, nil, nil, fmt.Errorf("invalid header Oriole-Index: %w", err)
	}
	deadlineMS, err := strconv.ParseInt(r.Header.Get("Oriole-Deadline-Ms"), 10, 64)
	if err != nil {
		return Task{}, nil, nil, fmt.Errorf("invalid header Oriole-Deadline-Ms: %w", err)
	}
	t := Task{
		Submission: r.Header.Get("Oriole-Submission"), Index: index,
		Team: r.Header.Get("Oriole-Team"), Kind: r.Header.Get("Oriole-Kind"),
		TraceParent: r.Header.Get("traceparent"), Payload: payload,
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(deadlineMS)*time.Millisecond)
	return t, ctx, cancel, nil
}
