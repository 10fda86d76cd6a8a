package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"oriolerelay/dispatch"
	"oriolerelay/event"
	"oriolerelay/ids"
	"oriolerelay/ticket"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// readHeaderTimeout bounds how long a caller may take to send its headers.
const readHeaderTimeout = 5 * time.Second

// Run runs an entry with settings s until ctx ends, then drains it.
func Run(ctx context.Context, s Settings, log *event.Logger) error {
	tlsConf, err := s.TLS.Load()
	if err != nil {
		return err
	}
	reg := prometheus.NewRegistry()
	self := ids.NewIncarnation(s.Node)
	opts := transport.Options{
		TLS:   tlsConf,
		Stats: transport.NewStats(reg),
		Hello: func() wire.Hello {
			return wire.Hello{Node: self, Role: wire.RoleEntry, Region: s.Region, DataCentre: s.DataCentre, Rack: s.Rack}
		},
	}
	tickets := noTickets{}
	disp := dispatch.New(dispatch.Config{Self: self, State: tickets.Load, Logger: log, Registerer: reg})
	server := New(Options{
		Self: self, Dispatcher: disp, Tickets: tickets, Members: alone{self},
		Callers: s.Callers, Operators: s.Operators, Seeds: s.Seeds, Transport: opts,
		Window: milliseconds(s.WindowMS), Tolerance: milliseconds(s.ToleranceMS), Logger: log, Registry: reg,
	})
	internal, err := transport.Listen(s.InternalAddress, opts)
	if err != nil {
		return err
	}
	defer internal.Close()
	public, err := net.Listen("tcp", s.HTTPAddress)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.HTTPAddress, err)
	}
	log.Log(event.EntryListening, "http", public.Addr(), "internal", internal.Address(), "incarnation", self)

	web := &http.Server{Handler: server.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	g, gctx := errgroup.WithContext(ctx)
	ictx, stopInternal := context.WithCancel(context.WithoutCancel(ctx))
	defer stopInternal()
	g.Go(func() error { return server.ServeInternal(ictx, internal) })
	g.Go(func() error { return disp.Run(ictx) })
	g.Go(func() error { return server.Run(ictx) })
	g.Go(func() error {
		defer stopInternal() // tasks in flight need the agents until the last answer
		return Serve(gctx, web, func() error { return web.Serve(public) }, milliseconds(s.DrainLimitMS))
	})
	return g.Wait()
}

type noTickets struct{}

func (noTickets) Load() *ticket.State              { return &ticket.State{} }
func (noTickets) Changed() <-chan struct{}         { return nil }
func (noTickets) Encoded() (uint64, []byte, error) { return 0, nil, nil }
func (noTickets) Offer([]byte) error               { return nil }

type alone struct{ self ids.Incarnation }

func (a alone) Home(ids.Submission, string, time.Time) (ids.Incarnation, error) { return a.self, nil }
func (a alone) Left(ids.Incarnation) bool                                       { return false }
func (a alone) Addresses() []wire.EntryAddress                                  { return nil }
func (a alone) ReportSilent([]ids.Incarnation)                                  {}
