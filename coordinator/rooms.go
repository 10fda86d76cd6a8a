package coordinator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"oriolerelay/wire"
)

// roomsInterval is the shortest time between two computations of the room. Other entries
// are told of it at intervals of 20 ms.
const roomsInterval = 10 * time.Millisecond

// Rooms returns the room at the agents that take tasks, by service.
func (c *Coordinator) Rooms() []wire.ServiceLoad {
	if rooms := c.rooms.Load(); rooms != nil {
		return *rooms
	}
	return nil
}

// Labels returns the labels of the endpoints at these agents, by service. The value
// changes only when they do.
func (c *Coordinator) Labels() []wire.ServiceLabels {
	if labels := c.labels.Load(); labels != nil {
		return *labels
	}
	return nil
}

// updateLabels computes what Labels returns.
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
		c.labels.Store(&labels)
	}
}

// updateRooms computes what Rooms returns.
func (c *Coordinator) updateRooms(now time.Time) {
	if now.Sub(c.roomsAt) < roomsInterval {
		return
	}
	c.roomsAt = now
	byService := make(map[string]*wire.ServiceLoad)
	room := func(service string) *wire.ServiceLoad {
		if byService[service] == nil {
			byService[service] = &wire.ServiceLoad{Service: service}
		}
		return byService[service]
	}
	for _, a := range c.agents {
		if a.profile == nil {
			continue
		}
		e := c.endpoint(a, now)
		if !e.Open {
			continue
		}
		r := room(a.profile.Service)
		r.Capacity += uint64(e.Capacity.MilliCores)
		r.Used += uint64(max(int64(e.Capacity.MilliCores)-e.Free.MilliCores, 0))
	}
	for _, j := range c.waiting {
		room(j.spec.Queue.Service).Waiting += j.waitingMilliCores()
	}
	rooms := make([]wire.ServiceLoad, 0, len(byService))
	for _, r := range byService {
		if r.Capacity > 0 {
			rooms = append(rooms, *r)
		}
	}
	slices.SortFunc(rooms, func(a, b wire.ServiceLoad) int { return strings.Compare(a.Service, b.Service) })
	c.rooms.Store(&rooms)
}

// waitingMilliCores returns what the tasks of j need that wait for room.
func (j *run) waitingMilliCores() (n uint64) {
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if t.state == taskWaiting {
				n += uint64(t.step.Size.MilliCores)
			}
		}
	}
	return n
}

// Leave tells the agents that this process will stop, so that they serve another entry, if
// there is one.
// Jobs that it has are run to their end.
func (c *Coordinator) Leave() {
	c.loop.Do(func() {
		c.leaving = true
		for _, a := range c.agents {
			c.sendTo(a, &wire.EntryDraining{}, time.Now())
		}
	})
}
