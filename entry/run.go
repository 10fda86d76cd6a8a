package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"golang.org/x/sync/errgroup"

	"oriolerelay/dispatch"
	"oriolerelay/event"
	"oriolerelay/ids"
	"oriolerelay/logstore"
	"oriolerelay/members"
	"oriolerelay/submission"
	"oriolerelay/ticket"
	"oriolerelay/tracing"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// readHeaderTimeout bounds how long a caller may take to send its headers.
const readHeaderTimeout = 5 * time.Second

// Daemon is an entry with its listeners open.
type Daemon struct {
	settings Settings
	log      *event.Logger
	server   *Server
	disp     *dispatch.Dispatcher
	tickets  *ticket.Follower
	members  *members.Follower
	internal *transport.Listener
	public   net.Listener
	profile  net.Listener // nil without a pprof address

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

// Open opens the listeners of an entry. Run must follow.
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
		members:  members.NewFollower(client, log, members.WithRetention(retention), members.WithConfirmation()),
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
	d.disp = dispatch.New(dispatch.Config{
		Self: self, State: d.tickets.Load, Entries: d.entries, Logger: log, Registerer: reg,
		Tracer: traces.Tracer("oriolerelay/dispatch"),
	})
	opts := transport.Options{TLS: tlsConf, Stats: transport.NewStats(reg)}
	opts.Hello = func() wire.Hello { return d.server.hello() }
	d.server = New(Options{
		Self: self, Region: s.Region, DataCentre: s.DataCentre, Rack: s.Rack,
		Dispatcher: d.disp, Tickets: d.tickets, Members: d.members,
		Callers: s.Callers, Operators: s.Operators, Seeds: s.Seeds, Transport: opts,
		Window: milliseconds(s.WindowMS), Tolerance: milliseconds(s.ToleranceMS), Logger: log, Registry: reg, Tracer: tracer,
		Record: submission.Config{MaxRecords: s.RecordEntries, MaxBytes: s.RecordBytes},
	})
	d.members.SetAsk(d.server.askSponsor)
	if err := d.listen(opts); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) listen(opts transport.Options) error {
	var err error
	if d.internal, err = transport.Listen(d.settings.InternalAddress, opts); err != nil {
		return err
	}
	if d.public, err = net.Listen("tcp", d.settings.HTTPAddress); err != nil {
		return fmt.Errorf("listen on %s: %w", d.settings.HTTPAddress, err)
	}
	if d.settings.PprofAddress != "" {
		if d.profile, err = net.Listen("tcp", d.settings.PprofAddress); err != nil {
			return fmt.Errorf("listen on %s: %w", d.settings.PprofAddress, err)
		}
	}
	return nil
}

func (d *Daemon) close() {
	d.closeTraces()
	if d.internal != nil {
		_ = d.internal.Close()
	}
	if d.public != nil {
		_ = d.public.Close()
	}
	if d.profile != nil {
		_ = d.profile.Close()
	}
}

// HTTPAddress returns the address of the HTTP APIs as ip:port.
func (d *Daemon) HTTPAddress() string { return d.public.Addr().String() }

// InternalAddress returns the address for agents and peers as ip:port.
func (d *Daemon) InternalAddress() string { return d.internal.Address() }

// entries returns the number of entries among which quotas are divided.
func (d *Daemon) entries() int { return max(len(d.members.Addresses()), 1) }

// Run serves until ctx ends, then drains and closes the entry.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.close()
	d.log.Log(event.EntryListening, "http", d.HTTPAddress(), "internal", d.InternalAddress(), "incarnation", d.server.self)
	// The parts outlive ctx: requests in flight need them until the drain ends.
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, inner := errgroup.WithContext(inner)
	web := &http.Server{Handler: d.server.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	for _, part := range []func(context.Context) error{
		d.disp.Run, d.tickets.Run, d.members.Run, d.server.Run, d.join, d.serveProfile,
		func(ctx context.Context) error { return d.server.ServeInternal(ctx, d.internal) },
	} {
		g.Go(func() error { return ignoreCancel(part(inner)) })
	}
	g.Go(func() error { return ignoreClosed(web.Serve(d.public)) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			d.drainer(web).run()
		case <-inner.Done(): // a part failed
			_ = web.Close()
		}
		stop()
		return nil
	})
	err := g.Wait()
	d.log.Log(event.ProcessStopped, "incarnation", d.server.self)
	return err
}

func (d *Daemon) drainer(web *http.Server) *drainer {
	return &drainer{
		server: d.server, web: web, leaver: d.members, quiesce: d.disp.Drain, log: d.log,
		grace: milliseconds(d.settings.DrainGraceMS), limit: milliseconds(d.settings.DrainLimitMS),
	}
}

// join makes this process a member. The follower goes on trying during an outage.
func (d *Daemon) join(ctx context.Context) error {
	address := d.settings.AdvertiseAddress
	if address == "" {
		address = d.InternalAddress()
	}
	d.server.setAddress(address)
	return d.members.Join(ctx, members.Member{
		Node: d.server.self, Address: address, Region: d.settings.Region, DataCentre: d.settings.DataCentre,
	})
}

// serveProfile serves pprof on its own address, when one is set.
func (d *Daemon) serveProfile(ctx context.Context) error {
	if d.profile == nil {
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
	return ignoreClosed(server.Serve(d.profile))
}

func ignoreCancel(err error) error {
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
