package policy

import (
	"math"
	"time"
)

// flowWindow is the time constant of the decay of a Flow. With a second, the forecast expects urgent
// jobs that no longer come when the load falls: 17 of 76 samples were wrong, against 8 of 97.
const flowWindow = 300 * time.Millisecond

// Flow is the rate at which capacity is given to the jobs of a queue. The zero value is a queue
// that gets none.
type Flow struct {
	cores   float64 // given, decayed
	busy    float64 // core-seconds given, decayed
	decayed time.Time
}

// Add returns the flow after cores were given to a task of the given run time.
func (f Flow) Add(cores float64, runTime time.Duration, now time.Time) Flow {
	keep := 0.0
	if !f.decayed.IsZero() {
		keep = math.Exp(-now.Sub(f.decayed).Seconds() / flowWindow.Seconds())
	}
	return Flow{cores: f.cores*keep + cores, busy: f.busy*keep + cores*runTime.Seconds(), decayed: now}
}

// Overtaking is a queue whose future jobs get capacity before the jobs of another one.
type Overtaking struct {
	CoresPerSecond float64
	RunTime        time.Duration
}

// Overtaking returns the demand that the queue is expected to have.
func (f Flow) Overtaking(now time.Time) Overtaking {
	if f.cores <= 0 {
		return Overtaking{}
	}
	keep := math.Exp(-now.Sub(f.decayed).Seconds() / flowWindow.Seconds())
	return Overtaking{
		CoresPerSecond: f.cores * keep / flowWindow.Seconds(),
		RunTime:        time.Duration(f.busy / f.cores * float64(time.Second)),
	}
}

// CoresPerSecond returns the rate of the flow.
func (f Flow) CoresPerSecond(now time.Time) float64 { return f.Overtaking(now).CoresPerSecond }

// overtakingCores returns the cores that future jobs of the given queues use at a time. Their runs
// end again, so that a queue never uses more than its rate times its run time.
func overtakingCores(queues []Overtaking, at time.Duration) (cores float64) {
	for _, q := range queues {
		cores += q.CoresPerSecond * min(at, q.RunTime).Seconds()
	}
	return cores
}

// Forecast predicts when the waiting jobs of a service get capacity. The jobs are added in the order
// of the queue. It is used for one placement pass.
type Forecast struct {
	ends []Release // a heap by After
}

// NewForecast returns a forecast from the expected ends of the runs. It uses the memory of buffer,
// which may be nil.
func NewForecast(r Releases, buffer []Release) Forecast {
	return Forecast{ends: append(buffer[:0], r.releases...)} // sorted, and so a heap
}

// Buffer returns the memory of f for the next forecast.
func (f *Forecast) Buffer() []Release { return f.ends }

// Add predicts the time until the next job of the queue has all its capacity, and takes the
// capacity from the jobs after it. ok is false if the known runs do not release as much; the
// forecast is then unchanged, because such a job needs more than all other jobs together use.
//
// A job that is predicted to get its capacity after latest will be refused before it runs, and
// takes no capacity from the jobs after it.
func (f *Forecast) Add(j *QueuedJob, overtaking []Overtaking, latest time.Duration) (wait time.Duration, ok bool) {
	free, popped := 0.0, 0
	for free < j.UnplacedCores+overtakingCores(overtaking, wait) {
		if popped == len(f.ends) {
			f.restore(popped)
			return 0, false
		}
		// The taken ends are kept behind the heap until the job is known to take them.
		e := f.pop(popped)
		popped++
		wait, free = max(wait, e.After), free+e.Cores
	}
	if !j.Started && wait > latest {
		f.restore(popped)
		return wait, true
	}
	f.ends = f.ends[:len(f.ends)-popped]
	f.push(Release{After: wait + j.ExpectedRunTime, Cores: j.UnplacedCores})
	if rest := free - j.UnplacedCores; rest > 0 {
		f.push(Release{After: wait, Cores: rest}) // free, or used by overtaking jobs only
	}
	return wait, true
}

// pop moves the earliest end behind the heap, whose last popped elements are no part of it any more.
func (f *Forecast) pop(popped int) Release {
	last := len(f.ends) - popped - 1
	f.ends[0], f.ends[last] = f.ends[last], f.ends[0]
	heap := f.ends[:last]
	for i := 0; ; {
		c := 2*i + 1
		if c >= len(heap) {
			break
		}
		if c+1 < len(heap) && heap[c+1].After < heap[c].After {
			c++
		}
		if heap[i].After <= heap[c].After {
			break
		}
		heap[i], heap[c] = heap[c], heap[i]
		i = c
	}
	return f.ends[last]
}

// restore makes the last popped elements part of the heap again.
func (f *Forecast) restore(popped int) {
	for n := len(f.ends) - popped; n < len(f.ends); n++ {
		f.up(n)
	}
}

func (f *Forecast) push(e Release) {
	f.ends = append(f.ends, e)
	f.up(len(f.ends) - 1)
}

func (f *Forecast) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if f.ends[p].After <= f.ends[i].After {
			return
		}
		f.ends[p], f.ends[i] = f.ends[i], f.ends[p]
		i = p
	}
}

// WaitShare returns the share of its longest wait that the job will have waited when it gets its
// capacity in the given time: above 1 it is refused before.
func (j *QueuedJob) WaitShare(wait time.Duration, now time.Time) float64 {
	if longest := j.refuseAt().Sub(j.Arrived); longest > 0 {
		return float64(now.Add(wait).Sub(j.Arrived)) / float64(longest)
	}
	return math.Inf(1)
}

// LongestWait returns the time from now until the job is refused.
func (j *QueuedJob) LongestWait(now time.Time) time.Duration { return j.refuseAt().Sub(now) }

// GotCapacityInTime reports whether a job that gets its last capacity now can still be in time: an
// early refusal of it would have been wrong.
func (j *QueuedJob) GotCapacityInTime(now time.Time) bool { return !j.wouldMissObjective(now) }

const (
	// maxWrongShare is the greatest share of the jobs refused early that may be wrong: that would
	// have got their capacity in time.
	maxWrongShare = 0.1
	// assumedWrong is the number of wrong outcomes that are assumed beyond those seen: the least
	// margin of several is chosen by few outcomes, and so by luck as well.
	assumedWrong = 2
	// minSamples is the least number of recent outcomes for a margin; it follows from assumedWrong.
	minSamples = assumedWrong/maxWrongShare - assumedWrong
	// sampleWindow is the time constant of the decay of the outcomes.
	sampleWindow = 4 * time.Second
	// Wait shares are counted in steps of calibrationStep; the last step has no upper end.
	calibrationStep  = 0.125
	calibrationSteps = 32
	// firstMarginStep is the step of the smallest margin: a job that is predicted to get its capacity
	// in time is not refused.
	firstMarginStep = 8
	// A wrong sample raises the margin by cautionStep and the others lower it, so that it settles
	// where one in fourteen is wrong: fewer than maxWrongShare, since it follows the load late. The
	// outcomes that were seen before jobs were refused early say too little, because each refusal
	// leaves more capacity for those that stay.
	cautionStep          = 1.0
	rightSamplesPerWrong = 13
	firstCaution         = cautionStep
	maxCaution           = 4.0
	// keptAfterWrong is the share of the earlier outcomes that count after a wrong sample.
	keptAfterWrong = 0.5
	// rareSampleShare of the jobs that would be refused early are admitted while there are plenty
	// of outcomes, and frequentSampleShare while there are few.
	rareSampleShare     = 0.1
	frequentSampleShare = 0.25
)

// Calibration holds the recent outcomes of the forecasts for a queue, by the greatest wait share
// that was predicted for the job while it waited. The zero value has none.
type Calibration struct {
	steps   [calibrationSteps]outcomes
	decayed time.Time
	caution float64 // added to the margin
}

// outcomes counts jobs. The weight of a sampled job is the number of jobs that it stands for.
type outcomes struct {
	jobs, weight, wrongWeight float64
}

func (o outcomes) plus(p outcomes) outcomes {
	return outcomes{o.jobs + p.jobs, o.weight + p.weight, o.wrongWeight + p.wrongWeight}
}

// decay returns c with the outcomes aged until now.
func (c Calibration) decay(now time.Time) Calibration {
	if keep := math.Exp(-now.Sub(c.decayed).Seconds() / sampleWindow.Seconds()); keep < 1 {
		c = c.scale(keep)
		c.decayed = now
	}
	return c
}

// scale returns c with the given share of each count.
func (c Calibration) scale(keep float64) Calibration {
	for i, o := range c.steps {
		c.steps[i] = outcomes{o.jobs * keep, o.weight * keep, o.wrongWeight * keep}
	}
	return c
}

// Add returns c with the outcome of a job: whether it got its capacity in time. weight is the number
// of jobs that it stands for, above 1 for a sample.
func (c Calibration) Add(waitShare, weight float64, inTime bool, now time.Time) Calibration {
	if c.decayed.IsZero() {
		c.decayed, c.caution = now, firstCaution
	}
	c = c.decay(now)
	switch {
	case weight > 1 && inTime:
		c.caution = min(c.caution+cautionStep, maxCaution)
		c = c.scale(keptAfterWrong) // the load may have fallen
	case weight > 1:
		c.caution = max(c.caution-cautionStep/rightSamplesPerWrong, 0)
	}
	o := outcomes{jobs: 1, weight: weight}
	if inTime {
		o.wrongWeight = weight
	}
	i := int(min(waitShare/calibrationStep, calibrationSteps-1))
	c.steps[i] = c.steps[i].plus(o)
	return c
}

// Margin is the wait share from which jobs of a queue are refused early.
type Margin struct {
	// WaitShare is positive infinity if no job is refused early.
	WaitShare float64
	// SampleShare is the share of the jobs above the margin that are admitted as samples.
	SampleShare float64
	// Jobs and WrongShare describe the recent outcomes of the jobs above the margin.
	Jobs, WrongShare float64
}

// Enabled reports whether jobs are refused early.
func (m Margin) Enabled() bool { return !math.IsInf(m.WaitShare, 1) }

// Margin returns the smallest wait share above which at most maxWrongShare of the jobs got their
// capacity in time, counting assumedWrong more.
func (c Calibration) Margin(now time.Time) Margin {
	m := Margin{WaitShare: math.Inf(1)}
	if c.decayed.IsZero() {
		return m
	}
	c = c.decay(now)
	var above outcomes
	for i := calibrationSteps - 1; i >= firstMarginStep; i-- {
		above = above.plus(c.steps[i])
		if above.jobs < minSamples {
			continue
		}
		assumed := assumedWrong * above.weight / above.jobs
		if wrong := (above.wrongWeight + assumed) / (above.weight + assumed); wrong <= maxWrongShare {
			m = Margin{WaitShare: float64(i)*calibrationStep + c.caution, Jobs: above.jobs, WrongShare: above.wrongWeight / above.weight}
		}
	}
	m.SampleShare = frequentSampleShare
	if m.Jobs > 2*minSamples {
		m.SampleShare = rareSampleShare
	}
	return m
}

// RefusesEarly reports whether a job is refused although it could wait longer.
func (p Policy) RefusesEarly(waitShare float64, m Margin) bool {
	return p.Uses(EarlyRefusal) && p.Uses(Patience) && m.Enabled() && waitShare >= m.WaitShare
}
