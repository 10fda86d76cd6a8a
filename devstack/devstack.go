// Package devstack runs all roles of the system in one process on loopback: a fake
// platform, two entries, and three agents with sample endpoints of different speeds. It
// serves the quick start and manual experiments with tickets.
package devstack

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"oriolerelay/agent"
	"oriolerelay/endpoint"
	"oriolerelay/entry"
	"oriolerelay/event"
	"oriolerelay/internal/proctest"
	"oriolerelay/load"
	"oriolerelay/logstore/standin"
	"oriolerelay/settings"
	"oriolerelay/transport"
)

// Options configure Run.
type Options struct {
	// Once makes Run return after the sample jobs.
	Once bool
	// HTTP is the HTTP address of the first entry; if empty, a free port is chosen.
	HTTP string
	// Out receives the answers of the sample jobs and the addresses of the roles.
	Out io.Writer
	// Log receives the log events of all roles.
	Log io.Writer
}

// startTimeout bounds the time until every entry knows every endpoint.
const startTimeout = 20 * time.Second

// drainGrace is short because no load balancer has to notice the shutdown. It still
// suffices to append the leave records.
const drainGrace = 300 * time.Millisecond

func spec(http string) proctest.Spec {
	service := load.Veils().Service
	return proctest.Spec{
		Entries: 2, FirstHTTP: http,
		Workers: []proctest.Worker{{Service: service, Speed: 1, Slots: 8}, {Service: service, Speed: 2, Slots: 8}, {Service: service, Speed: 4, Slots: 8}},
		Entry:   map[string]any{"drain_grace_ms": drainGrace.Milliseconds()},
	}
}

// Run starts the stack, sends a ticket that configures the sample service and runs the
// sample jobs. With Once it then stops the stack; otherwise the stack serves until ctx is
// done. The error is nil only if every sample job was answered in full.
func Run(ctx context.Context, o Options) error {
	dir, err := os.MkdirTemp("", "oriole-dev-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	cluster, err := proctest.NewCluster(dir, "", spec(o.HTTP))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	s := &stack{cluster: cluster, log: log.NewSyncWriter(o.Log)}
	stackDone := make(chan error, 1)
	go func() { stackDone <- s.serve(ctx) }()
	samplesDone := make(chan error, 1)
	go func() { samplesDone <- runSamples(ctx, cluster, o) }()
	select {
	case err = <-stackDone:
		return errors.Join(errors.New("a role stopped unexpectedly"), err)
	case err = <-samplesDone:
	}
	if err == nil && !o.Once {
		printAddresses(o.Out, cluster)
		select {
		case err = <-stackDone:
			return err
		case <-ctx.Done():
		}
	}
	stop()
	return errors.Join(err, <-stackDone)
}

// stack runs the roles of a cluster as goroutines of this process.
type stack struct {
	cluster *proctest.Cluster
	log     io.Writer
}

// serve runs all roles until ctx is done or a role returns. It stops the entries first,
// then the endpoints and agents, then the platform, so that requests in flight finish.
func (s *stack) serve(ctx context.Context) error {
	workerCtx, stopWorkers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWorkers()
	platformCtx, stopPlatform := context.WithCancel(context.WithoutCancel(ctx))
	defer stopPlatform()
	var entryGroup, workerGroup, platformGroup errgroup.Group
	entryCtx, stopEntries := context.WithCancel(ctx)
	defer stopEntries()
	run := func(g *errgroup.Group, name string, role func() error) {
		g.Go(func() error {
			defer stopEntries() // the stack stops when any role returns
			if err := role(); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			return nil
		})
	}
	run(&platformGroup, "platform", func() error { return s.platform(platformCtx) })
	for _, p := range s.cluster.Agents {
		run(&workerGroup, p.Name, func() error { return s.agent(workerCtx, p) })
	}
	for _, p := range s.cluster.Endpoints {
		run(&workerGroup, p.Name, func() error { return s.endpoint(workerCtx, p) })
	}
	for _, p := range s.cluster.Entries {
		run(&entryGroup, p.Name, func() error { return s.entry(entryCtx, p) })
	}
	err := entryGroup.Wait()
	stopWorkers()
	err = errors.Join(err, workerGroup.Wait())
	stopPlatform()
	return errors.Join(err, platformGroup.Wait())
}

func (s *stack) platform(ctx context.Context) error {
	srv := &http.Server{Addr: strings.TrimPrefix(s.cluster.PlatformHTTP, "http://"), Handler: standin.New(), ReadHeaderTimeout: time.Second}
	go func() {
		<-ctx.Done()
		_ = srv.Close() // no graceful shutdown: its only clients have stopped
	}()
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (s *stack) entry(ctx context.Context, p *proctest.Process) error {
	var conf entry.Settings
	if err := settings.Load(p.Settings, &conf); err != nil {
		return err
	}
	return entry.Run(ctx, conf, event.NewLogger(s.log, p.Name))
}

func (s *stack) agent(ctx context.Context, p *proctest.Process) error {
	var conf agent.Settings
	if err := settings.Load(p.Settings, &conf); err != nil {
		return err
	}
	tls, err := conf.TLS.Load()
	if err != nil {
		return err
	}
	reg := prometheus.NewRegistry()
	c := conf.Config()
	c.TLS, c.Log, c.Stats = tls, event.NewLogger(s.log, p.Name), transport.NewStats(reg)
	c.Metrics, c.Gatherer = reg, reg
	a, err := agent.New(c)
	if err != nil {
		return err
	}
	return a.Run(ctx)
}

func (s *stack) endpoint(ctx context.Context, p *proctest.Process) error {
	var conf endpoint.Settings
	if err := settings.Load(p.Settings, &conf); err != nil {
		return err
	}
	c, sample := conf.Build()
	e, err := endpoint.New(c, sample)
	if err != nil {
		return err
	}
	sample.Register(e)
	// On shutdown the agent may stop first; the endpoint then fails to deregister.
	if err := e.Run(ctx); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}
