package router

import (
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/job"
)

// MaxForwarderAge is the age of the newest status known to a forwarder from which this entry
// orders no more tasks for it. The forwarder may give its jobs up PeerTimeout after that status
// or fail just after it, and its callers resubmit them 1,300 ms later. By then runs that were
// ordered within this time have been stopped.
const MaxForwarderAge = 600 * time.Millisecond

// clockMillis returns the value of PlacementStatus.ClockMillis for a status sent now. It is
// never 0.
func (r *Router) clockMillis() uint64 { return uint64(r.cfg.Now().Milliseconds()) + 1 }

// recordEcho records the ClockMillis that f has returned.
func (f *forwarder) recordEcho(clockMillis uint64) {
	f.echoedClock.Store(max(f.echoedClock.Load(), clockMillis))
}

// echoAge returns how long ago the newest status that f has returned was sent; 0 if f returns
// none.
func (r *Router) echoAge(f *forwarder) time.Duration {
	echoed := f.echoedClock.Load()
	if now := r.clockMillis(); echoed > 0 && now > echoed {
		return time.Duration(now-echoed) * time.Millisecond
	}
	return 0
}

// isStale reports whether f may have given up its jobs: this entry, or the connection between
// them, may have been suspended while messages of f were waiting.
func (r *Router) isStale(f *forwarder) bool { return r.echoAge(f) > MaxForwarderAge }

// refuseStale answers a job that arrived too late to be run.
func (r *Router) refuseStale(f *forwarder, number uint64, s *job.Submission) {
	r.cfg.Log.Log(event.ForwardedJobStale, "job", s.ID, "entry", f.incarnation, "number", number, "status_age_ms", r.echoAge(f).Milliseconds())
	r.sendOutcome(f, number, outcome{err: errkind.New(errkind.QueueFull, "the forwarded job arrived too late to be placed")})
}
