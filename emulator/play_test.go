package emulator

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/internal/bubble"
	"oriolerelay/job"
)

var (
	playSeeds  = flag.Int("play.seeds", 2, "number of random plays")
	playFirst  = flag.Uint64("play.first", 1, "seed of the first random play")
	playLength = flag.Duration("play.length", 8*time.Second, "simulated time during which faults are injected")
)

// playResubmitDelay is the time after which a caller submits a job again that got no answer.
const playResubmitDelay = 1300 * time.Millisecond

// Guards against overlapping runs of a task, runs of refused jobs and endpoints used beyond their
// capacity while links, hosts, processes and endpoints fail one after the other and together. The
// seed draws the faults; the order of concurrent events differs between repetitions.
func TestRandomFaults(t *testing.T) {
	for i := range *playSeeds {
		seed := *playFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) { playRandomFaults(t, seed, false) })
		})
	}
}

// Guards against endpoints used beyond a capacity that they do not enforce, and that shrinks while
// agents are down, frozen or cut off.
func TestRandomFaultsWithChangingCapacity(t *testing.T) {
	for i := range *playSeeds {
		seed := *playFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) { playRandomFaults(t, seed, true) })
		})
	}
}

func playRandomFaults(t *testing.T, seed uint64, changingCapacity bool) {
	random := rand.New(rand.NewPCG(seed, 27))
	ctx, stop := context.WithCancel(context.Background())
	shares := make([]uint32, 2+random.IntN(8))
	for i := range shares {
		shares[i] = uint32(100 + 700*random.IntN(2))
	}
	slowness := make([]float64, 4+random.IntN(6))
	for i := range slowness {
		slowness[i] = 0.7 + 0.6*random.Float64()
	}
	s := newPlaySystem(ctx, Fleet(capacity, taskSize, slowness...), shares)
	if changingCapacity {
		for i, e := range s.Endpoints {
			e.Unenforced = true
			go s.changeCapacity(rand.New(rand.NewPCG(seed, uint64(1000+i))), i)
		}
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var answers []Answer
	var callers, faults sync.WaitGroup
	faults.Go(func() {
		if !changingCapacity {
			s.injectFaults(rand.New(rand.NewPCG(seed, 28)), *playLength)
		}
	})
	for start, n := time.Now(), 0; time.Since(start) < *playLength+time.Second; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(65*time.Millisecond)))
		work := time.Duration(50+random.IntN(150)) * time.Millisecond
		if random.IntN(2) == 0 {
			work = time.Duration(300+random.IntN(3000)) * time.Millisecond
		}
		j := testJob(fmt.Sprintf("%08x%08x", seed, n), 1+random.IntN(4), work)
		if changingCapacity {
			j.Steps[0].Count *= 3 // so that all capacity is used
		}
		j.Queue.CapacityUnenforced = changingCapacity
		j.CallerTimeout = work + time.Duration(500+random.IntN(4000))*time.Millisecond
		caller := rand.New(rand.NewPCG(seed, uint64(1000+n)))
		callers.Go(func() {
			got := s.call(caller, j)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, got...)
		})
	}
	faults.Wait()
	callers.Wait()
	time.Sleep(2 * time.Second)
	completed := 0
	for _, a := range answers {
		if a.State == job.Completed {
			completed++
		}
	}
	for _, v := range s.Check(answers) {
		t.Errorf("%s", v)
	}
	t.Logf("%d entries, %d agents, %d answers, %d of completed jobs", len(shares), len(slowness), len(answers), completed)
	if completed == 0 {
		t.Error("no job was completed")
	}
	stop()
	time.Sleep(10 * time.Second)
	synctest.Wait()
}

// readyEntries returns the entries to which the balancer sends requests, without that of the host.
func (s *playSystem) readyEntries(without string) (ready []*playEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.entries {
		if _, _, dead := n.gate.state(); n.host != without && !n.notReady && !dead {
			ready = append(ready, n)
		}
	}
	return ready
}

// call submits a job as a caller does: again after no answer, a broken connection, a 502 or a 504,
// to another entry.
func (s *playSystem) call(random *rand.Rand, j job.Submission) (answers []Answer) {
	host := ""
	for range 4 {
		ready := s.readyEntries(host)
		if len(ready) == 0 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		n := ready[random.IntN(len(ready))]
		host = n.host
		a := s.submitOnce(random, n, j)
		answers = append(answers, a)
		if !a.Disconnected && (a.Err == nil || a.Err.Answer().Status != 502 && a.Err.Answer().Status != 504) {
			return answers
		}
		time.Sleep(playResubmitDelay)
	}
	return answers
}

// submitOnce submits a job to one entry and waits until the caller has an answer or none will come.
func (s *playSystem) submitOnce(random *rand.Rand, n *playEntry, j job.Submission) Answer {
	ctx, noticeReset := context.WithCancel(s.ctx)
	var reset atomic.Bool
	j.CallerDisconnected = reset.Load
	type reply struct {
		state job.State
		err   *errkind.Error
	}
	replies := make(chan reply, 1)
	a := Answer{Job: j.ID, SentAt: time.Now()}
	s.timeline.addSubmission(j.ID, "caller to %s: submits the job", n.incarnation())
	go func() {
		if !s.passCallerLink(callerHost, n.host) || !n.gate.wait() {
			return
		}
		state, err := n.Router.Submit(ctx, j)
		if n.gate.wait() && s.passCallerLink(n.host, callerHost) {
			replies <- reply{state, err}
		}
	}()
	patience := time.NewTimer(j.CallerTimeout + 100*time.Millisecond)
	if random.IntN(12) == 0 { // the connection is reset
		patience.Reset(time.Duration(random.Int64N(int64(j.CallerTimeout))))
	}
	defer patience.Stop()
	select {
	case r := <-replies:
		a.State, a.Err = r.state, r.err
	case <-patience.C:
		a.Disconnected = true
	case <-n.playProcess.ctx.Done():
		a.Disconnected = true
	}
	a.ReceivedAt = time.Now()
	s.timeline.addSubmission(j.ID, "%s to caller: %s %v, disconnected %v", n.incarnation(), a.State, a.Err, a.Disconnected)
	delay := time.Duration(random.Int64N(int64(disconnectNoticeDelay)))
	go func() {
		s.passCallerLink(callerHost, n.host)
		reset.Store(true)
		time.Sleep(delay)
		n.gate.wait()
		noticeReset()
	}()
	return a
}

// callerHost is the host of all callers in the network.
const callerHost = "callers"

// passCallerLink waits while a link between an entry and the callers is cut, and returns false if the
// system stops first.
func (s *playSystem) passCallerLink(from, to string) bool {
	open, _ := s.network.state(from, to)
	if open {
		return s.ctx.Err() == nil
	}
	for !open && s.ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		open, _ = s.network.state(from, to)
	}
	time.Sleep(rand.N(maxRetransmitDelay))
	return s.ctx.Err() == nil
}

// injectFaults injects random faults for the given time and returns when all have ended. At most two
// begin within a second: a chain of three failures within a second can make tasks run twice (see
// "Not built" in docs/platform.md).
func (s *playSystem) injectFaults(random *rand.Rand, length time.Duration) {
	var lasting sync.WaitGroup
	start, beforeLast := time.Now(), time.Time{}
	for last := time.Now(); ; {
		at := last.Add(time.Duration(random.ExpFloat64() * float64(500*time.Millisecond)))
		if earliest := beforeLast.Add(time.Second); at.Before(earliest) {
			at = earliest.Add(time.Duration(random.Int64N(int64(100 * time.Millisecond))))
		}
		if at.Sub(start) > length {
			break
		}
		time.Sleep(time.Until(at))
		beforeLast, last = last, at
		d := time.Duration(50+random.IntN(500)) * time.Millisecond
		if random.IntN(2) == 0 {
			d = time.Duration(300+random.IntN(2500)) * time.Millisecond
		}
		s.injectFault(random, d)
		lasting.Go(func() { time.Sleep(d) })
	}
	lasting.Wait()
	time.Sleep(3 * time.Second)
}

// injectFault begins a random fault that lasts for d if it does not end at once.
func (s *playSystem) injectFault(random *rand.Rand, d time.Duration) {
	s.mu.Lock()
	e, a := random.IntN(len(s.entries)), random.IntN(len(s.agents))
	if len(s.entries) > 3 && random.IntN(3) > 0 { // mostly an entry that places jobs
		if hosts := s.agents[a].connectedTo(); len(hosts) > 0 {
			for i, n := range s.entries {
				if n.host == hosts[0] {
					e = i
				}
			}
		}
	}
	entry, agent := s.entries[e], s.agents[a]
	s.mu.Unlock()
	other := s.entryAt(s.listed[random.IntN(len(s.listed))].Address)
	peer := agent.host
	if other != entry && random.IntN(2) == 0 {
		peer = other.host
	}
	endpoint := s.Endpoints[a]
	kind := random.IntN(20)
	switch {
	case !entry.gate.runs() || !agent.gate.runs():
		if kind >= 3 && kind <= 7 || kind >= 14 && kind <= 17 {
			return // it fails already
		}
	}
	switch kind {
	case 0, 1:
		s.cutLinks(d, [2]string{entry.host, peer}, [2]string{peer, entry.host})
	case 18, 19: // messages wait in one direction while the connection stays open
		from, to := entry.host, peer
		if random.IntN(2) == 0 {
			from, to = to, from
		}
		s.timeline.addFault("messages from %s to %s are held up for %v", from, to, d)
		s.network.addHold(from, to, 1)
		time.AfterFunc(d, func() {
			s.network.addHold(from, to, -1)
			s.timeline.addFault("messages from %s to %s are released", from, to)
		})
	case 2: // in one direction
		if random.IntN(2) == 0 {
			s.cutLinks(d, [2]string{entry.host, peer})
		} else {
			s.cutLinks(d, [2]string{peer, entry.host})
		}
	case 3, 14, 15:
		s.freezeEntry(e, d)
	case 4, 16, 17:
		s.freezeAgent(a, d)
	case 5:
		s.killEntry(e, d)
	case 6:
		s.killAgent(a, d)
	case 7:
		s.drainEntry(e)
	case 8: // slow links
		delay := time.Duration(random.IntN(200)) * time.Millisecond
		s.timeline.addFault("messages from %s to %s take %v longer for %v", entry.host, peer, delay, d)
		s.network.setDelay(entry.host, peer, delay)
		time.AfterFunc(d, func() { s.network.setDelay(entry.host, peer, 0) })
	case 9: // slow processes
		g := entry.gate
		if random.IntN(2) == 0 {
			g = agent.gate
		}
		slow := time.Duration(5+random.IntN(46)) * time.Millisecond
		s.timeline.addFault("%s or %s handles messages %v late for %v", entry.host, agent.host, slow, d)
		g.setSlow(slow)
		time.AfterFunc(d, func() { g.setSlow(0) })
	case 10: // calls to an endpoint are lost or late
		late := time.Duration(10+random.IntN(2500)) * time.Millisecond
		rate := 0.1 + 0.6*random.Float64()
		s.timeline.addFault("%s loses %.1f of its calls for %v, late by %v", endpoint.Name, rate, d, late)
		endpoint.SetFaults(Faults{LossRate: rate, Delay: late, LateGrants: random.IntN(2) == 0})
		time.AfterFunc(d, func() { endpoint.SetFaults(Faults{}) })
	case 11:
		if random.IntN(2) == 0 {
			s.timeline.addFault("%s crashes", endpoint.Name)
			endpoint.Crash()
			return
		}
		endpoint.CrashKeepingID()
		if random.IntN(2) == 0 {
			s.timeline.addFault("%s crashes and starts again under the same id", endpoint.Name)
			return
		}
		s.timeline.addFault("%s crashes and starts again under the same id after %v", endpoint.Name, d)
		faults := endpoint.Faults()
		endpoint.SetFaults(Faults{Down: true})
		time.AfterFunc(d, func() { endpoint.SetFaults(faults) })
	case 12:
		s.timeline.addFault("%s does not respond for %v", endpoint.Name, d)
		endpoint.SetFaults(Faults{Unresponsive: true})
		time.AfterFunc(d, func() { endpoint.SetFaults(Faults{}) })
	case 13: // the host of an agent or of an entry is cut off from all others
		host := entry.host
		if random.IntN(2) == 0 {
			host = agent.host
		}
		links := [][2]string{{host, callerHost}, {callerHost, host}}
		for _, e := range s.listed {
			links = append(links, [2]string{host, e.Address}, [2]string{e.Address, host})
		}
		for _, e := range s.Endpoints {
			links = append(links, [2]string{host, "agent-" + e.Name}, [2]string{"agent-" + e.Name, host})
		}
		s.cutLinks(d, links...)
	}
}

// connectedTo returns the hosts to which the process is connected.
func (p *playProcess) connectedTo() (hosts []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.system.listed {
		if t := p.targets[e.Address]; t != nil && t.connected {
			hosts = append(hosts, e.Address)
		}
	}
	return hosts
}

// cutLinks cuts directed links for d.
func (s *playSystem) cutLinks(d time.Duration, links ...[2]string) {
	s.timeline.addFault("links are cut for %v: %v", d, links)
	for _, l := range links {
		s.network.addCut(l[0], l[1], 1)
	}
	time.AfterFunc(d, func() {
		for _, l := range links {
			s.network.addCut(l[0], l[1], -1)
		}
		s.timeline.addFault("links are healed: %v", links)
	})
}
