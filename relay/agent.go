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
const agentStopMargin = 500 * time.Millisecond

// RunAgent runs the agent beside an endpoint until ctx ends.
func RunAgent(ctx context.Context, path string, out io.Writer, reload <-chan os.Signal) error {
	p, err := newProcess(path, out)
	if err != nil {
		return err
	}
	defer p.close()
	s := &p.settings
	if err := require("agent", map[string]string{
		"announce_address": s.AnnounceAddress, "endpoint_address": s.EndpointAddress,
	}); err != nil {
		return err
	}
	store := platform.NewStore(s.StoreAddress, s.StorePartitions)
	saves := make(chan endpointapi.Announcement, 1)
	x := executor.New(executor.Config{
		Save:     func(a endpointapi.Announcement) { replace(saves, a) },
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
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, life := errgroup.WithContext(life)
	links := newServedEntries(p, x).links
	links.setSeeds(s.seedEntries())
	g.Go(func() error { restoreEndpoint(life, p, store, x); return nil })
	g.Go(func() error { saveEndpoint(life, p, store, saves); return nil })
	g.Go(func() error { x.Run(life); return nil })
	g.Go(func() error { links.run(life); return nil })
	g.Go(func() error { store.WatchEntries(life, p.log, links.pace, links.recorded); return nil })
	g.Go(func() error { p.serveMetrics(life); return nil })
	g.Go(func() error {
		p.watchSettings(life, reload, func(s Settings) { links.setSeeds(s.seedEntries()) })
		return nil
	})
	g.Go(func() error {
		return serveHTTP(life, s.AnnounceAddress, platform.NewAnnouncementHandler(x, p.log))
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-life.Done():
			return nil
		}
		p.log.Log(event.ProcessDraining)
		drain, cancel := context.WithTimeout(life, s.stopGrace()-agentStopMargin)
		defer cancel()
		x.Leave(drain)
		stop()
		return nil
	})
	return g.Wait()
}

// restoreEndpoint hands the executor what an earlier process of this agent knew. The
// endpoint announces itself within one to two seconds in any case.
func restoreEndpoint(ctx context.Context, p *process, store *platform.Store, x *executor.Executor) {
	a, ok, err := store.LoadEndpoint(ctx, p.settings.EndpointAddress)
	switch {
	case err != nil:
		p.log.Log(event.StoreUnavailable, "read", "endpoint", "error", err)
	case ok:
		p.log.Log(event.EndpointRestored, "instance", a.Profile.Instance, "born", a.Born, "draining", a.Draining)
		x.Restore(a)
	}
}

// saveRetry is the pause after a failed record.
const saveRetry = 500 * time.Millisecond

// saveEndpoint records the newest announcement that arrives on saves.
func saveEndpoint(ctx context.Context, p *process, store *platform.Store, saves chan endpointapi.Announcement) {
	for {
		select {
		case a := <-saves:
			if err := store.SaveEndpoint(ctx, p.settings.EndpointAddress, a); err != nil && ctx.Err() == nil {
				p.log.Log(event.StoreUnavailable, "write", "endpoint", "error", err)
				select {
				case <-time.After(saveRetry):
				case <-ctx.Done():
					return
				}
				if len(saves) == 0 {
					replace(saves, a)
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

// replace makes v the only value in a channel of capacity 1.
func replace[T any](c chan T, v T) {
	select {
	case <-c:
	default:
	}
	select {
	case c <- v:
	default:
	}
}
