package relay

import (
	"context"
	"io"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"oriolerelay/endpointapi"
	"oriolerelay/event"
	"oriolerelay/executor"
	"oriolerelay/platform"
)

// agentStopMargin is the part of the stop grace that is left for the exit itself.
const agentExitMargin = 500 * time.Millisecond

// RunAgent runs the agent beside an endpoint until ctx ends.
func RunAgent(ctx context.Context, path string, out io.Writer, reload <-chan os.Signal) error {
	p, err := newProcess(path, out)
	if err != nil {
		return err
	}
	defer p.close()
	s := &p.settings
	if err := requireSettings("agent", map[string]string{
		"announce_address": s.AnnounceAddress, "endpoint_address": s.EndpointAddress,
	}); err != nil {
		return err
	}
	store := platform.NewStore(s.StoreAddress, s.StorePartitions)
	saves := make(chan endpointapi.Announcement, 1)
	exec := executor.New(executor.Config{
		Save:     func(a endpointapi.Announcement) { setLatest(saves, a) },
		Endpoint: platform.NewEndpoint(s.EndpointAddress),
		Timing:   executor.DefaultTiming(s.maxLease()),
		Policy:   s.policy(),
		Log:      p.log,
		Metrics:  executor.NewMetrics(p.registry),
		Now:      boottime,
		Tracer:   p.tracer,
	})
	p.log.Log(event.ProcessStarted, "role", "agent", "endpoint", s.EndpointAddress, "seeds", len(s.Seeds))
	defer p.log.Log(event.ProcessStopped)

	// What runs outlives ctx: the end of ctx begins the drain.
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, runCtx := errgroup.WithContext(runCtx)
	conns := newAgentConns(p, exec).conns
	conns.setSeeds(s.seedEntries())
	g.Go(func() error { restoreEndpoint(runCtx, p, store, exec); return nil })
	g.Go(func() error { saveEndpoint(runCtx, p, store, saves); return nil })
	g.Go(func() error { exec.Run(runCtx); return nil })
	g.Go(func() error { conns.run(runCtx); return nil })
	g.Go(func() error {
		store.WatchEntries(runCtx, p.log, conns.listPollDelay, conns.applyListChanges)
		return nil
	})
	g.Go(func() error { p.serveMetrics(runCtx); return nil })
	g.Go(func() error {
		p.watchSettings(runCtx, reload, func(s Settings) { conns.setSeeds(s.seedEntries()) })
		return nil
	})
	g.Go(func() error {
		return serveHTTP(runCtx, s.AnnounceAddress, platform.NewAnnounceHandler(exec, p.log))
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-runCtx.Done():
			return nil
		}
		p.log.Log(event.ProcessDraining)
		drainCtx, cancel := context.WithTimeout(runCtx, s.stopGrace()-agentExitMargin)
		defer cancel()
		exec.Leave(drainCtx)
		stop()
		return nil
	})
	return g.Wait()
}

// restoreEndpoint hands the executor what an earlier process of this agent knew. The
// endpoint announces itself within one to two seconds in any case.
func restoreEndpoint(ctx context.Context, p *process, store *platform.Store, exec *executor.Executor) {
	a, ok, err := store.LoadEndpoint(ctx, p.settings.EndpointAddress)
	switch {
	case err != nil:
		p.log.Log(event.StoreUnavailable, "read", "endpoint", "error", err)
	case ok:
		p.log.Log(event.EndpointRestored, "instance", a.Profile.Instance, "born", a.Born, "draining", a.Draining)
		exec.Restore(a)
	}
}

// saveRetry is the pause after a failed record.
const saveRetryDelay = 500 * time.Millisecond

// saveEndpoint records the newest announcement that arrives on saves.
func saveEndpoint(ctx context.Context, p *process, store *platform.Store, saves chan endpointapi.Announcement) {
	for {
		select {
		case a := <-saves:
			if err := store.SaveEndpoint(ctx, p.settings.EndpointAddress, a); err != nil && ctx.Err() == nil {
				p.log.Log(event.StoreUnavailable, "write", "endpoint", "error", err)
				select {
				case <-time.After(saveRetryDelay):
				case <-ctx.Done():
					return
				}
				if len(saves) == 0 {
					setLatest(saves, a)
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

// replace makes v the only value in a channel of capacity 1.
func setLatest[T any](c chan T, v T) {
	select {
	case <-c:
	default:
	}
	select {
	case c <- v:
	default:
	}
}
