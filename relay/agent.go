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

// agentExitMargin is the part of the stop grace period that is reserved for the exit of the
// process.
const agentExitMargin = 500 * time.Millisecond

// RunAgent runs the agent of an endpoint with the settings file at path until ctx is done
// and the agent has drained. It logs to out and reloads the settings after each signal on
// reload.
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

	// The goroutines outlive ctx, since the drain begins when ctx is done.
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
	g.Go(func() error { p.limiter.Run(runCtx); return nil })
	g.Go(func() error {
		p.watchSettings(runCtx, reload, func(s Settings) { conns.setSeeds(s.seedEntries()) })
		return nil
	})
	g.Go(func() error {
		return p.serveHTTP(runCtx, s.AnnounceAddress, platform.NewAnnouncementHandler(exec, p.log))
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
		exec.Drain(drainCtx)
		stop()
		return nil
	})
	return g.Wait()
}

// restoreEndpoint restores the announcement of the endpoint that the previous process of
// this agent saved. The endpoint announces itself again within one to two seconds in any
// case.
func restoreEndpoint(ctx context.Context, p *process, store *platform.Store, exec *executor.Executor) {
	a, ok, err := store.LoadEndpoint(ctx, p.settings.EndpointAddress)
	switch {
	case err != nil:
		p.log.Log(event.StoreUnavailable, "read", "endpoint", "error", err)
	case ok:
		p.log.Log(event.EndpointRestored, "instance", a.Profile.Instance, "born", a.StartMillis, "draining", a.Draining)
		exec.Restore(a)
	}
}

// saveRetryDelay is the delay before a failed save is repeated.
const saveRetryDelay = 500 * time.Millisecond

// saveEndpoint saves the newest announcement received on saves to the store.
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

// setLatest replaces the value buffered in c, a channel of capacity 1, by v.
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
