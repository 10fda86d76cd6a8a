package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/dispatch"
	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// TestReceivingEntryFails guards against a job that is cancelled or started again
// when the entry that received it fails while the job runs at its home.
func TestReceivingEntryFails(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(t, 3)
	home := cl.nodes[2]
	cl.setHomeEverywhere(home)
	release := home.blockJobs()
	body := requestWithID("order-17", time.Now(), `"rose"`)
	cut := cl.nodes[0].postAsync("veil-secret", body)
	receive(t, home.dispatcher.running)
	cl.nodes[0].stop()
	c.Assert(errorKind(t, receive(t, cut).Body), qt.Equals, errkind.HomeUnreachable)
	again := cl.nodes[1].postAsync("veil-secret", body)
	release()
	response := receive(t, again)
	c.Assert(response.Status, qt.Equals, 200)
	c.Assert(string(decodeAnswer(t, response.Body).Tasks[0].Body), qt.Equals, `"rose"`)
	c.Assert(cl.starts.count("veil", "order-17"), qt.Equals, 1)
}

// TestHomeFails guards against a second start of a submission whose home has
// failed, and against a response that states an outcome that is not known.
func TestHomeFails(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(t, 3)
	home := cl.nodes[2]
	cl.setHomeEverywhere(home)
	home.blockJobs()
	body := requestWithID("order-17", time.Now(), `"rose"`)
	cut := cl.nodes[0].postAsync("veil-secret", body)
	receive(t, home.dispatcher.running)
	home.stop()
	kind := func(p postResult) errkind.Kind {
		e := decodeAnswer(t, p.Body).Error
		c.Assert(e, qt.IsNotNil)
		c.Assert(e.Outcome, qt.Equals, errkind.MayHaveRun)
		return e.Kind
	}
	first := receive(t, cut)
	c.Assert(kind(first), qt.Equals, errkind.HomeUnreachable)
	c.Assert(first.Header.Get("Retry-After"), qt.Equals, "1")

	// Once the log shows that the home has left, the error is final.
	members := cl.nodes[1].members
	members.mu.Lock()
	members.left = map[ids.Incarnation]bool{home.server.self: true}
	members.mu.Unlock()
	c.Assert(kind(cl.nodes[1].post("veil-secret", body)), qt.Equals, errkind.HomeLost)

	// A later incarnation of the same name knows that it is not the home.
	successor := cl.start(ids.Incarnation{Name: "entry-2", Number: 2})
	cl.nodes[2] = successor
	cl.publishView()
	successor.setHome(home.server.self)
	cl.awaitPeers(cl.nodes[0], 2)
	c.Assert(kind(cl.nodes[0].post("veil-secret", body)), qt.Equals, errkind.HomeLost)
	c.Assert(cl.starts.count("veil", "order-17"), qt.Equals, 1)
}

// TestInterleavedAnswers guards against an answer that is sent to the wrong caller
// when many forwarded submissions finish out of order.
func TestInterleavedAnswers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(t, 3)
	home := cl.nodes[2]
	cl.setHomeEverywhere(home)
	gates := make(chan chan struct{}, 200)
	home.dispatcher.mu.Lock()
	home.dispatcher.gate = func() {
		g := make(chan struct{})
		gates <- g
		<-g
	}
	home.dispatcher.mu.Unlock()
	const n = 90
	now := time.Now()
	responses := make([]<-chan postResult, n)
	for i := range responses {
		responses[i] = cl.nodes[i%3].postAsync("veil-secret", requestWithID(fmt.Sprintf("order-%d", i), now, fmt.Sprintf(`{"order":%d}`, i)))
	}
	var open []chan struct{}
	for range n {
		open = append(open, <-gates)
	}
	rand.Shuffle(n, func(i, j int) { open[i], open[j] = open[j], open[i] })
	for _, g := range open {
		close(g)
	}
	for i, a := range responses {
		got := decodeAnswer(t, receive(t, a).Body)
		c.Assert(got.ID, qt.Equals, fmt.Sprintf("order-%d", i))
		c.Assert(string(got.Tasks[0].Body), qt.Equals, fmt.Sprintf(`{"order":%d}`, i))
		c.Assert(cl.starts.count("veil", got.ID), qt.Equals, 1)
	}
}

// TestLostForward guards against a submission that fails, or is started twice,
// when the connection to its home breaks after the home received the forward.
func TestLostForward(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(t, 2)
	home := cl.nodes[1]
	cl.setHomeEverywhere(home)
	release := home.blockJobs()
	body := requestWithID("order-17", time.Now(), `"rose"`)
	response := cl.nodes[0].postAsync("veil-secret", body)
	receive(t, home.dispatcher.running)
	conn, err := cl.nodes[0].server.peers.connTo(context.Background(), home.server.self)
	c.Assert(err, qt.IsNil)
	conn.Close()
	release()
	got := receive(t, response)
	c.Assert(got.Status, qt.Equals, 200, qt.Commentf("%s", got.Body))
	c.Assert(cl.starts.count("veil", "order-17"), qt.Equals, 1)
}

// TestHomeNeverReplies guards against a forward that waits forever when the home
// accepts it and never replies on that connection.
func TestHomeNeverReplies(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(t, 1)
	unresponsive := cl.startUnresponsiveEntry(ids.Incarnation{Name: "entry-9", Number: 1}, 1)
	n := cl.nodes[0]
	n.addToView(unresponsive.address())
	cl.awaitPeers(n, 1)
	n.setHome(unresponsive.self)
	body := strings.Replace(requestWithID("order-17", time.Now(), `1`), `"kind"`, `"deadline_ms":1,"kind"`, 1)
	response := receive(t, n.postAsync("veil-secret", body))
	c.Assert(response.Status, qt.Equals, 200, qt.Commentf("%s", response.Body))
	c.Assert(unresponsive.receivedForwards(), qt.Equals, 2)
}

// unresponsiveEntry is an entry that does not reply to the first forwards.
type unresponsiveEntry struct {
	self     ids.Incarnation
	listener *transport.Listener
	ignored  int
	mu       sync.Mutex
	received int
}

func (c *cluster) startUnresponsiveEntry(self ids.Incarnation, ignore int) *unresponsiveEntry {
	opts := transport.Options{
		TLS:   c.tls(self.Name),
		Hello: func() wire.Hello { return wire.Hello{Node: self, Role: wire.RoleEntry} },
	}
	l, err := transport.Listen("127.0.0.1:0", opts)
	qt.Assert(c.t, err, qt.IsNil)
	m := &unresponsiveEntry{self: self, listener: l, ignored: ignore}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.Serve(ctx, func(*transport.Conn) transport.Handler { return m })
	}()
	c.t.Cleanup(func() {
		cancel()
		_ = l.Close()
		<-done
	})
	return m
}

func (m *unresponsiveEntry) address() wire.EntryAddress {
	return wire.EntryAddress{Node: m.self, Address: m.listener.Address()}
}

func (m *unresponsiveEntry) receivedForwards() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.received
}

func (m *unresponsiveEntry) Handle(c *transport.Conn, f wire.Frame) {
	if _, ok := f.Body.(*wire.Forward); !ok {
		return
	}
	m.mu.Lock()
	m.received++
	reply := m.received > m.ignored
	m.mu.Unlock()
	if reply {
		_ = c.Reply(context.Background(), f.CallID, &wire.Forwarded{Status: 200, Body: []byte(`{}`)})
	}
}

func (m *unresponsiveEntry) Closed(*transport.Conn, error) {}

// addToView adds an entry to n's view.
func (n *node) addToView(e wire.EntryAddress) {
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	n.members.entries = append(n.members.entries[:len(n.members.entries):len(n.members.entries)], e)
}

// TestViewsDiffer guards against a submission that runs at two homes, or is
// forwarded in a loop, when an entry with a stale view forwards to a former home.
func TestViewsDiffer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(t, 3)
	lagging, former, home := cl.nodes[0], cl.nodes[1], cl.nodes[2]
	cl.setHomeEverywhere(home)
	lagging.setHome(former.server.self)
	body := requestWithID("order-17", time.Now(), `"rose"`)
	first := lagging.post("veil-secret", body)
	c.Assert(first.Status, qt.Equals, 200, qt.Commentf("%s", first.Body))
	c.Assert(home.post("veil-secret", body), qt.DeepEquals, first)
	c.Assert(cl.starts.count("veil", "order-17"), qt.Equals, 1)
	c.Assert(home.server.submissionTable.Lookup((&incomingSubmission{team: "veil", id: ids.Submission{Raw: "order-17"}}).key()), qt.IsNotNil)

	// If entries disagree about the home, the submission fails after the second
	// forward.
	home.setHome(former.server.self)
	former.setHome(home.server.self)
	lost := lagging.post("veil-secret", requestWithID("order-18", time.Now(), `1`))
	e := decodeAnswer(t, lost.Body).Error
	c.Assert(e.Kind, qt.Equals, errkind.HomeUnknown)
	c.Assert(e.Outcome, qt.Equals, errkind.MayHaveRun)
	c.Assert(cl.starts.count("veil", "order-18"), qt.Equals, 0)

	// A member that has not read the complete membership refuses the submission.
	former.members.mu.Lock()
	former.members.home = func(ids.Submission, string) (ids.Incarnation, error) {
		return ids.Incarnation{}, errkind.New(errkind.HomeUnknown, "the membership is not completely known")
	}
	former.members.mu.Unlock()
	lost = lagging.post("veil-secret", requestWithID("order-19", time.Now(), `1`))
	c.Assert(errorKind(t, lost.Body), qt.Equals, errkind.HomeUnknown)
	c.Assert(cl.starts.count("veil", "order-19"), qt.Equals, 0)
}

// TestLateReplyOfLiveHome guards against a submission that is answered with "home
// unreachable", and against the loss of the other calls on the connection, because a home
// that is connected replies late.
func TestLateReplyOfLiveHome(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(t, 2)
	home, other := cl.nodes[1], cl.nodes[0]
	cl.setHomeEverywhere(home)
	release := home.blockJobs()
	defer release()
	conn, err := other.server.peers.connTo(t.Context(), home.server.self)
	c.Assert(err, qt.IsNil)
	body := fmt.Sprintf(`{"id":"order-17","submitted_at":%d,"service":"veil-desk","kind":"preview","deadline_ms":10}`, time.Now().UnixMilli())
	answer := other.postAsync("veil-secret", body)
	time.AfterFunc(forwardAttempts*(replySlack+100*time.Millisecond), release)
	c.Assert(receive(t, answer).Status, qt.Equals, 200)
	c.Assert(conn.Err(), qt.IsNil)
	c.Assert(cl.starts.count("veil", "order-17"), qt.Equals, 1)
}

// TestLargeAnswer guards against a forwarded response that is truncated or refused
// because it is larger than one frame.
func TestLargeAnswer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(t, 3)
	home := cl.nodes[1]
	cl.setHomeEverywhere(home)
	// 20 results of 200 KiB are about 4 MB.
	result, _ := json.Marshal(strings.Repeat("lace", 50<<10))
	home.dispatcher.mu.Lock()
	home.dispatcher.result = func(dispatch.Task) []byte { return result }
	home.dispatcher.mu.Unlock()
	now := time.Now()
	body := fmt.Sprintf(`{"id":"order-17","submitted_at":%d,"service":"veil-desk","kind":"preview","tasks":%s}`, now.UnixMilli(), tasksArray(20))
	status, _, respBody := call(cl.nodes[0].handler, "POST", "/v1/jobs", "veil-secret", body)
	c.Assert(status, qt.Equals, 200)
	c.Assert(len(respBody) > 4_000_000, qt.IsTrue)
	_, _, own := call(home.handler, "POST", "/v1/jobs", "veil-secret", body)
	c.Assert(respBody == own, qt.IsTrue)
	_, _, fetched := call(cl.nodes[0].handler, "GET", fmt.Sprintf("/v1/jobs/order-17?submitted_at=%d", now.UnixMilli()), "veil-secret", "")
	c.Assert(fetched == own, qt.IsTrue)
	// An entry with a stale view receives it through a former home.
	cl.nodes[2].setHome(cl.nodes[0].server.self)
	_, _, relayed := call(cl.nodes[2].handler, "POST", "/v1/jobs", "veil-secret", body)
	c.Assert(relayed == own, qt.IsTrue)
	c.Assert(cl.starts.count("veil", "order-17"), qt.Equals, 20)
}

// TestStateFromPeer guards against an entry that cannot read the log and does not
// get a newer configuration from a peer, and against an older state that replaces a
// newer one.
func TestStateFromPeer(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(t, 2)
	next := testConfig()
	next.Number = 2
	b, _ := json.Marshal(next)
	lagging := cl.nodes[1]
	pushed := make(chan wire.Config, 8)
	lagging.dispatcher.mu.Lock()
	lagging.dispatcher.pushed = pushed
	lagging.dispatcher.mu.Unlock()
	changed := lagging.tickets.Changed()
	c.Assert(cl.nodes[0].tickets.ImportConfig(b), qt.IsNil)
	select {
	case <-changed:
	case <-time.After(4 * time.Second): // the documented limit for a ticket to take effect
		c.Fatal("the configuration did not arrive within 4 s")
	}
	c.Assert(lagging.tickets.Load().Number, qt.Equals, uint64(2))
	c.Assert(receive(t, pushed).Ticket, qt.Equals, uint64(2))
}
