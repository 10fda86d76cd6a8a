package load

import (
	"math/rand/v2"
	"time"
)

// Burst multiplies the arrival rate by Factor from At for Length.
type Burst struct {
	At, Duration time.Duration
	Factor       float64
}

// Plan describes an open-loop arrival schedule. Arrivals do not wait for answers,
// so a slow system cannot lower its own load.
type Plan struct {
	Workload Workload
	Seed     uint64
	// Rate is the mean number of submissions per second.
	Rate     float64
	Duration time.Duration
	Bursts   []Burst
	// Declare is the factor on the true run times that the caller declares; zero
	// declares nothing.
	DeclaredFactor float64
}

// RateFor returns the submissions per second that load the given capacity
// (work seconds per second, see Fleet.Capacity) to the fraction load.
func (w Workload) RateFor(load, capacity float64) float64 {
	return load * capacity / w.MeanWork().Seconds()
}

func (p Plan) rateAt(at time.Duration) float64 {
	r := p.Rate
	for _, b := range p.Bursts {
		if at >= b.At && at < b.At+b.Duration {
			r *= b.Factor
		}
	}
	return r
}

// Schedule returns the arrivals of a Poisson process in order. The same plan
// gives the same schedule. Bursts use thinning against the highest rate.
func (p Plan) Schedule() []Submission {
	rng := rand.New(rand.NewPCG(p.Seed, 0x6f72696f6c65))
	peakRate := p.Rate
	for _, b := range p.Bursts {
		peakRate = max(peakRate, p.Rate*b.Factor)
	}
	var list []Submission
	if peakRate <= 0 {
		return nil
	}
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / peakRate * float64(time.Second))
		if at >= p.Duration {
			return list
		}
		accepted := rng.Float64() < p.rateAt(at)/peakRate
		s := p.Workload.sample(rng)
		if accepted {
			s.At = at
			list = append(list, s)
		}
	}
}
