package entry

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/ids"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// node is one entry of a test cluster.
type node struct {
	server     *Server
	handler    http.Handler
	dispatcher *fakeDispatcher
	tickets    *fakeTickets
	members    *fakeMembers
	listener   *transport.Listener
	stop       func()
}

// cluster is a set of entries in one process, connected over loopback QUIC. All
// dispatchers share one counter of task starts.
type cluster struct {
	t      testing.TB
	keys   *transport.Authority
	starts *startCounter
	nodes  []*node
}

func newCluster(t testing.TB, n int) *cluster {
	t.Helper()
	keys, err := transport.NewAuthority(time.Hour)
	qt.Assert(t, err, qt.IsNil)
	c := &cluster{t: t, keys: keys, starts: &startCounter{}}
	for i := range n {
		c.nodes = append(c.nodes, c.start(ids.Incarnation{Name: fmt.Sprintf("entry-%d", i), Number: 1}))
	}
	c.publishView()
	for _, n := range c.nodes {
		c.awaitPeers(n, len(c.nodes)-1)
	}
	return c
}

func (c *cluster) tls(name string) *tls.Config {
	cert, key, err := c.keys.Issue(name, time.Hour)
	qt.Assert(c.t, err, qt.IsNil)
	conf, err := transport.NodeTLS(c.keys.CertificatePEM(), cert, key)
	qt.Assert(c.t, err, qt.IsNil)
	return conf
}

func (c *cluster) start(self ids.Incarnation) *node {
	c.t.Helper()
	n := &node{dispatcher: &fakeDispatcher{starts: c.starts}, tickets: newFakeTickets(testState()), members: &fakeMembers{}}
	opts := testOptions(n.dispatcher)
	opts.Self, opts.Tickets, opts.Members = self, n.tickets, n.members
	opts.Transport = transport.Options{
		TLS:   c.tls(self.Name),
		Hello: func() wire.Hello { return n.server.hello() },
	}
	n.server = New(opts)
	n.handler = n.server.Handler()
	var err error
	n.listener, err = transport.Listen("127.0.0.1:0", opts.Transport)
	qt.Assert(c.t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = n.server.ServeInternal(ctx, n.listener) })
	wg.Go(func() { _ = n.server.Run(ctx) })
	n.stop = sync.OnceFunc(func() {
		cancel()
		_ = n.listener.Close()
		wg.Wait()
	})
	c.t.Cleanup(n.stop)
	return n
}

func (n *node) address() wire.EntryAddress {
	return wire.EntryAddress{Node: n.server.self, Address: n.listener.Address()}
}

// publishView sets a view with all nodes at each node.
func (c *cluster) publishView() {
	var view []wire.EntryAddress
	for _, n := range c.nodes {
		view = append(view, n.address())
	}
	for _, n := range c.nodes {
		n.members.mu.Lock()
		n.members.entries = view
		n.members.mu.Unlock()
	}
}

// awaitPeers waits until n is connected to count peers.
func (c *cluster) awaitPeers(n *node, count int) {
	c.t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		n.server.peers.mu.Lock()
		changed := n.server.peers.changed
		n.server.peers.mu.Unlock()
		if len(n.server.peers.connectedTo()) >= count {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			c.t.Fatalf("%s has %d peers, want %d", n.server.self, len(n.server.peers.connectedTo()), count)
		}
	}
}

// setHomeEverywhere makes home the home of all caller-chosen ids at every node.
func (c *cluster) setHomeEverywhere(home *node) {
	for _, n := range c.nodes {
		n.setHome(home.server.self)
	}
}

func (n *node) setHome(home ids.Incarnation) {
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	n.members.home = homeAt(home)
}

// blockJobs makes the node's dispatcher block jobs until release is called.
func (n *node) blockJobs() (release func()) {
	n.dispatcher.mu.Lock()
	defer n.dispatcher.mu.Unlock()
	n.dispatcher.release = make(chan struct{})
	n.dispatcher.running = make(chan struct{}, 1000)
	return sync.OnceFunc(func() { close(n.dispatcher.release) })
}

// requestWithID returns the body of a request with a caller-chosen id.
func requestWithID(id string, at time.Time, payload string) string {
	return fmt.Sprintf(`{"id":%q,"submitted_at":%d,"service":"veil-desk","kind":"preview","payload":%s}`, id, at.UnixMilli(), payload)
}

// postResult is the HTTP response to a request.
type postResult struct {
	Status int
	Header http.Header
	Body   string
}

func (n *node) post(token, body string) postResult {
	status, header, answer := call(n.handler, "POST", "/v1/requests", token, body)
	return postResult{status, header, answer}
}

// postAsync posts from another goroutine.
func (n *node) postAsync(token, body string) <-chan postResult {
	ch := make(chan postResult, 1)
	go func() { ch <- n.post(token, body) }()
	return ch
}

// issueID returns a newly issued id whose home is n.
func (n *node) issueID(t testing.TB) string {
	t.Helper()
	status, _, body := call(n.handler, "POST", "/v1/submission-ids", "veil-secret", `{"count":1}`)
	qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%s", body))
	var m struct{ IDs []string }
	qt.Assert(t, json.Unmarshal([]byte(body), &m), qt.IsNil)
	return m.IDs[0]
}
