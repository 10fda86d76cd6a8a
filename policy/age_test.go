package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// drawCaller draws jobs and how long their drawCaller wait for them: longer for larger ones.
func drawCaller(r *rand.Rand) (needs, stated time.Duration) {
	needs = time.Duration(200 * math.Exp(0.5*r.NormFloat64()) * float64(time.Millisecond))
	stated = time.Duration(1000*math.Exp(0.15*r.NormFloat64()))*time.Millisecond + 3*needs
	return needs, stated
}

// Guards against callers who come for the first time and are taken for older than they are,
// and against callers who have waited long elsewhere and are treated as new.
func TestPriorWait(t *testing.T) {
	c := qt.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	var m CallerTimeoutModel
	needs, _ := drawCaller(r)
	c.Check(m.PriorWait(needs, time.Millisecond), qt.Equals, time.Duration(0), qt.Commentf("nothing is known"))
	for range 300 {
		m.Observe(drawCaller(r))
	}
	old, found, tooOld := 0, 0, 0
	for range 1000 {
		needs, stated := drawCaller(r)
		if m.PriorWait(needs, stated) > 0 {
			old++
		}
		waited := stated * 2 / 3
		if age := m.PriorWait(needs, stated-waited); age > 0 {
			found++
			if age > waited {
				tooOld++
			}
		}
	}
	c.Check(old < 30, qt.IsTrue, qt.Commentf("%d of 1000 new callers count as old", old))
	c.Check(found > 900, qt.IsTrue, qt.Commentf("%d of 1000 old callers are found", found))
	c.Check(tooOld < 30, qt.IsTrue, qt.Commentf("%d of 1000 count as older than they are", tooOld))
	c.Check(m.PriorWait(needs, 0), qt.Equals, time.Duration(0), qt.Commentf("a caller that states nothing"))
}

// Guards against a crowd of returning callers from which the expectation is learned anew,
// and against callers who all wait shorter from some day on and count as old for good.
func TestPriorWaitAfterOutage(t *testing.T) {
	c := qt.New(t)
	r := rand.New(rand.NewPCG(3, 4))
	var m CallerTimeoutModel
	for range 300 {
		m.Observe(drawCaller(r))
	}
	found := 0
	for i := range 400 {
		needs, stated := drawCaller(r)
		if i%2 == 0 {
			stated /= 3
			if m.PriorWait(needs, stated) > 0 {
				found++
			}
		}
		m.Observe(needs, stated)
	}
	c.Check(found > 180, qt.IsTrue, qt.Commentf("%d of 200 are found", found))
	for range 20 * modelWindowJobs {
		needs, stated := drawCaller(r)
		m.Observe(needs, stated/3)
	}
	old := 0
	for range 1000 {
		needs, stated := drawCaller(r)
		if m.PriorWait(needs, stated/3) > 0 {
			old++
		}
	}
	c.Check(old < 50, qt.IsTrue, qt.Commentf("%d of 1000 count as old after the change", old))
}
