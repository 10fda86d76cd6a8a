package executor

import (
	"reflect"
	"time"

	"oriolerelay/endpointapi"
	"oriolerelay/event"
	"oriolerelay/wire"
)

// updateProfile compares the profile in an announcement of the known incarnation with the known
// one. Only the capacity of an endpoint changes, so another profile counts once two consecutive
// announcements state it. repeated is set for an announcement that was received before.
func (x *Executor) updateProfile(a endpointapi.Announcement, repeated bool) {
	p := a.Profile
	switch {
	case equalExceptCapacity(p, *x.profile):
		x.otherProfile = nil
		x.updateCapacity(a, repeated)
	case repeated || x.otherProfile == nil || !equalExceptCapacity(p, *x.otherProfile):
		x.otherProfile = &p
	default:
		stated := p.Capacity
		p.Capacity = p.Capacity.Min(x.otherProfile.Capacity)
		x.replaceProfile(p, a.StartMillis)
		x.statedCapacity, x.announcedAt = stated, a.Clock
	}
}

func equalExceptCapacity(p, q wire.Profile) bool {
	p.Capacity = q.Capacity
	return reflect.DeepEqual(p, q)
}

// updateCapacity uses the lower of the capacities in the last two announcements, for each
// resource: a shrink counts at once, since no start may exceed it, and a growth only once it is
// confirmed, since a single announcement may be false.
func (x *Executor) updateCapacity(a endpointapi.Announcement, repeated bool) {
	capacity := a.Profile.Capacity.Min(x.statedCapacity)
	if repeated {
		capacity = capacity.Min(x.profile.Capacity)
	}
	x.statedCapacity, x.announcedAt = a.Profile.Capacity, a.Clock
	if capacity != x.profile.Capacity {
		p := *x.profile
		p.Capacity = capacity
		x.replaceProfile(p, a.StartMillis)
	}
}

// replaceProfile replaces the profile of the known incarnation and sends it to all entries.
func (x *Executor) replaceProfile(p wire.Profile, startMillis int64) {
	x.cfg.Log.Log(event.EndpointAnnounced, "instance", p.Instance, "born", startMillis, "service", p.Service,
		"millicores", p.Capacity.MilliCores, "memory_mib", p.Capacity.MemoryMiB, "runs", len(x.runs),
		"used_millicores", x.used.MilliCores, "replaced_service", x.profile.Service,
		"replaced_millicores", x.profile.Capacity.MilliCores)
	x.profile, x.otherProfile, x.statusDirty = &p, nil, true
	x.persisted = persistedState{} // the new profile is saved
	for _, e := range x.entries {
		e.profileSent = false
	}
}

// maxAnnouncementLead is how far the time in an announcement may be ahead of the computed one, which
// is based on whole milliseconds. With a greater lead it is false.
const maxAnnouncementLead = 50 * time.Millisecond

// knowsCapacity reports whether the free capacity of the endpoint is known as well as its starts
// require: always if the endpoint enforces its capacity. Otherwise the newest announcement must
// be recent, and the sizes of all runs at the endpoint known.
func (x *Executor) knowsCapacity(now time.Time) bool {
	if !x.capacityUnenforced {
		return true
	}
	age := x.clock.latestEndpointTime(now) - x.announcedAt
	if age < -maxAnnouncementLead || age > x.cfg.Timing.MaxCapacityAge || !x.adoptDeadline.IsZero() {
		return false
	}
	for _, r := range x.runs {
		if r.entry == "" {
			return false // no entry has claimed it
		}
	}
	return true
}

// checkCapacityKnown sends the entries a status when knowsCapacity changes with time.
func (x *Executor) checkCapacityKnown(now time.Time) {
	if known := x.knowsCapacity(now); known != x.capacityKnown {
		x.capacityKnown, x.statusDirty = known, true
	}
}
