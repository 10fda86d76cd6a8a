package policy

import "time"

// promiseStep is the resolution of the expiry of promises. It bounds their number, since no promise
// is for more than maxRetryAfter.
const promiseStep = 100 * time.Millisecond

// Promises is the capacity of a service that refused callers were told to return for. The zero value
// has none.
type Promises struct {
	cores   [maxRetryAfter/promiseStep + 2]float64 // by the time of expiry, in steps
	current int64                                  // the step of now
}

// RetryAfter returns the time after which a refused caller should retry, and the promises with its
// own: by then the service, which gives coresPerSecond to jobs, has had capacity for the jobs ahead of
// it, for the callers that were refused before it, and for its own cores. A promise expires when its
// caller should have returned.
//
// The expected ends of the runs are no measure here: runs that begin meanwhile end before the longest
// ones, and callers that are told too long a time miss the capacity that is free when load falls.
func (p Promises) RetryAfter(ahead, own, coresPerSecond float64, now time.Time) (time.Duration, Promises) {
	p = p.expire(now)
	need := ahead + own
	for _, cores := range p.cores {
		need += cores
	}
	wait := minRetryAfter
	if coresPerSecond > 0 {
		wait = time.Duration(min(max(need/coresPerSecond, minRetryAfter.Seconds()), maxRetryAfter.Seconds()) * float64(time.Second))
	}
	n := int64(len(p.cores))
	p.cores[(p.current+int64((wait+promiseStep-1)/promiseStep))%n] += own
	return wait, p
}

// expire returns the promises that have not expired.
func (p Promises) expire(now time.Time) Promises {
	step, n := now.UnixNano()/int64(promiseStep), int64(len(p.cores))
	for s := max(p.current, step-n); s < step; s++ {
		p.cores[s%n] = 0
	}
	p.current = step
	return p
}
