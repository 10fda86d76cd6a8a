package emulator

import (
	"context"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/job"
	"oriolerelay/wire"
)

// JobKind is a kind of job in a load. The objective of a job is Stretch times its true work plus
// TargetLatency.
type JobKind struct {
	Name          string
	Rate          float64 // jobs per second
	Tasks         int
	Work          time.Duration
	Size          wire.Resources
	Priority      int
	Attempts      int
	Stretch       float64
	TargetLatency time.Duration
	Worth         float64
}

// StandardKinds returns the kinds of jobs of the customer's deployment at the given multiple
// of their rates, with tasks of the given size.
func StandardKinds(scale float64, milliCores uint32) []JobKind {
	size := wire.Resources{MilliCores: milliCores, MemoryMiB: 64}
	return []JobKind{
		{"quote", 34.4 * scale, 8, 60 * time.Millisecond, size, 0, 4, 1.6, 60 * time.Millisecond, 0.0291},
		{"proof", 6.25 * scale, 4, 900 * time.Millisecond, size, 2, 2, 1.6, 60 * time.Millisecond, 0.16},
		{"hold", 100 * scale, 2, 200 * time.Millisecond, size, 1, 2, 1.6, 60 * time.Millisecond, 0.01},
	}
}

// Queue returns the queue for jobs of this kind.
func (k JobKind) Queue() job.Queue {
	return job.Queue{
		Name: k.Name, Service: "service", Priority: k.Priority, Attempts: k.Attempts, Stretch: k.Stretch, TargetLatency: k.TargetLatency,
	}
}

// taskWork returns the true work of a task, which only the endpoint knows: the work of its job
// changed by up to 15%, depending on a hash of the task.
func taskWork(jobWork time.Duration, task string) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(task))
	u := float64(h.Sum64()%1000)/500 - 1
	return time.Duration(float64(jobWork) * (1 + 0.15*u))
}

// Load is an open-loop load: its jobs arrive independently of earlier answers.
type Load struct {
	Kinds    []JobKind
	Duration time.Duration
	Seed     uint64
	// Burst, if positive, multiplies the rates between BurstFrom and BurstTo.
	Burst              float64
	BurstFrom, BurstTo time.Duration
	// DeclaredSigma is the log-normal sigma of the true work relative to the declared run time.
	DeclaredSigma float64
}

// LoadResult is the result of a load.
type LoadResult struct {
	Answers []Answer
	// TotalWorth is the worth of all jobs. EarnedWorth is that of the jobs answered in time,
	// plus a fifth of the worth of jobs answered late but within three times their objective.
	TotalWorth, EarnedWorth    float64
	Submitted, InTime, Refused int
}

// EarnedShare returns the share of the worth that was earned.
func (s LoadResult) EarnedShare() float64 { return s.EarnedWorth / s.TotalWorth }

// Run submits the jobs of the load to the entries of s in turn and waits for all answers.
func (l Load) Run(ctx context.Context, s *System, submit func(ctx context.Context, entry int, j job.Submission) (job.State, *errkind.Error)) LoadResult {
	random := rand.New(rand.NewPCG(l.Seed, 1))
	var totalRate float64
	for _, k := range l.Kinds {
		totalRate += k.Rate
	}
	var out LoadResult
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for n := 0; time.Since(start) < l.Duration; n++ {
		rate := totalRate
		if at := time.Since(start); l.Burst > 0 && at >= l.BurstFrom && at < l.BurstTo {
			rate *= l.Burst
		}
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		k := l.pickKind(random, totalRate)
		declared := time.Duration(float64(k.Work) * math.Exp(0.3*random.NormFloat64()))
		work := time.Duration(float64(declared) * math.Exp(l.DeclaredSigma*random.NormFloat64()))
		j := job.Submission{
			ID: fmt.Sprintf("%016x", random.Uint64()), Queue: k.Queue(), Ephemeral: true,
			Payload: work.String(),
			Steps:   []job.Step{{Count: 1 + random.IntN(2*k.Tasks-1), Size: k.Size, Estimate: declared}},
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			sent := time.Now()
			state, err := submit(ctx, n%len(s.entries), j)
			took := time.Since(sent)
			objective := time.Duration(k.Stretch*float64(work)) + k.TargetLatency
			mu.Lock()
			defer mu.Unlock()
			out.Answers = append(out.Answers, Answer{Job: j.ID, SentAt: sent, ReceivedAt: time.Now(), State: state, Err: err})
			out.Submitted++
			out.TotalWorth += k.Worth
			switch {
			case err != nil:
				out.Refused++
			case took <= objective:
				out.InTime++
				out.EarnedWorth += k.Worth
			case took <= 3*objective:
				out.EarnedWorth += k.Worth / 5
			}
		}()
	}
	wg.Wait()
	return out
}

func (l Load) pickKind(random *rand.Rand, totalRate float64) JobKind {
	x := random.Float64() * totalRate
	for _, k := range l.Kinds {
		if x -= k.Rate; x < 0 {
			return k
		}
	}
	return l.Kinds[len(l.Kinds)-1]
}

// Fleet returns endpoints with the given slowness factors. The payload of a task states the work of
// its job, from which taskWork derives that of the task.
func Fleet(capacity, size wire.Resources, slowness ...float64) []*Endpoint {
	var out []*Endpoint
	for i, f := range slowness {
		e := NewEndpoint(fmt.Sprintf("endpoint-%02d", i), capacity, f)
		e.Work = func(task, payload string) (time.Duration, wire.Resources) {
			d, err := time.ParseDuration(payload)
			if err != nil {
				d = 100 * time.Millisecond
			}
			return taskWork(d, task), size
		}
		out = append(out, e)
	}
	return out
}
