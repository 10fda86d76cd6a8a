package emulator

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

var lateSeeds = flag.Int("play.late", 0, "number of random plays with late starts; run by hand, see KNOWN-RED.txt")

// Guards against overlapping runs of a task when starts get no reply and are executed seconds later,
// while their endpoints crash, are down or do not respond, and agents restart. The seed draws the faults.
func TestRandomLateStarts(t *testing.T) {
	for i := range *lateSeeds {
		seed := *playFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playLateStarts(t, seed) })
	}
}

func playLateStarts(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	endpoints := func() []*Endpoint { return Fleet(capacity, taskSize, 1, 1, 1, 1) }
	withSystem(t, 1, endpoints, func(c *quicktest.C, s *System) []Answer {
		time.Sleep(time.Duration(random.IntN(6000)) * time.Millisecond)
		lossRate := 0.2 + 0.6*random.Float64()
		late := Faults{LossRate: lossRate, Delay: time.Duration(500+random.IntN(3500)) * time.Millisecond, LateGrants: random.IntN(2) == 0}
		for _, e := range s.Endpoints {
			e.SetFaults(late)
		}
		var pending []chan Answer
		for i := range 8 {
			pending = append(pending, submitAsync(s, 0, testJob(fmt.Sprintf("%016x", seed<<8+uint64(i)), 3, 4*time.Second)))
			time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
			e := s.Endpoints[random.IntN(len(s.Endpoints))]
			down := time.Duration(20+random.IntN(2500)) * time.Millisecond
			switch random.IntN(6) {
			case 0:
				e.CrashKeepingID()
			case 1, 2:
				e.CrashKeepingID()
				e.SetFaults(Faults{Down: true})
				time.AfterFunc(down, func() { e.SetFaults(late) })
			case 3:
				e.Crash()
				e.SetFaults(Faults{Down: true})
				time.AfterFunc(down, func() { e.SetFaults(late) })
			case 4:
				e.SetFaults(Faults{Unresponsive: true})
				time.AfterFunc(down, func() { e.SetFaults(late) })
			case 5:
				s.KillAgent(random.IntN(len(s.Endpoints)))
			}
		}
		time.Sleep(2 * time.Second)
		for _, e := range s.Endpoints {
			e.SetFaults(Faults{})
		}
		var answers []Answer
		for _, p := range pending {
			answers = append(answers, <-p)
		}
		return answers
	})
}
