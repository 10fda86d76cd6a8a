package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
)

// TestResubmittedWhileRunning guards against a second start when a running
// submission is resubmitted to its home and to other entries, and against
// responses that differ.
func TestResubmittedWhileRunning(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(t, 3)
	home := cl.nodes[2]
	cl.setHomeEverywhere(home)
	release := home.blockJobs()
	body := requestWithID("order-17", time.Now(), `{"motif":"rose"}`)
	var answers []<-chan postResult
	for _, n := range cl.nodes {
		answers = append(answers, n.postAsync("veil-secret", body), n.postAsync("veil-secret", body))
	}
	receive(t, home.dispatcher.running)
	answers = append(answers, cl.nodes[0].postAsync("veil-secret", body))
	release()
	first := receive(t, answers[0])
	c.Assert(first.Status, qt.Equals, 200)
	for _, a := range answers[1:] {
		c.Assert(receive(t, a), qt.DeepEquals, first)
	}
	c.Assert(cl.nodes[1].post("veil-secret", body), qt.DeepEquals, first)
	c.Assert(cl.starts.count("veil", "order-17"), qt.Equals, 1)
}

// TestResubmittedWithIssuedID guards against the same failures for an issued id,
// which names its home.
func TestResubmittedWithIssuedID(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(t, 2)
	id := cl.nodes[1].issueID(t)
	body := fmt.Sprintf(`{"id":%q,"service":"veil-desk","kind":"preview","payload":7}`, id)
	first := cl.nodes[0].post("veil-secret", body)
	c.Assert(first.Status, qt.Equals, 200)
	c.Assert(cl.nodes[1].post("veil-secret", body), qt.DeepEquals, first)
	c.Assert(cl.starts.count("veil", id), qt.Equals, 1)
}

// TestDifferentBodyConflicts guards against a resubmission with a different body
// that receives or affects the first attempt's answer.
func TestDifferentBodyConflicts(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(t, 2)
	home := cl.nodes[1]
	cl.setHomeEverywhere(home)
	release := home.blockJobs()
	now := time.Now()
	first := cl.nodes[0].postAsync("veil-secret", requestWithID("order-17", now, `1`))
	receive(t, home.dispatcher.running)
	other := cl.nodes[0].post("veil-secret", requestWithID("order-17", now, `2`))
	c.Assert(other.Status, qt.Equals, 409)
	c.Assert(errorKind(t, other.Body), qt.Equals, errkind.IDConflict)
	release()
	c.Assert(receive(t, first).Status, qt.Equals, 200)
	spaced := strings.Replace(requestWithID("order-17", now, `1`), ",", " ,\n", 1)
	c.Assert(cl.nodes[0].post("veil-secret", spaced).Status, qt.Equals, 200)
	c.Assert(cl.starts.count("veil", "order-17"), qt.Equals, 1)
}

// TestTeamsAreSeparate guards against a caller that reads, cancels or joins the
// submission of another team with the same id.
func TestTeamsAreSeparate(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(t, 2)
	home := cl.nodes[1]
	cl.setHomeEverywhere(home)
	release := home.blockJobs()
	now := time.Now()
	veil := cl.nodes[0].postAsync("veil-secret", requestWithID("order-17", now, `"veil"`))
	receive(t, home.dispatcher.running)
	path := fmt.Sprintf("/v1/requests/order-17?submitted_at=%d", now.UnixMilli())
	for _, method := range []string{"GET", "DELETE"} {
		status, _, body := call(cl.nodes[0].handler, method, path, "lace-secret", "")
		c.Assert(status, qt.Equals, 404)
		c.Assert(errorKind(t, body), qt.Equals, errkind.NotFound)
	}
	lace := cl.nodes[0].postAsync("lace-secret", requestWithID("order-17", now, `"lace"`))
	receive(t, home.dispatcher.running)
	release()
	c.Assert(string(decodeAnswer(t, receive(t, veil).Body).Tasks[0].Body), qt.Equals, `"veil"`)
	c.Assert(string(decodeAnswer(t, receive(t, lace).Body).Tasks[0].Body), qt.Equals, `"lace"`)
	c.Assert(cl.starts.count("veil", "order-17"), qt.Equals, 1)
	c.Assert(cl.starts.count("lace", "order-17"), qt.Equals, 1)
}

// TestFetchAndCancel guards against a fetch or cancel that works only at the home.
func TestFetchAndCancel(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(t, 2)
	home, other := cl.nodes[1], cl.nodes[0]
	cl.setHomeEverywhere(home)
	home.blockJobs()
	now := time.Now()
	path := fmt.Sprintf("/v1/requests/order-17?submitted_at=%d", now.UnixMilli())
	running := other.postAsync("veil-secret", requestWithID("order-17", now, `1`))
	receive(t, home.dispatcher.running)
	status, _, body := call(other.handler, "GET", path, "veil-secret", "")
	c.Assert(status, qt.Equals, http.StatusAccepted)
	c.Assert(decodeAnswer(t, body).Status, qt.Equals, statusRunning)
	status, _, cancelled := call(other.handler, "DELETE", path, "veil-secret", "")
	c.Assert(status, qt.Equals, 409)
	c.Assert(errorKind(t, cancelled), qt.Equals, errkind.CancelledRunning)
	c.Assert(receive(t, running).Body, qt.Equals, cancelled)
	_, _, body = call(other.handler, "GET", path, "veil-secret", "")
	c.Assert(body, qt.Equals, cancelled)
}

// TestCallerDisconnects guards against a job that is cancelled although its caller
// can resubmit it, and against one that continues although nobody can fetch its
// answer.
func TestCallerDisconnects(t *testing.T) {
	c := qt.New(t)
	disp := &fakeDispatcher{starts: &startCounter{}, release: make(chan struct{}), running: make(chan struct{}, 1), cancelled: make(chan string, 1)}
	h := testServer(disp).Handler()
	disconnect := func(body string) {
		ctx, cancel := context.WithCancel(context.Background())
		r := httptest.NewRequestWithContext(ctx, "POST", "/v1/requests", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer veil-secret")
		done := make(chan struct{})
		go func() {
			defer close(done)
			h.ServeHTTP(httptest.NewRecorder(), r)
		}()
		receive(t, disp.running)
		cancel()
		receive(t, done)
	}
	disconnect(previewBody)
	c.Assert(receive(t, disp.cancelled), qt.Matches, "@entry-1.*")

	body := requestWithID("order-17", time.Now(), `1`)
	disconnect(body)
	close(disp.release)
	status, _, answer := call(h, "POST", "/v1/requests", "veil-secret", body)
	c.Assert(status, qt.Equals, 200, qt.Commentf("%s", answer))
	c.Assert(disp.starts.count("veil", "order-17"), qt.Equals, 1)
	c.Assert(disp.cancelled, qt.HasLen, 0)
}

// TestSubmissionWindow guards against a submission that is accepted after its
// record may have expired, and against a refusal that wrongly states "not run".
func TestSubmissionWindow(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1764800000000)
	opts := testOptions(&fakeDispatcher{starts: &startCounter{}})
	opts.Now = func() time.Time { return now }
	h := New(opts).Handler()
	post := func(age time.Duration) (int, errorBody) {
		status, _, body := call(h, "POST", "/v1/requests", "veil-secret", requestWithID(fmt.Sprintf("order-%d", age), now.Add(-age), `1`))
		if e := decodeAnswer(t, body).Error; e != nil {
			return status, *e
		}
		return status, errorBody{}
	}
	for _, age := range []time.Duration{-defaultClockTolerance, 0, defaultSubmissionWindow} {
		status, _ := post(age)
		c.Assert(status, qt.Equals, 200, qt.Commentf("age %s", age))
	}
	status, e := post(defaultSubmissionWindow + time.Millisecond)
	c.Assert(status, qt.Equals, 410)
	c.Assert(e.Kind, qt.Equals, errkind.SubmissionStale)
	c.Assert(e.Outcome, qt.Equals, errkind.MayHaveRun)
	_, e = post(-defaultClockTolerance - time.Millisecond)
	c.Assert(e.Kind, qt.Equals, errkind.SubmissionFuture)
	c.Assert(e.Outcome, qt.Equals, errkind.NotRun)
	c.Assert(e.Detail, qt.Contains, "501ms ahead")
}

// TestPauseAcrossExpiry guards against a second start, or an answer other than the
// first one, when the process is paused during a resubmission for so long that the
// record of the first attempt expires.
func TestPauseAcrossExpiry(t *testing.T) {
	c := qt.New(t)
	clock := &jumpingClock{start: time.UnixMilli(1764800000000), jump: defaultSubmissionWindow + defaultClockTolerance + time.Second}
	counts := &startCounter{}
	opts := testOptions(&fakeDispatcher{starts: counts})
	opts.Now = clock.now
	h := New(opts).Handler()
	// The pause is simulated at each reading of the clock during the resubmission.
	for at := 1; at <= 8; at++ {
		clock.reset(0)
		id := fmt.Sprintf("order-%d", at)
		body := requestWithID(id, clock.start, `1`)
		status, _, first := call(h, "POST", "/v1/requests", "veil-secret", body)
		c.Assert(status, qt.Equals, 200)
		clock.reset(at)
		_, _, again := call(h, "POST", "/v1/requests", "veil-secret", body)
		if again != first {
			c.Assert(errorKind(t, again), qt.Equals, errkind.SubmissionStale, qt.Commentf("pause at reading %d: %s", at, again))
		}
		c.Assert(counts.count("veil", id), qt.Equals, 1, qt.Commentf("pause at reading %d", at))
	}
}

// jumpingClock returns a constant time and jumps forward once, at a given reading.
type jumpingClock struct {
	start time.Time
	jump  time.Duration

	mu       sync.Mutex
	readings int
	at       int // reading at which it jumps; 0 means never
}

func (j *jumpingClock) reset(at int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readings, j.at = 0, at
}

func (j *jumpingClock) now() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readings++
	if j.at > 0 && j.readings >= j.at {
		return j.start.Add(j.jump)
	}
	return j.start
}

// TestIssuedIDs guards against running a submission whose id was never issued, has
// expired or was assigned to a submission without an id.
func TestIssuedIDs(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMilli(1764800000000)
	counts := &startCounter{}
	opts := testOptions(&fakeDispatcher{starts: counts})
	opts.Now = func() time.Time { return now }
	s := New(opts)
	h := s.Handler()
	post := func(id string) postResult {
		status, header, body := call(h, "POST", "/v1/requests", "veil-secret", fmt.Sprintf(`{"id":%q,"service":"veil-desk","kind":"preview"}`, id))
		return postResult{status, header, body}
	}
	c.Assert(errorKind(t, post("@entry-1.5f.1").Body), qt.Equals, errkind.InvalidRequest)
	used, unused := s.idIssuer.issue(1)[0], s.idIssuer.issue(1)[0]
	first := post(used)
	c.Assert(first.Status, qt.Equals, 200)
	_, _, anonymous := call(h, "POST", "/v1/requests", "veil-secret", previewBody)
	id := decodeAnswer(t, anonymous).ID
	c.Assert(errorKind(t, post(id).Body), qt.Equals, errkind.SubmissionStale)
	now = now.Add(defaultSubmissionWindow)
	c.Assert(post(used), qt.DeepEquals, first)
	now = now.Add(2 * time.Second)
	for _, id := range []string{used, unused} {
		c.Assert(errorKind(t, post(id).Body), qt.Equals, errkind.SubmissionStale)
		_, _, body := call(h, "GET", "/v1/requests/"+id, "veil-secret", "")
		c.Assert(errorKind(t, body), qt.Equals, errkind.SubmissionStale)
	}
	c.Assert(errorKind(t, post("@entry-1.60.1").Body), qt.Equals, errkind.HomeLost)
	c.Assert(counts.count("veil", used), qt.Equals, 1)
	c.Assert(counts.count("veil", unused), qt.Equals, 0)
}

// TestDrainingHomeAnswersRecorded guards against a draining home that refuses a
// resubmission as "not run" although the submission ran.
func TestDrainingHomeAnswersRecorded(t *testing.T) {
	c := qt.New(t)
	s := testServer(&fakeDispatcher{starts: &startCounter{}})
	h := s.Handler()
	body := requestWithID("order-17", time.Now(), `1`)
	_, _, first := call(h, "POST", "/v1/requests", "veil-secret", body)
	s.refusingNew.Store(true)
	status, _, again := call(h, "POST", "/v1/requests", "veil-secret", body)
	c.Assert(status, qt.Equals, 200)
	c.Assert(again, qt.Equals, first)
	_, _, other := call(h, "POST", "/v1/requests", "veil-secret", requestWithID("order-18", time.Now(), `1`))
	c.Assert(errorKind(t, other), qt.Equals, errkind.Draining)
}
