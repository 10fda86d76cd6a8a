package emulator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/internal/bubble"
	"oriolerelay/job"
)

// Guards against two concurrent runs of a task: a run counted as lost with its endpoint while its first
// start was in flight and its second one queued, and the next incarnation executed the first.
func TestLateStartInFlightBesideQueuedStart(t *testing.T) {
	withSystem(t, 1, func() []*Endpoint { return Fleet(capacity, taskSize, 1, 1) }, func(c *quicktest.C, s *System) []Answer {
		time.Sleep(4 * time.Second)
		for _, e := range s.Endpoints {
			e.SetFaults(Faults{DelayStarts: 100, Delay: 2 * time.Second})
		}
		answer := submitAsync(s, 0, testJob("00000000000000d1", 24, 5*time.Second))
		time.Sleep(25 * time.Millisecond)
		for _, e := range s.Endpoints {
			e.CrashKeepingID()
			e.SetFaults(Faults{Down: true})
		}
		time.Sleep(300 * time.Millisecond)
		s.Endpoints[1].SetFaults(Faults{}) // the tasks run here
		time.Sleep(1650 * time.Millisecond)
		s.Endpoints[0].SetFaults(Faults{Unresponsive: true})
		time.Sleep(150 * time.Millisecond)
		s.Endpoints[0].SetFaults(Faults{})
		return []Answer{<-answer}
	})
}

// Guards against a task that crashes endpoints at another time than 10 ms after its start and is started
// too often, alone or beside the deaths of agents at crashes.
func TestCrashDelayDoesNotRaiseStarts(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 60 * time.Millisecond, 120 * time.Millisecond, 300 * time.Millisecond} {
		for _, deaths := range []int{0, 1, 2} {
			for _, keepID := range []bool{false, true} {
				t.Run(fmt.Sprintf("%v,%d,%v", after, deaths, keepID), func(t *testing.T) {
					withSystem(t, 2, elevenEndpoints, func(c *quicktest.C, s *System) []Answer {
						for _, e := range s.Endpoints {
							e.CrashOf = func(task, _ string) (Crash, bool) {
								id, err := job.ParseTaskID(task)
								return Crash{After: after, Outage: crashOutage, KeepID: keepID}, err == nil && id.Index == 0
							}
						}
						s.onCrash(func(number, endpoint int, _ string) {
							if number <= deaths {
								s.KillAgent(endpoint)
							}
						})
						time.Sleep(4 * time.Second)
						a := submit(s, 0, testJob("00000000000000d2", 4, 800*time.Millisecond))
						c.Check(a.State, quicktest.Equals, job.Failed, quicktest.Commentf("%v", a.Err))
						return []Answer{a}
					})
				})
			}
		}
	}
}

// Guards against jobs that are shown as failed since racks fail soon after their tasks have started, also
// if the racks are small, or the entry dies that attributed the crashes to the racks.
func TestEarlyRackFailuresFailNoJob(t *testing.T) {
	for _, tc := range []struct {
		name         string
		racks, size  int
		gap          time.Duration
		stored, kill bool
	}{
		{"stored, three endpoints", 3, 3, 60 * time.Millisecond, true, false},
		{"stored, three endpoints, entry dies", 2, 3, 60 * time.Millisecond, true, true},
		{"ephemeral, three endpoints", 3, 3, 60 * time.Millisecond, false, false},
		{"stored, two endpoints", 4, 2, 60 * time.Millisecond, true, false},
		{"ephemeral, two endpoints", 4, 2, 60 * time.Millisecond, false, false},
		{"stored, single endpoints", 6, 1, 70 * time.Millisecond, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				ctx, stop := context.WithCancel(context.Background())
				s := NewStoredSystem(ctx, elevenEndpoints(), 2, nil, NewStore(6))
				time.Sleep(5 * time.Second)
				waiting, giveUp := context.WithCancel(ctx)
				callers := callers{system: s, ctx: waiting}
				for i := range 20 {
					j := testJob(fmt.Sprintf("%016x", 0x3000+i), 4, time.Second)
					j.Ephemeral = !tc.stored
					if tc.stored {
						callers.accept(i%2, j)
					} else {
						callers.submit(i%2, j)
					}
				}
				for rack := range tc.racks {
					time.Sleep(tc.gap)
					for _, e := range s.Endpoints[rack*tc.size : (rack+1)*tc.size] {
						e.Crash()
						e.SetFaults(Faults{Down: true})
						time.AfterFunc(crashOutage, func() { e.SetFaults(Faults{}) })
						time.Sleep(time.Millisecond)
					}
				}
				if tc.kill {
					time.Sleep(time.Second)
					s.KillEntry(0)
				}
				time.Sleep(20 * time.Second)
				giveUp()
				callers.wg.Wait()
				failed := 0
				for _, a := range callers.lastAnswers(ctx) {
					if a.State == job.Failed {
						failed++
					}
				}
				c.Check(failed, quicktest.Equals, 0, quicktest.Commentf("jobs shown as failed, of 20"))
				stop()
				time.Sleep(5 * time.Second)
				synctest.Wait()
			})
		})
	}
}
