package policy

import (
	"slices"
	"time"

	"oriolerelay/wire"
)

const (
	// maxPeerStatusAge is the age up to which the status of another placement entry counts.
	maxPeerStatusAge = 200 * time.Millisecond
	// handoverWaitShare is the share of its slack for which a job waits rather than being returned. The
	// way over another placement entry takes some milliseconds.
	handoverWaitShare = 0.1
)

// PeerStatus is the state of another placement entry as this one knows it.
type PeerStatus struct {
	Incarnation string
	ReceivedAt  time.Time
	Services    []wire.ServiceLoad
	Labels      []wire.ServiceLabels
}

// Peers holds the other placement entries that may place jobs which this one returns. Self is the
// incarnation of this process.
type Peers struct {
	Self    string
	Entries []PeerStatus
}

// HandoverJob is a job of which some tasks cannot be placed now.
type HandoverJob struct {
	Service string
	// Labels are the labels that its tasks require.
	Labels []string
	// Demand is the demand of its tasks, and Largest that of the largest of them, in thousandths of a
	// core.
	Demand, Largest uint64
	// Slack is the time that its objective leaves beyond its expected run time.
	Slack time.Duration
	// Wait is the time after which capacity for it and the jobs ahead of it is expected to be free.
	Wait time.Duration
}

// ReturnedDemand is the demand of a job that was returned to be placed at another entry.
type ReturnedDemand struct {
	Incarnation, Service string
	At                   time.Time
	MilliCores           uint64
}

// counts reports whether a status received at the given time cannot include the demand yet: it has to
// reach the other entry first, and loads are sent at intervals.
func (d *ReturnedDemand) counts(receivedAt, now time.Time) bool {
	return d.At.After(receivedAt.Add(-handoverDelay)) && now.Sub(d.At) <= maxPeerStatusAge
}

// handoverDelay is the time within which a returned job reaches the other entry over the forwarding one, and
// its demand the status that this entry sends.
const handoverDelay = 20 * time.Millisecond

// ChooseHandover returns the peer to which j is handed over: the one with the most free capacity among
// those whose status is recent and which can place all of j. ok is false if j stays: there is none, or
// capacity is expected here soon enough. recent lists what was returned last.
func (p Policy) ChooseHandover(j *HandoverJob, peers []PeerStatus, recent []ReturnedDemand, now time.Time) (index int, ok bool) {
	if !p.Uses(Handover) || float64(j.Wait) <= handoverWaitShare*float64(j.Slack) {
		return 0, false
	}
	var most uint64
	for i := range peers {
		peer := &peers[i]
		if now.Sub(peer.ReceivedAt) > maxPeerStatusAge || !peer.hasLabels(j) {
			continue
		}
		for k := range peer.Services {
			load := &peer.Services[k]
			if load.Service != j.Service {
				continue
			}
			claimed := load.Waiting
			for r := range recent {
				if d := &recent[r]; d.Incarnation == peer.Incarnation && d.Service == j.Service && d.counts(peer.ReceivedAt, now) {
					claimed += d.MilliCores
				}
			}
			if load.Usable >= claimed+j.Demand && load.LargestFree >= j.Largest && load.Usable-claimed > most {
				index, most, ok = i, load.Usable-claimed, true
			}
		}
	}
	return index, ok
}

// hasLabels reports whether endpoints of the peer have the labels that j requires.
func (s *PeerStatus) hasLabels(j *HandoverJob) bool {
	var available []string
	for i := range s.Labels {
		if s.Labels[i].Service == j.Service {
			available = s.Labels[i].Labels
		}
	}
	for _, l := range j.Labels {
		if l != "" && !slices.Contains(available, l) {
			return false
		}
	}
	return true
}

// UsableCapacity returns the free capacity of the available endpoints that tasks of a typical size can
// use, and the largest free part on one endpoint, in thousandths of a core.
func UsableCapacity(endpoints []Endpoint, typical wire.Resources) (usable, largest uint64) {
	for i := range endpoints {
		if e := &endpoints[i]; e.Available && !e.Confined && e.Free.Fits(typical) {
			usable += uint64(max(e.Free.fittingTasks(typical), 0)) * uint64(typical.MilliCores)
			largest = max(largest, uint64(max(e.Free.MilliCores, 0)))
		}
	}
	return usable, largest
}
