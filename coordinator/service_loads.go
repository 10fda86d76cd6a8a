package coordinator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"oriolerelay/wire"
)

// serviceLoadsInterval is the shortest time between two updates of the service loads. Package
// router sends them to other entries at longer intervals.
const serviceLoadsInterval = 10 * time.Millisecond

// ServiceLoads returns the load of the available endpoints, by service.
func (c *Coordinator) ServiceLoads() []wire.ServiceLoad {
	if loads := c.serviceLoads.Load(); loads != nil {
		return *loads
	}
	return nil
}

// Labels returns the labels of the endpoints of the connected agents, by service. The returned
// slice is replaced only when the labels change.
func (c *Coordinator) Labels() []wire.ServiceLabels {
	if labels := c.serviceLabels.Load(); labels != nil {
		return *labels
	}
	return nil
}

// updateLabels updates the result of Labels.
func (c *Coordinator) updateLabels() {
	byService := make(map[string][]string)
	for _, a := range c.agents {
		if a.profile != nil && a.send != nil {
			byService[a.profile.Service] = append(byService[a.profile.Service], a.profile.Labels...)
		}
	}
	labels := make([]wire.ServiceLabels, 0, len(byService))
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		slices.Sort(byService[service])
		labels = append(labels, wire.ServiceLabels{Service: service, Labels: slices.Compact(byService[service])})
	}
	same := func(a, b wire.ServiceLabels) bool { return a.Service == b.Service && slices.Equal(a.Labels, b.Labels) }
	if !slices.EqualFunc(labels, c.Labels(), same) {
		c.serviceLabels.Store(&labels)
	}
}

// updateServiceLoads updates the result of ServiceLoads.
func (c *Coordinator) updateServiceLoads(now time.Time) {
	if now.Sub(c.serviceLoadsAt) < serviceLoadsInterval {
		return
	}
	c.serviceLoadsAt = now
	byService := make(map[string]*wire.ServiceLoad)
	load := func(service string) *wire.ServiceLoad {
		if byService[service] == nil {
			byService[service] = &wire.ServiceLoad{Service: service}
		}
		return byService[service]
	}
	for _, a := range c.agents {
		if a.profile == nil {
			continue
		}
		e := c.policyEndpoint(a, now)
		if !e.Available {
			continue
		}
		l := load(a.profile.Service)
		l.Capacity += uint64(e.Capacity.MilliCores)
		l.Used += uint64(max(int64(e.Capacity.MilliCores)-e.Free.MilliCores, 0))
		c.addUsable(l, &e)
	}
	for _, j := range c.queued {
		load(j.spec.Queue.Service).Waiting += j.waitingMilliCores()
	}
	loads := make([]wire.ServiceLoad, 0, len(byService))
	for _, l := range byService {
		if l.Capacity > 0 {
			loads = append(loads, *l)
		}
	}
	slices.SortFunc(loads, func(a, b wire.ServiceLoad) int { return strings.Compare(a.Service, b.Service) })
	c.serviceLoads.Store(&loads)
}

// waitingMilliCores returns the demand of the tasks of j that wait for capacity.
func (j *activeJob) waitingMilliCores() (n uint64) {
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if t.state == taskWaiting {
				n += uint64(t.step.Size.MilliCores)
			}
		}
	}
	return n
}

// Drain tells the agents that this process will stop, so that they connect to another entry if
// there is one. The jobs of this process are run to their end.
func (c *Coordinator) Drain() {
	c.loop.Do(func() {
		c.draining = true
		for _, a := range c.agents {
			c.sendTo(a, &wire.EntryDraining{})
		}
	})
}
