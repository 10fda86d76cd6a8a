package router

import "time"

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
