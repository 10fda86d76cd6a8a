package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oriolerelay/wire"
)

// Limits of the reservations of a service. They bound the capacity that is kept idle and the time
// of a placement pass.
const (
	// MaxReservations is the number of waiting tasks of a service that have a reservation.
	MaxReservations = 16
	// endpointsPerReservation is the number of endpoints of a service for each one on which capacity
	// is reserved.
	endpointsPerReservation = 8
)

// reservationGraceShare is the share of the planned run time of a task for which its reservation is
// kept beyond the expected time. Capacity that is kept in vain is then worth at most that share of
// the run that it is kept for.
const reservationGraceShare = 0.5

// ReservationGrace returns the time for which a reservation for a task with the given planned run
// time is kept beyond the time at which its capacity was expected to be free.
func ReservationGrace(planned time.Duration) time.Duration {
	return time.Duration(reservationGraceShare * float64(planned))
}

// MaxReservedEndpoints returns the number of endpoints on which capacity may be reserved.
func MaxReservedEndpoints(endpoints int) int { return max(1, endpoints/endpointsPerReservation) }

// EndpointReservations describes the capacity of an endpoint that is kept for waiting tasks that come
// earlier in the order of the queue.
type EndpointReservations struct {
	Active bool
	// From is the time until the first of them is expected to start.
	From time.Duration
	// Beside is the capacity that is expected to be left beside them. It is negative in a resource
	// that is not expected to suffice.
	Beside FreeCapacity
}

// RunEnd is the expected end of a run.
type RunEnd struct {
	After time.Duration
	Size  wire.Resources
}

// Schedule is what is expected of the runs at an endpoint.
type Schedule struct {
	Ends     []RunEnd // by After once Sort was called
	Reserved wire.Resources
	// Excluded is set if no capacity may be reserved there.
	Excluded bool
}

// Sort sorts the expected ends.
func (s *Schedule) Sort() {
	slices.SortFunc(s.Ends, func(a, b RunEnd) int { return cmp.Compare(a.After, b.After) })
}

// Slot is the expected time from which a task can run on an endpoint.
type Slot struct {
	Index int
	Start time.Duration
	// Beside is the capacity that is expected to be free then beside the task and the earlier
	// reservations.
	Beside FreeCapacity
}

// slot returns the first time at which a task of the given size is expected to fit on e beside the
// earlier reservations. Runs that are not in the schedule, those of other entries, are not expected
// to end.
func (s *Schedule) slot(e *Endpoint, size wire.Resources) (Slot, bool) {
	capacity := NewFreeCapacity(e.Capacity, s.Reserved)
	if !capacity.Fits(size) {
		return Slot{}, false
	}
	free := e.Free.Sub(s.Reserved)
	var start time.Duration
	for i := 0; !free.Fits(size); i++ {
		if i == len(s.Ends) {
			return Slot{}, false
		}
		start = s.Ends[i].After
		free = free.Add(s.Ends[i].Size)
	}
	return Slot{Start: start, Beside: free.min(capacity).Sub(size)}, true
}

// mayReserve reports whether capacity of endpoint i may be reserved for t.
func (t *Task) mayReserve(e *Endpoint, s *Schedule, i int) bool {
	return e.Available && !s.Excluded && t.CanRunOn(e) && !t.atEndpointLimit(i) && !t.conflictsWithTrial(e) &&
		!(e.Confined && t.confinedTo == 0) && !slices.Contains(t.Avoid, i)
}

// PlanReservation returns the slot in which t is expected to end first, with those that let it end
// within its budget before the others. A slot that starts after latest is useless, since the job of
// t is refused by then. If othersReserved is false, only endpoints are used that have a reservation
// already.
func PlanReservation(endpoints []Endpoint, schedules []Schedule, t *Task, latest time.Duration, othersReserved bool) (best Slot, ok bool) {
	var bestEnd time.Duration
	bestInTime := false
	for i := range endpoints {
		e, s := &endpoints[i], &schedules[i]
		if !e.Reservations.Active && !othersReserved || !t.mayReserve(e, s, i) {
			continue
		}
		slot, fits := s.slot(e, t.Size)
		if !fits || slot.Start > latest {
			continue
		}
		end := slot.Start + t.RunTime(e)
		inTime := end <= t.Budget
		if !ok || inTime && !bestInTime || inTime == bestInTime && end < bestEnd {
			slot.Index = i
			best, bestEnd, bestInTime, ok = slot, end, inTime, true
		}
	}
	return best, ok
}

// RenewReservation returns the slot of t on the endpoint with the given index. ok is false if capacity
// for t is no longer expected there.
func RenewReservation(e *Endpoint, s *Schedule, t *Task, index int) (slot Slot, ok bool) {
	if !t.mayReserve(e, s, index) {
		return Slot{}, false
	}
	slot, ok = s.slot(e, t.Size)
	slot.Index = index
	return slot, ok
}

// Reserve keeps the capacity of a slot on e for a task of the given size. from is the time that was
// promised to the task, which does not move when runs take longer than planned: otherwise smaller
// tasks could use the endpoint again and again.
func (e *Endpoint) Reserve(s *Schedule, slot Slot, size wire.Resources, from time.Duration) {
	s.Reserved = s.Reserved.Plus(size)
	r := &e.Reservations
	if r.Active {
		from, slot.Beside = min(from, r.From), slot.Beside.min(r.Beside)
	}
	*r = EndpointReservations{Active: true, From: from, Beside: slot.Beside}
}

// Take records that t is ordered on e.
func (e *Endpoint) Take(t *Task) {
	e.Free = e.Free.Sub(t.Size)
	if e.Reservations.Active && !t.endsBeforeReservation(e) {
		e.Reservations.Beside = e.Reservations.Beside.Sub(t.Size)
	}
}

// fitsNow reports whether there is free capacity for t on e that is not reserved: t fits beside the
// reserved capacity, or is expected to end before that is used.
func (t *Task) fitsNow(e *Endpoint) bool {
	return e.Free.Fits(t.Size) && (!e.Reservations.Active || e.Reservations.Beside.Fits(t.Size) || t.endsBeforeReservation(e))
}

func (t *Task) endsBeforeReservation(e *Endpoint) bool {
	return t.PlannedRunTime(e) <= e.Reservations.From
}

// PlannedRunTime is the run time of t on e that is not exceeded in most cases.
func (t *Task) PlannedRunTime(e *Endpoint) time.Duration {
	return time.Duration(t.RunTimeFactor * float64(t.RunTime(e)))
}

// IsHeldBack reports whether t, which was not placed, would be if nothing were reserved.
func IsHeldBack(endpoints []Endpoint, t *Task) bool {
	for i := range endpoints {
		e := &endpoints[i]
		if e.Reservations.Active && e.Available && e.Free.Fits(t.Size) && t.CanRunOn(e) && !t.atEndpointLimit(i) && !t.conflictsWithTrial(e) {
			return true
		}
	}
	return false
}

// LargestFree returns the largest free capacity of the available endpoints in each resource. A task
// that does not fit into it fits on no endpoint.
func LargestFree(endpoints []Endpoint) (largest FreeCapacity) {
	for i := range endpoints {
		if e := &endpoints[i]; e.Available {
			largest = FreeCapacity{
				max(largest.MilliCores, e.Free.MilliCores), max(largest.MemoryMiB, e.Free.MemoryMiB), max(largest.Accelerators, e.Free.Accelerators),
			}
		}
	}
	return largest
}

// min returns the smaller capacity in each resource.
func (f FreeCapacity) min(o FreeCapacity) FreeCapacity {
	return FreeCapacity{min(f.MilliCores, o.MilliCores), min(f.MemoryMiB, o.MemoryMiB), min(f.Accelerators, o.Accelerators)}
}

// TimeToRefusal returns the time until j is refused unless it can be placed. It is the largest
// duration for a job that is not refused.
func (p Policy) TimeToRefusal(j *QueuedJob, now time.Time) time.Duration {
	if j.Started || !p.Uses(Patience) {
		return math.MaxInt64
	}
	return j.refuseAt().Sub(now)
}

const (
	// plannedQuantile is the quantile of the run times with which ends are planned. A reservation
	// waits for several runs, so that a mean would be too short.
	plannedQuantile = 0.8
	// unknownRunTimeFactor is used for queues of which too few runs have ended; declared run times
	// are off by 40%.
	unknownRunTimeFactor = 1.4
	minRunTimeSamples    = 20
	// The ratios of actual to expected run times are counted in bucketsPerOctave buckets per factor
	// of two, from 2^minOctave.
	bucketsPerOctave = 4
	minOctave        = -3
	runTimeBuckets   = 8 * bucketsPerOctave
	// maxRunTimeSamples is the number of samples at which all counts are halved, so that those of
	// older runs decay.
	maxRunTimeSamples = 512
)

// RunTimeModel learns the ratio of actual to expected run times of a queue. Its size is fixed.
type RunTimeModel struct {
	counts [runTimeBuckets]uint16
	total  int
	factor float64 // 0 until it is computed
}

// Observe adds the run time of a run that succeeded.
func (m *RunTimeModel) Observe(actual, expected time.Duration) {
	if actual <= 0 || expected <= 0 {
		return
	}
	b := int(math.Floor((math.Log2(float64(actual)/float64(expected)) - minOctave) * bucketsPerOctave))
	m.counts[min(max(b, 0), runTimeBuckets-1)]++
	m.total++
	if m.total >= maxRunTimeSamples {
		m.total = 0
		for i := range m.counts {
			m.counts[i] /= 2
			m.total += int(m.counts[i])
		}
	}
	m.factor = 0
}

// Factor returns the factor by which expected run times are multiplied for planning.
func (m *RunTimeModel) Factor() float64 {
	if m == nil || m.total < minRunTimeSamples {
		return unknownRunTimeFactor
	}
	if m.factor == 0 {
		left := plannedQuantile * float64(m.total)
		b := 0
		for ; b < runTimeBuckets-1; b++ {
			if left -= float64(m.counts[b]); left <= 0 {
				break
			}
		}
		m.factor = math.Exp2(minOctave + float64(b+1)/bucketsPerOctave)
	}
	return m.factor
}
