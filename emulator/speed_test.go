package emulator

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/errkind"
	"oriolerelay/internal/bubble"
	"oriolerelay/job"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// Guards against long tasks that start late on slow endpoints since short ones fill the fast ones, and
// against short tasks that are late since they leave these to others. A quarter of the endpoints runs at
// 0.55 of the nominal speed, the others at 1.2.
func TestSpeedMatchServesLongTasks(t *testing.T) {
	on, err := policy.New([]string{string(policy.SpeedMatch)}, nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	for _, tc := range []struct{ load, allGain, longGain, shortLoss float64 }{{0.7, 0, 0.02, 0.02}, {1, 0.06, 0.08, 0.01}, {1.3, 0.06, 0, 0.01}} {
		off, with := playUneven(t, tc.load, policy.Policy{}), playUneven(t, tc.load, on)
		for q := range off {
			t.Logf("load %.1f: %s in time off %.3f, on %.3f", tc.load, q, off[q], with[q])
		}
		quicktest.Check(t, with["all"] >= off["all"]+tc.allGain, quicktest.IsTrue)
		quicktest.Check(t, with["long"] >= off["long"]+tc.longGain, quicktest.IsTrue)
		quicktest.Check(t, with["short"] >= off["short"]-tc.shortLoss, quicktest.IsTrue)
	}
}

// playUneven plays a load of the given share of the capacity and returns the share of the jobs in time,
// by queue and of all.
func playUneven(t *testing.T, load float64, p policy.Policy) map[string]float64 {
	size, slow, fast := wire.Resources{MilliCores: 1500, MemoryMiB: 64}, 1/0.55, 1/1.2
	const scale = 0.206 // with it the demand, of jobs whose work is 13% longer than stated, is the capacity
	kind := func(name string, rate float64, tasks int, work time.Duration, priority int) JobKind {
		return JobKind{name, rate * load * scale, tasks, work, size, priority, 2, 1.6, 60 * time.Millisecond, 1}
	}
	kinds := []JobKind{
		kind("short", 412, 8, 60*time.Millisecond, 0), kind("long", 75, 4, 900*time.Millisecond, 2), kind("middle", 1200, 2, 200*time.Millisecond, 1),
	}
	share, sent := map[string]float64{}, map[string]float64{}
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		endpoints := Fleet(wire.Resources{MilliCores: 20000, MemoryMiB: 64 << 10}, size, slow, fast, fast, fast, slow, fast, fast, fast, slow, fast, fast, fast, slow, fast, fast, fast)
		s := NewPolicySystem(ctx, endpoints, []uint32{800}, p, nil)
		time.Sleep(2 * time.Second)
		var mu sync.Mutex
		result := Load{Kinds: kinds, Duration: 6 * time.Second, Seed: 1, DeclaredSigma: 0.4}.Run(ctx, s, func(ctx context.Context, n int, j job.Submission) (job.State, *errkind.Error) {
			at := time.Now()
			state, err := s.Router(n).Submit(ctx, j)
			work, _ := time.ParseDuration(j.Payload)
			mu.Lock()
			defer mu.Unlock()
			for _, q := range []string{j.Queue.Name, "all"} {
				sent[q]++
				if err == nil && time.Since(at) <= time.Duration(1.6*float64(work))+60*time.Millisecond {
					share[q]++
				}
			}
			return state, err
		})
		quicktest.Check(t, s.Check(result.Answers), quicktest.HasLen, 0)
		stop()
		time.Sleep(time.Second)
		synctest.Wait()
	})
	for q := range sent {
		share[q] /= sent[q]
	}
	return share
}
