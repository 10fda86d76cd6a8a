package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/trace"

	"oriolerelay/event"
	"oriolerelay/httplimit"
	"oriolerelay/ids"
	"oriolerelay/settings"
	"oriolerelay/tracing"
	"oriolerelay/transport"
)

const (
	// gcMemoryFraction is the fraction of the process's memory limit that is set as the
	// soft limit of the Go runtime; socket buffers and the rest of the process use what
	// remains. With 0.7, 400 connections with bodies took an entry of 64 MiB to 62.0 MiB,
	// 11 MiB of them program text and 8 to 13 MiB unread bytes in socket buffers.
	gcMemoryFraction = 0.6
	// settingsPollInterval is the time between two reads of the settings file.
	settingsPollInterval = time.Second
	// otherIdleTimeout and otherWriteTimeout are those of ports that callers do not use. Metrics may be
	// read once a minute.
	otherIdleTimeout  = 2 * time.Minute
	otherWriteTimeout = 30 * time.Second
	// maxMetricsRequests bounds the responses with metrics that are built at the same time.
	maxMetricsRequests = 4
)

// process holds what both daemons share: settings, log, metrics and identity.
type process struct {
	settingsPath string
	settings     Settings
	incarnation  ids.Incarnation
	log          *event.Logger
	logSink      *event.AsyncWriter
	registry     *prometheus.Registry
	stats        *transport.Stats
	tracer       trace.Tracer
	limiter      *httplimit.Limiter
	budgets      memoryBudgets
	// shutdownTracing exports the spans that are still buffered.
	shutdownTracing func()
}

// newProcess loads the settings file at path and sets up the log, which is written to
// out, the metrics and the traces.
func newProcess(path string, out io.Writer) (*process, error) {
	p := &process{settingsPath: path}
	if err := settings.Load(path, &p.settings); err != nil {
		return nil, err
	}
	p.incarnation = ids.NewIncarnation(p.settings.Node)
	p.logSink = event.NewAsyncWriter(out, p.settings.ProcessorShare)
	p.log = event.NewLogger(p.logSink, p.incarnation.String())
	stdlog.SetFlags(0)
	stdlog.SetOutput(p.log.Writer())
	p.logSink.OnDropped(func(n int) { p.log.Log(event.LinesDropped, "lines", n) })
	p.registry = prometheus.NewRegistry()
	p.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	p.stats = transport.NewStats(p.registry)
	p.limiter = httplimit.New(httplimit.Config{
		MemoryMiB: p.settings.MemoryMiB, MaxOpenFiles: p.settings.MaxOpenFiles, Log: p.log, Registerer: p.registry,
	})
	p.budgets = newMemoryBudgets(p.settings.MemoryMiB)
	provider, shutdownTracing, err := tracing.Open(p.settings.Traces, "oriole-relay", p.incarnation.String())
	if err != nil {
		return nil, err
	}
	p.tracer, p.shutdownTracing = provider.Tracer("oriolerelay/relay"), shutdownTracing
	if p.settings.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(gcMemoryFraction * float64(p.settings.MemoryMiB) * (1 << 20)))
	}
	return p, nil
}

// close flushes the traces and the log.
func (p *process) close() {
	p.shutdownTracing()
	p.logSink.Flush(time.Second)
}

// serveMetrics serves the metrics over HTTP until ctx is done.
func (p *process) serveMetrics(ctx context.Context) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxMetricsRequests}))
	if err := p.serveHTTP(ctx, p.settings.metricsAddress(), mux); err != nil {
		p.log.Log(event.EntryListenerFailed, "address", p.settings.metricsAddress(), "error", err)
	}
}

// serveHTTP serves h at address, which callers do not use, until ctx is done.
func (p *process) serveHTTP(ctx context.Context, address string, h http.Handler) error {
	l, err := p.limiter.Group(httplimit.OtherConns).Listen(address)
	if err != nil {
		return err
	}
	s := &http.Server{
		Handler: httplimit.Handler(h), ReadHeaderTimeout: defaultHeaderTimeout, MaxHeaderBytes: defaultMaxHeaderBytes,
		IdleTimeout: otherIdleTimeout, WriteTimeout: otherWriteTimeout,
		ConnState: httplimit.TrackState, ConnContext: httplimit.ContextWithConn,
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", address, err)
	}
	return nil
}

// watchSettings calls onChange with the settings whenever the settings file has changed.
// It reads the file periodically and after each signal on reload.
func (p *process) watchSettings(ctx context.Context, reload <-chan os.Signal, onChange func(Settings)) {
	last, _ := os.ReadFile(p.settingsPath) // an unreadable file counts as changed
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	for {
		signalled := false
		select {
		case <-reload:
			signalled = true
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		b, err := os.ReadFile(p.settingsPath)
		if err == nil && string(b) == string(last) {
			if signalled {
				p.log.Log(event.SettingsReloaded, "changed", false)
			}
			continue
		}
		var s Settings
		if err == nil {
			err = settings.Parse(b, &s)
		}
		if err != nil {
			p.log.Log(event.SettingsInvalid, "error", err)
			continue
		}
		last = b
		p.log.Log(event.SettingsReloaded, "changed", true, "signalled", signalled, "seeds", len(s.Seeds))
		onChange(s)
	}
}
