package entry

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oriolerelay/errkind"
	"oriolerelay/ids"
)

// TestRandomResubmissions submits a few ids with one or two bodies for two teams
// concurrently through random entries, while connections break and entries have
// stale or no views. It guards against a second start of any submission, against
// responses that differ, and against "not run" for one that ran.
func TestRandomResubmissions(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, 3)
	var run atomic.Int64
	rapid.Check(t, func(rt *rapid.T) {
		r := &randomRun{cl: cl, prefix: fmt.Sprintf("run-%d", run.Add(1)), at: time.Now(), answers: map[string][]postResult{}}
		for _, n := range cl.nodes {
			r.setView(n, rapid.SampledFrom([]string{"right", "right", "old", "none"}).Draw(rt, "view"))
		}
		steps := rapid.IntRange(5, 25).Draw(rt, "steps")
		for range steps {
			n := cl.nodes[rapid.IntRange(0, 2).Draw(rt, "entry")]
			switch rapid.SampledFrom([]string{"submit", "submit", "submit", "cut", "view"}).Draw(rt, "step") {
			case "submit":
				r.submit(n, rapid.IntRange(0, 3).Draw(rt, "id"), rapid.IntRange(0, 1).Draw(rt, "body"), rapid.SampledFrom([]string{"veil", "lace"}).Draw(rt, "team"))
			case "cut":
				n.closeDialledConns()
			case "view":
				r.setView(n, rapid.SampledFrom([]string{"right", "old", "none"}).Draw(rt, "view"))
			}
		}
		r.wg.Wait()
		r.check(rt)
	})
}

type randomRun struct {
	cl     *cluster
	prefix string
	at     time.Time
	wg     sync.WaitGroup

	mu      sync.Mutex
	answers map[string][]postResult // by team, id and body
}

// home returns the home of an id, which never changes.
func (r *randomRun) home(id string) ids.Incarnation {
	return r.cl.nodes[int(id[len(id)-1]-'0')%len(r.cl.nodes)].server.self
}

// setView gives n the correct view, a stale one that names another entry, or none.
// A stale view never names n itself: an entry acts as home only if it knows all
// records up to the submission time.
func (r *randomRun) setView(n *node, view string) {
	self := n.server.self
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	n.members.home = func(id ids.Submission, _ string) (ids.Incarnation, error) {
		home := r.home(id.Raw)
		switch view {
		case "old":
			for _, other := range r.cl.nodes {
				if o := other.server.self; o != self && o != home {
					return o, nil
				}
			}
		case "none":
			return ids.Incarnation{}, errkind.New(errkind.HomeUnknown, "no view")
		}
		return home, nil
	}
}

func (r *randomRun) submit(n *node, id, body int, team string) {
	r.wg.Go(func() {
		name := fmt.Sprintf("%s-%d", r.prefix, id)
		p := n.post(team+"-secret", requestWithID(name, r.at, fmt.Sprint(body)))
		r.mu.Lock()
		defer r.mu.Unlock()
		key := fmt.Sprintf("%s %s %d", team, name, body)
		r.answers[key] = append(r.answers[key], p)
	})
}

// closeDialledConns closes the connections that n dialled.
func (n *node) closeDialledConns() {
	p := &n.server.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if l.conn != nil {
			_ = l.conn.Close()
		}
	}
}

func (r *randomRun) check(t *rapid.T) {
	for id := range 4 {
		for _, team := range []string{"veil", "lace"} {
			name := fmt.Sprintf("%s-%d", r.prefix, id)
			started := r.cl.starts.count(team, name)
			if started > 1 {
				t.Fatalf("%s of %s started %d times", name, team, started)
			}
			complete := 0
			for body := range 2 {
				if r.checkAnswers(t, fmt.Sprintf("%s %s %d", team, name, body), body) {
					complete++
				}
			}
			if complete > started {
				t.Fatalf("%s of %s: %d bodies completed with %d starts", name, team, complete, started)
			}
		}
	}
}

// checkAnswers reports whether one of the answers is complete.
func (r *randomRun) checkAnswers(t *rapid.T, key string, body int) bool {
	first := ""
	for _, p := range r.answers[key] {
		var a responseBody
		if err := json.Unmarshal([]byte(p.Body), &a); err != nil {
			t.Fatalf("%s: %v in %s", key, err, p.Body)
		}
		switch {
		case p.Status != 200:
			if a.Error.Outcome == errkind.NotRun && a.Error.Kind != errkind.IDConflict {
				t.Fatalf("%s: %s", key, p.Body)
			}
		case string(a.Tasks[0].Body) != fmt.Sprint(body):
			t.Fatalf("%s: answer of another body: %s", key, p.Body)
		case first != "" && p.Body != first:
			t.Fatalf("%s: %s and %s", key, first, p.Body)
		default:
			first = p.Body
		}
	}
	return first != ""
}
