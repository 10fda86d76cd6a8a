package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"golang.org/x/sync/errgroup"

	"oriolerelay/dispatch"
	"oriolerelay/event"
	"oriolerelay/httplimit"
	"oriolerelay/ids"
	"oriolerelay/logstore"
	"oriolerelay/members"
	"oriolerelay/submission"
	"oriolerelay/ticket"
	"oriolerelay/tracing"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// readHeaderTimeout bounds the time in which a caller sends its headers.
const readHeaderTimeout = 5 * time.Second

const (
	// gcMemoryFraction is the fraction of the memory limit that is the soft limit of the Go runtime; socket
	// buffers and the rest of the process use what remains.
	gcMemoryFraction = 0.6
	// peerMemoryShare and frameMemoryShare are divisors of the memory limit: an eighth is for connections of
	// agents and peers, at peerConnBytes each, and a 32nd for large messages that arrive on them.
	peerMemoryShare, frameMemoryShare = 8, 32
	peerConnBytes                     = 64 << 10
	// callerWriteTimeout bounds a write of a response. A link may lose packets for seconds.
	callerWriteTimeout = 30 * time.Second
)

// Daemon is an entry process with open listeners.
type Daemon struct {
	settings         Settings
	log              *event.Logger
	server           *Server
	dispatcher       *dispatch.Dispatcher
	tickets          *ticket.Follower
	members          *members.Follower
	internalListener *transport.Listener
	httpListener     net.Listener
	limiter          *httplimit.Limiter
	callers          *httplimit.Group
	pprofListener    net.Listener // nil if no pprof address is set

	closeTraces func()
}

// Run runs an entry with settings s until ctx ends, then drains it.
func Run(ctx context.Context, s Settings, log *event.Logger) error {
	d, err := Open(s, log)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// Open creates an entry and opens its listeners. The caller must call Run.
func Open(s Settings, log *event.Logger) (*Daemon, error) {
	tlsConf, err := s.TLS.Load()
	if err != nil {
		return nil, err
	}
	self := ids.NewIncarnation(s.Node)
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	client := logstore.NewClient(s.PlatformURL)
	retention := milliseconds(s.LogRetentionMS)
	d := &Daemon{
		settings: s,
		log:      log,
		tickets:  ticket.NewFollower(client, log, ticket.WithRetention(retention)),
		members:  members.NewFollower(client, log, members.WithRetention(retention), members.WithPeerStatements()),
	}
	for _, c := range [][]prometheus.Collector{client.Collectors(), d.tickets.Collectors(), d.members.Collectors()} {
		reg.MustRegister(c...)
	}
	traces, closeTraces, err := tracing.Open(s.Traces, "oriole-entry", self.String())
	if err != nil {
		return nil, err
	}
	d.closeTraces = closeTraces
	tracer := traces.Tracer("oriolerelay/entry")
	d.dispatcher = dispatch.New(dispatch.Config{
		Self: self, CurrentConfig: d.tickets.Load, EntryCount: d.entryCount, Logger: log, Registerer: reg,
		Tracer: traces.Tracer("oriolerelay/dispatch"),
	})
	d.limiter = httplimit.New(httplimit.Config{MemoryMiB: s.MemoryMiB, MaxOpenFiles: s.MaxOpenFiles, Log: log, Registerer: reg})
	d.callers = d.limiter.Group(d.limiter.MaxConns())
	d.callers.WriteTimeout = callerWriteTimeout
	opts := transport.Options{
		TLS: tlsConf, Stats: transport.NewStats(reg),
		MaxConns: s.MemoryMiB << 20 / peerMemoryShare / peerConnBytes, FrameBytes: int64(s.MemoryMiB) << 20 / frameMemoryShare,
	}
	opts.Hello = func() wire.Hello { return d.server.hello() }
	d.server = New(Options{
		Self: self, Region: s.Region, DataCentre: s.DataCentre, Rack: s.Rack,
		Dispatcher: d.dispatcher, Tickets: d.tickets, Members: d.members,
		Callers: s.Callers, Operators: s.Operators, Seeds: s.Seeds, Transport: opts,
		SubmissionWindow: milliseconds(s.SubmissionWindowMS), ClockTolerance: milliseconds(s.ClockToleranceMS), Logger: log, Registry: reg, Tracer: tracer,
		SubmissionTable: submission.Config{MaxRecords: s.MaxRecords, MaxBytes: s.MaxRecordBytes},
	})
	d.members.SetSponsorRequest(d.server.requestSponsor)
	if err := d.listen(opts); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) listen(opts transport.Options) error {
	var err error
	if d.internalListener, err = transport.Listen(d.settings.InternalAddress, opts); err != nil {
		return err
	}
	if d.httpListener, err = d.callers.Listen(d.settings.HTTPAddress); err != nil {
		return err
	}
	if d.settings.PprofAddress != "" {
		if d.pprofListener, err = net.Listen("tcp", d.settings.PprofAddress); err != nil {
			return fmt.Errorf("listen on %s: %w", d.settings.PprofAddress, err)
		}
	}
	return nil
}

func (d *Daemon) close() {
	d.closeTraces()
	if d.internalListener != nil {
		_ = d.internalListener.Close()
	}
	if d.httpListener != nil {
		_ = d.httpListener.Close()
	}
	if d.pprofListener != nil {
		_ = d.pprofListener.Close()
	}
}

// HTTPAddress returns the address of the HTTP APIs as ip:port.
func (d *Daemon) HTTPAddress() string { return d.httpListener.Addr().String() }

// InternalAddress returns the address for agents and peers as ip:port.
func (d *Daemon) InternalAddress() string { return d.internalListener.Address() }

// entryCount returns the number of entries among which quotas are divided.
func (d *Daemon) entryCount() int { return max(len(d.members.Addresses()), 1) }

// Run serves until ctx ends, then drains and closes the entry.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.close()
	d.log.Log(event.EntryListening, "http", d.HTTPAddress(), "internal", d.InternalAddress(), "incarnation", d.server.self)
	// The components outlive ctx: requests in flight need them until the drain ends.
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, serveCtx := errgroup.WithContext(serveCtx)
	if d.settings.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(gcMemoryFraction * float64(d.settings.MemoryMiB) * (1 << 20)))
	}
	httpServer := &http.Server{
		Handler: httplimit.Handler(d.server.Handler()), ReadHeaderTimeout: readHeaderTimeout,
		ConnState: httplimit.TrackState, ConnContext: httplimit.ContextWithConn,
	}
	for _, component := range []func(context.Context) error{
		d.dispatcher.Run, d.tickets.Run, d.members.Run, d.server.Run, d.join, d.servePprof,
		func(ctx context.Context) error { return d.server.ServeInternal(ctx, d.internalListener) },
		func(ctx context.Context) error { d.limiter.Run(ctx); return nil },
	} {
		g.Go(func() error { return ignoreCanceled(component(serveCtx)) })
	}
	g.Go(func() error { return ignoreClosed(httpServer.Serve(d.httpListener)) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			d.drainer(httpServer).run()
		case <-serveCtx.Done(): // a component failed
			_ = httpServer.Close()
		}
		stop()
		return nil
	})
	err := g.Wait()
	d.log.Log(event.ProcessStopped, "incarnation", d.server.self)
	return err
}

func (d *Daemon) drainer(httpServer *http.Server) *drainer {
	return &drainer{
		server: d.server, httpServer: httpServer, callers: d.callers, leaver: d.members, drainJobs: d.dispatcher.Drain, log: d.log,
		gracePeriod: milliseconds(d.settings.DrainGraceMS), timeout: milliseconds(d.settings.DrainTimeoutMS),
	}
}

// join makes this process a member. The follower keeps retrying during an outage
// of the log.
func (d *Daemon) join(ctx context.Context) error {
	address := d.settings.AdvertiseAddress
	if address == "" {
		address = d.InternalAddress()
	}
	d.server.setInternalAddress(address)
	return d.members.Join(ctx, members.Member{
		Node: d.server.self, Address: address, Region: d.settings.Region, DataCentre: d.settings.DataCentre,
	})
}

// servePprof serves pprof on its own address if one is set.
func (d *Daemon) servePprof(ctx context.Context) error {
	if d.pprofListener == nil {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return ignoreClosed(server.Serve(d.pprofListener))
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve http: %w", err)
}
