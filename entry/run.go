package entry

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"os"
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
	tlsConf, err := s.TLS.load()
	if err != nil {
		return err
	}
	reg := prometheus.NewRegistry()
	self := ids.NewIncarnation(s.Node)
	state := func() *ticket.State { return nil }
	disp := dispatch.New(dispatch.Config{Self: self, State: state, Logger: log, Registerer: reg})
	server := New(Options{
		Self: self, Dispatcher: disp, State: state,
		Callers: s.Callers, Operators: s.Operators, Logger: log, Registry: reg,
	})
	internal, err := transport.Listen(s.InternalAddress, transport.Options{
		TLS:   tlsConf,
		Stats: transport.NewStats(reg),
		Hello: func() wire.Hello {
			return wire.Hello{Node: self, Role: wire.RoleEntry, Region: s.Region, DataCentre: s.DataCentre, Rack: s.Rack}
		},
	})
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
	g.Go(func() error {
		defer stopInternal() // tasks in flight need the agents until the last answer
		return Serve(gctx, web, func() error { return web.Serve(public) }, milliseconds(s.DrainLimitMS))
	})
	return g.Wait()
}

// load reads the PEM files.
func (f TLSFiles) load() (*tls.Config, error) {
	var pem [3][]byte
	for i, path := range []string{f.AuthorityFile, f.CertFile, f.KeyFile} {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("read tls file: %w", err)
		}
		pem[i] = b
	}
	return transport.NodeTLS(pem[0], pem[1], pem[2])
}
