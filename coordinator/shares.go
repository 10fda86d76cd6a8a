package coordinator

import (
	"iter"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

const (
	// judgeInterval is the time between two updates of the standing of the groups.
	judgeInterval = 50 * time.Millisecond
	// sharesInterval is the time between two updates of the counts for other entries and of the metrics.
	sharesInterval = 100 * time.Millisecond
	// maxSharesAge is the age of the counts of another entry from which they are ignored.
	maxSharesAge = time.Second
	// maxShareGroups bounds the groups, their metrics and the size of a message. 80 queues with 3 size
	// classes and 6 data centres need 326.
	maxShareGroups = 512
	// groupIdleTime is the time without a decided job after which a group is removed.
	groupIdleTime = time.Minute
	// sizeSampleLength is the number of jobs of a queue whose sizes define its size classes. They are
	// updated after sizeUpdateJobs more.
	sizeSampleLength = 128
	sizeUpdateJobs   = 16
	// negligibleWork is a work in core-seconds that affects no decision.
	negligibleWork = 0.01
)

// shares holds the recent decisions on ephemeral jobs, by group.
type shares struct {
	services    map[string]*serviceShares
	groups      int // in services
	judgedAt    time.Time
	publishedAt time.Time
	published   atomic.Pointer[[]wire.ServiceShares]
	compared    []*policy.ShareGroup // reused by judge

	mu       sync.Mutex
	received map[string]receivedShares // by entry
}

// receivedShares are the counts of another placement entry.
type receivedShares struct {
	counts     []wire.ServiceShares
	receivedAt time.Time
}

// serviceShares holds the groups of a service.
type serviceShares struct {
	queues      map[string]*queueShares
	dataCentres map[string]*shareGroup
	promoting   bool          // a group is promoted
	compared    []*shareGroup // reused by byKind
}

// queueShares is the group of a queue, with its size classes.
type queueShares struct {
	*shareGroup
	classes [policy.SizeClasses]*shareGroup
	sizes   sizeSample
}

// shareGroup is a group of jobs. Its Counts include those of other entries.
type shareGroup struct {
	policy.ShareGroup
	own         policy.ShareCounts // decisions of this process
	name        string             // in logs and metrics
	wasPromoted bool               // as last logged
	decidedAt   time.Time          // of the last decision, here or at another entry
}

// sizeSample holds the sizes of the last jobs of a queue.
type sizeSample struct {
	sizes  [sizeSampleLength]float64
	count  int
	bounds policy.SizeBounds
}

// jobShares holds the groups of a job. It is nil for jobs that are not counted.
type jobShares struct {
	service     *serviceShares
	queue       *shareGroup
	groups      [3]*shareGroup // the last one is nil if the origin is not known
	coreSeconds float64
	draw        float64                // between 0 and 1; the job is promoted if it is below the fraction of a group
	precedence  policy.SharePrecedence // in the current placement pass
}

func newShares() *shares {
	return &shares{services: make(map[string]*serviceShares), received: make(map[string]receivedShares)}
}

// joinGroups assigns an ephemeral job to its groups.
func (c *Coordinator) joinGroups(j *activeJob, now time.Time) {
	if c.shares == nil {
		return
	}
	q := &j.spec.Queue
	s := c.shares.service(q.Service)
	queue := c.shares.queue(s, q.Name, now)
	if queue == nil {
		return
	}
	size := 0.0
	for i := range j.spec.Steps {
		st := &j.spec.Steps[i]
		size += float64(st.Count) * float64(st.Size.MilliCores) / 1000 * max(st.Estimate, minDeclaredRunTime).Seconds()
	}
	j.shares = &jobShares{service: s, queue: queue.shareGroup, coreSeconds: size, draw: c.random.Float64()}
	j.shares.groups = [3]*shareGroup{queue.shareGroup, queue.classes[queue.sizes.class(size)], nil}
	if origin := j.spec.Origin; origin != "" {
		j.shares.groups[2] = c.shares.dataCentre(s, origin, now)
	}
}

func (s *shares) service(name string) *serviceShares {
	if s.services[name] == nil {
		s.services[name] = &serviceShares{queues: make(map[string]*queueShares), dataCentres: make(map[string]*shareGroup)}
	}
	return s.services[name]
}

// queue returns the group of a queue, or nil if there are too many groups.
func (s *shares) queue(service *serviceShares, name string, now time.Time) *queueShares {
	q := service.queues[name]
	if q == nil && s.groups+1+policy.SizeClasses <= maxShareGroups {
		q = &queueShares{shareGroup: &shareGroup{name: name, decidedAt: now}}
		for i := range q.classes {
			q.classes[i] = &shareGroup{name: name + "/" + policy.SizeClass(i).String(), decidedAt: now}
		}
		q.sizes.bounds = policy.NewSizeBounds(nil)
		service.queues[name] = q
		s.groups += 1 + policy.SizeClasses
	}
	return q
}

// dataCentre returns the group of a data centre, or nil if there are too many groups.
func (s *shares) dataCentre(service *serviceShares, name string, now time.Time) *shareGroup {
	g := service.dataCentres[name]
	if g == nil && s.groups < maxShareGroups {
		g = &shareGroup{name: name, decidedAt: now}
		service.dataCentres[name] = g
		s.groups++
	}
	return g
}

// class adds a job to the sample and returns its class.
func (s *sizeSample) class(coreSeconds float64) policy.SizeClass {
	s.sizes[s.count%sizeSampleLength] = coreSeconds
	s.count++
	if s.count%sizeUpdateJobs == 0 {
		sorted := s.sizes
		filled := sorted[:min(s.count, sizeSampleLength)]
		slices.Sort(filled)
		s.bounds = policy.NewSizeBounds(filled)
	}
	return s.bounds.Class(coreSeconds)
}

// countStarted counts a job of which the first task is ordered.
func (c *Coordinator) countStarted(j *activeJob, now time.Time) {
	if j.shares == nil {
		return
	}
	if j.shares.precedence.Promoted() {
		c.cfg.Metrics.promoted.WithLabelValues(j.spec.Queue.Name).Inc()
	}
	j.shares.count(policy.ShareCounts{Started: j.shares.coreSeconds}, now)
}

// countRefused counts a job that was refused for want of capacity, unless another placement entry has
// refused and counted it before.
func (c *Coordinator) countRefused(j *activeJob, kind errkind.Kind, now time.Time) {
	if j.shares == nil || j.spec.RefusedBefore || kind != errkind.QueueFull && kind != errkind.DeadlineUnmet {
		return
	}
	j.shares.count(policy.ShareCounts{Refused: j.shares.coreSeconds}, now)
}

func (s *jobShares) count(n policy.ShareCounts, now time.Time) {
	n.Squares = s.coreSeconds * s.coreSeconds
	for _, g := range s.groups {
		if g != nil {
			g.own, g.decidedAt = g.own.Add(n, 1), now
		}
	}
}

// setPrecedences updates the precedence of the queued jobs.
func (c *Coordinator) setPrecedences(now time.Time) {
	if c.shares == nil {
		return
	}
	for _, j := range c.queued {
		if j.shares == nil {
			continue
		}
		if !j.shares.service.promoting {
			j.shares.precedence = policy.SharePrecedence{}
			continue
		}
		shortfall := 0.0
		for _, g := range j.shares.groups {
			if g != nil && j.shares.draw < g.Fraction {
				shortfall = max(shortfall, g.Shortfall)
			}
		}
		j.shares.precedence = c.queuedJob(j).Precedence(shortfall, j.shares.queue.Best, now)
	}
}

// waitsForTimelyStart reports whether a task that would be late on the endpoints with free capacity waits
// for another one. A run that ends late would count as service that its caller did not get. A job that has
// not started waits no longer than one without capacity, which is refused then.
func (c *Coordinator) waitsForTimelyStart(j *activeJob, t *policy.Task, endpoints []policy.Endpoint, now time.Time) bool {
	return j.shares != nil && c.cfg.Policy.TimeToRefusal(&j.sortKey, now) > 0 && t.CanBeInTime(endpoints)
}

// isPromoting reports whether a group of a service is promoted.
func (c *Coordinator) isPromoting(service string) bool {
	return c.shares != nil && c.shares.services[service] != nil && c.shares.services[service].promoting
}

// ShareCounts returns the decisions of this process for other placement entries; nil while no job is
// refused.
func (c *Coordinator) ShareCounts() []wire.ServiceShares {
	if c.shares == nil {
		return nil
	}
	if p := c.shares.published.Load(); p != nil {
		return *p
	}
	return nil
}

// SetShareCounts sets the decisions of another placement entry, which replace those that it sent before.
func (c *Coordinator) SetShareCounts(entry string, counts []wire.ServiceShares, receivedAt time.Time) {
	if c.shares == nil {
		return
	}
	c.shares.mu.Lock()
	defer c.shares.mu.Unlock()
	c.shares.received[entry] = receivedShares{counts, receivedAt}
}

// judgeShares updates the counts and the standing of the groups.
func (c *Coordinator) judgeShares(now time.Time) {
	s := c.shares
	if s == nil || now.Sub(s.judgedAt) < judgeInterval {
		return
	}
	s.decay(policy.ShareDecay(now.Sub(s.judgedAt)))
	s.judgedAt = now
	s.addReceived(now)
	publish := now.Sub(s.publishedAt) >= sharesInterval
	if publish {
		s.publishedAt = now
		c.removeIdleGroups(now)
		s.publish()
	}
	for name, service := range s.services {
		service.promoting = false
		for kind, groups := range service.byKind() {
			c.judge(name, service, groups, kind)
			if publish {
				c.cfg.Metrics.updateShares(name, kind, groups)
			}
		}
	}
}

// byKind yields the groups of the service that are compared with each other.
func (s *serviceShares) byKind() iter.Seq2[policy.GroupKind, []*shareGroup] {
	return func(yield func(policy.GroupKind, []*shareGroup) bool) {
		s.compared = s.compared[:0]
		for _, q := range s.queues {
			s.compared = append(s.compared, q.shareGroup)
		}
		if !yield(policy.QueueGroup, s.compared) {
			return
		}
		for _, q := range s.queues {
			if !yield(policy.SizeGroup, q.classes[:]) {
				return
			}
		}
		s.compared = s.compared[:0]
		for _, g := range s.dataCentres {
			s.compared = append(s.compared, g)
		}
		yield(policy.DataCentreGroup, s.compared)
	}
}

// judge updates the standing of the compared groups of one kind.
func (c *Coordinator) judge(name string, s *serviceShares, groups []*shareGroup, kind policy.GroupKind) {
	c.shares.compared = c.shares.compared[:0]
	for _, g := range groups {
		c.shares.compared = append(c.shares.compared, &g.ShareGroup)
	}
	best := policy.JudgeShares(kind, c.shares.compared)
	for _, g := range groups {
		s.promoting = s.promoting || g.Promoted
		if g.Promoted == g.wasPromoted {
			continue
		}
		g.wasPromoted = g.Promoted
		e := event.PromotionEnded
		if g.Promoted {
			e = event.PromotionBegan
		}
		c.cfg.Log.Log(e, "service", name, "kind", kind, "group", g.name, "share", g.Counts.Share(), "best_share", best,
			"core_seconds", g.Counts.Decided())
	}
}

// decay reduces the counts of this process and makes them the counts of the groups.
func (s *shares) decay(factor float64) {
	for _, service := range s.services {
		for _, groups := range service.byKind() {
			for _, g := range groups {
				g.own = policy.ShareCounts{}.Add(g.own, factor)
				g.Counts = g.own
			}
		}
	}
}

// addReceived adds the counts of other placement entries, as far as they are recent.
func (s *shares) addReceived(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for entry, r := range s.received {
		age := now.Sub(r.receivedAt)
		if age > maxSharesAge {
			delete(s.received, entry)
			continue
		}
		factor := policy.ShareDecay(age)
		for i := range r.counts {
			s.addService(&r.counts[i], factor, r.receivedAt)
		}
	}
}

func (s *shares) addService(counts *wire.ServiceShares, factor float64, now time.Time) {
	service := s.service(counts.Service)
	for i := range counts.Queues {
		n := &counts.Queues[i]
		if q := s.queue(service, n.Name, now); q != nil && n.SizeClass < policy.SizeClasses {
			q.shareGroup.addReceived(n, factor, now)
			q.classes[n.SizeClass].addReceived(n, factor, now)
		}
	}
	for i := range counts.DataCentres {
		n := &counts.DataCentres[i]
		if g := s.dataCentre(service, n.Name, now); g != nil {
			g.addReceived(n, factor, now)
		}
	}
}

func (g *shareGroup) addReceived(n *wire.GroupCount, factor float64, now time.Time) {
	c := policy.ShareCounts{Started: float64(n.Started) / 1000, Refused: float64(n.Refused) / 1000, Squares: float64(n.Squares) / 1000}
	g.Counts, g.decidedAt = g.Counts.Add(c, factor), now
}

// publish updates the result of ShareCounts. While no job is refused, no group is promoted and other
// entries need no counts.
func (s *shares) publish() {
	var counts []wire.ServiceShares
	refused := 0.0
	for name, service := range s.services {
		n := wire.ServiceShares{Service: name}
		for queue, q := range service.queues {
			refused = max(refused, q.Counts.Refused)
			for class, g := range q.classes {
				n.Queues = appendCount(n.Queues, g, wire.GroupCount{Name: queue, SizeClass: uint8(class)})
			}
		}
		for _, g := range service.dataCentres {
			n.DataCentres = appendCount(n.DataCentres, g, wire.GroupCount{Name: g.name})
		}
		if len(n.Queues) > 0 {
			counts = append(counts, n)
		}
	}
	if refused < negligibleWork {
		counts = nil
	}
	s.published.Store(&counts)
}

// appendCount appends the decisions of this process on jobs of g.
func appendCount(counts []wire.GroupCount, g *shareGroup, n wire.GroupCount) []wire.GroupCount {
	if g.own.Decided() < negligibleWork {
		return counts
	}
	n.Started, n.Refused, n.Squares = uint64(1000*g.own.Started), uint64(1000*g.own.Refused), uint64(1000*g.own.Squares)
	return append(counts, n)
}

// removeIdleGroups removes groups without recent decisions, with their metrics.
func (c *Coordinator) removeIdleGroups(now time.Time) {
	isIdle := func(g *shareGroup) bool { return now.Sub(g.decidedAt) > groupIdleTime }
	for name, service := range c.shares.services {
		for queue, q := range service.queues {
			if isIdle(q.shareGroup) {
				delete(service.queues, queue)
				c.shares.groups -= 1 + policy.SizeClasses
				c.cfg.Metrics.removeShares(name, policy.QueueGroup, q.shareGroup)
				c.cfg.Metrics.removeShares(name, policy.SizeGroup, q.classes[:]...)
			}
		}
		for dataCentre, g := range service.dataCentres {
			if isIdle(g) {
				delete(service.dataCentres, dataCentre)
				c.shares.groups--
				c.cfg.Metrics.removeShares(name, policy.DataCentreGroup, g)
			}
		}
		if len(service.queues) == 0 {
			for _, g := range service.dataCentres {
				c.cfg.Metrics.removeShares(name, policy.DataCentreGroup, g)
			}
			c.shares.groups -= len(service.dataCentres)
			delete(c.shares.services, name)
		}
	}
}
