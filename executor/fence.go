package executor

import (
	"sync/atomic"
	"time"

	"oriolerelay/endpointapi"
)

const (
	// minFenceStep and maxFenceStep bound the increase of the fencing token after the endpoint has
	// refused the current one. The step doubles until a token is accepted, since the endpoint does
	// not tell the token that it expects.
	minFenceStep endpointapi.FencingToken = 1000
	maxFenceStep endpointapi.FencingToken = 1 << 42
	// minLateExecution is the shortest time after which the platform executes a call that got no
	// reply and was not executed on arrival.
	minLateExecution = time.Second
)

// fence chooses the fencing tokens of the calls to the endpoint. A call that got no reply may be
// executed seconds later. The token is raised after each such call: once the endpoint has answered
// a call with a higher token, it ignores the earlier one.
type fence struct {
	// current is the token of new calls. The loop writes it and the start workers read it.
	current atomic.Uint64
	// first is the lowest token of calls to the current incarnation of the endpoint, which has
	// seen none before.
	first    endpointapi.FencingToken
	answered endpointapi.FencingToken // highest token of an answered call
	step     endpointapi.FencingToken
	// unansweredGrants are the calls that may still extend the lease, in the order of sending.
	unansweredGrants []unansweredGrant
}

type unansweredGrant struct {
	token  endpointapi.FencingToken
	sentAt time.Time
}

// init chooses a token above those of earlier processes of this agent, which raised their tokens
// less than once a millisecond. If the time of day was set back since, the endpoint refuses the
// token until recordRefusal has raised it far enough.
func (f *fence) init(now time.Time) {
	f.current.Store(uint64(now.UnixMilli()))
	f.first, f.step = f.token(), minFenceStep
}

// token returns the token for a new call.
func (f *fence) token() endpointapi.FencingToken {
	return endpointapi.FencingToken(f.current.Load())
}

// raise returns a token that is higher than those of all earlier calls.
func (f *fence) raise() endpointapi.FencingToken {
	return endpointapi.FencingToken(f.current.Add(1))
}

// startIncarnation records that a new incarnation of the endpoint has started.
func (f *fence) startIncarnation() {
	f.first, f.answered = f.raise(), 0
}

// recordAnswer records that the endpoint has executed a call with the given token.
func (f *fence) recordAnswer(token endpointapi.FencingToken) {
	if token < f.first {
		return // an earlier incarnation may have executed it
	}
	f.answered = max(f.answered, token)
	f.step = minFenceStep
	n := 0
	for _, g := range f.unansweredGrants {
		if g.token >= f.answered {
			f.unansweredGrants[n] = g
			n++
		}
	}
	f.unansweredGrants = f.unansweredGrants[:n]
}

// recordNoReply records that a call got no reply.
func (f *fence) recordNoReply(token endpointapi.FencingToken) {
	if token == f.token() {
		f.raise()
	}
}

// recordLostGrant records that a call that extends the lease got no reply.
func (f *fence) recordLostGrant(token endpointapi.FencingToken, sentAt time.Time) {
	f.unansweredGrants = append(f.unansweredGrants, unansweredGrant{token, sentAt})
	f.recordNoReply(token)
}

// recordRefusal records that the endpoint has seen a higher token than the given one.
func (f *fence) recordRefusal(token endpointapi.FencingToken) {
	if token == f.token() {
		f.current.Add(uint64(f.step))
		f.step = min(2*f.step, maxFenceStep)
	}
}

// isPending reports whether calls may still be executed that got no reply, or that an earlier
// process of this agent made.
func (f *fence) isPending() bool { return f.answered < f.token() }

// latestLeaseEnd returns the latest time at which a lease ends that would have ended at the given
// time without the unanswered grants. lease is the longest extension by one of them.
func (f *fence) latestLeaseEnd(end time.Time, lease time.Duration) time.Time {
	for _, g := range f.unansweredGrants {
		if !g.sentAt.Add(minLateExecution).After(end) {
			end = end.Add(lease)
		}
	}
	return end
}
