package executor

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/endpointapi"
	"oriolerelay/internal/bubble"
	"oriolerelay/wire"
)

// silentStartEndpoint answers no start; each may be executed later.
type silentStartEndpoint struct{ *hookedEndpoint }

func (e *silentStartEndpoint) Start(ctx context.Context, _ endpointapi.StartRequest) endpointapi.StartReply {
	<-ctx.Done()
	return endpointapi.StartReply{Result: endpointapi.StartUnknown, Err: ctx.Err()}
}

// Guards against a run that counts as lost with its endpoint while its first start is in flight, since
// its second one is still queued: the next incarnation may execute the first.
func TestRunWithStartInFlightAndQueuedStartIsNotLost(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		e := &silentStartEndpoint{&hookedEndpoint{fakeEndpoint: fakeEndpoint{running: make(map[wire.Run]bool), maxListed: 500}}}
		timing := DefaultTiming(time.Second)
		x := New(Config{Endpoint: e, Timing: timing, Metrics: NewMetrics(prometheus.NewRegistry())})
		go x.Run(ctx)
		a := announcementOfLife(1)
		a.Profile.Capacity.MilliCores = 64000
		x.Announce(a)
		entry := &fakeEntry{reports: make(map[wire.Run]wire.RunState)}
		x.Connected("entry.1", entry.send)
		sendHeartbeats(x, time.Second)
		var runs []wire.Run
		for i := range 3 * startWorkers {
			runs = append(runs, wire.Run{Task: taskName(i), Number: 1})
		}
		sendOrder(x, false, runs...)
		var sent []wire.Run // runs with a start in flight and another one queued
		for range 39 {
			time.Sleep(time.Millisecond)
			synctest.Wait()
			x.loop.Do(func() {
				for _, r := range x.runs {
					if r.starts.attempts == 2 && r.sentAt().IsZero() {
						sent = append(sent, r.id)
					}
				}
			})
			if len(sent) > 0 {
				break
			}
		}
		c.Assert(sent, quicktest.Not(quicktest.HasLen), 0)
		e.setObserve(func(context.Context, endpointapi.ObserveRequest) (endpointapi.Observation, error) {
			return endpointapi.Observation{}, &endpointapi.DownError{Err: errors.New("connection refused")}
		})
		sendHeartbeats(x, 200*time.Millisecond)
		for _, r := range sent {
			c.Check(entry.state(r), quicktest.Not(quicktest.Equals), wire.RunLost, quicktest.Commentf(r.Task))
		}
		cancel()
		time.Sleep(time.Second)
		synctest.Wait()
	})
}
