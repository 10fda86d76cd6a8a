package client_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"oriolerelay/client"
	"oriolerelay/errkind"
)

// exampleEntry returns a fake entry. It issues one ID and completes each submission,
// except those of kind stock-check, which it refuses.
func exampleEntry() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch {
		case r.URL.Path == "/v1/submission-ids":
			fmt.Fprint(w, `{"ids":["@entry-1.5f.1"]}`)
		case strings.Contains(string(body), "stock-check"):
			w.WriteHeader(422)
			fmt.Fprint(w, `{"error":{"kind":"never_fits","detail":"8 accelerators, the largest worker has 2","outcome":"not_run","retry":"never"}}`)
		default:
			fmt.Fprint(w, `{"id":"order-17","status":"complete","tasks":[{"index":0,"outcome":"done","body":{"pages":2}},{"index":1,"outcome":"done","body":{"pages":3}}]}`)
		}
	}))
}

// This example submits a job with an ID issued by an entry. After a lost response,
// the client sends the job again with the same ID.
func ExampleClient_Do() {
	entry := exampleEntry()
	defer entry.Close()
	c, err := client.New(client.Config{Entries: []string{entry.URL}, Token: "caller-secret"})
	if err != nil {
		fmt.Println(err)
		return
	}
	answer, err := c.Do(context.Background(), client.Job{
		Service: "veil-desk",
		Kind:    "preview",
		Tasks: []client.Task{
			{Payload: map[string]string{"motif": "rose"}, DeclaredRunTime: 80 * time.Millisecond},
			{Payload: map[string]string{"motif": "vine"}, DeclaredRunTime: 80 * time.Millisecond},
		},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, t := range answer.Tasks {
		fmt.Println(t.Index, string(t.Body))
	}
	// Output:
	// 0 {"pages":2}
	// 1 {"pages":3}
}

// This example uses the caller's own order number as the ID, together with the time
// of the first submission.
func ExampleClient_Do_ownID() {
	entry := exampleEntry()
	defer entry.Close()
	c, err := client.New(client.Config{Entries: []string{entry.URL}, Token: "caller-secret", IDs: client.RandomIDs})
	if err != nil {
		fmt.Println(err)
		return
	}
	answer, err := c.Do(context.Background(), client.Job{
		ID:          "order-17",
		SubmittedAt: time.Now(),
		Service:     "veil-desk",
		Kind:        "preview",
		Tasks:       []client.Task{{Payload: "rose"}, {Payload: "vine"}},
	})
	fmt.Println(answer.ID, answer.Status, err)
	// Output: order-17 complete <nil>
}

// This example checks the error of a refusal, which says whether any task ran.
func ExampleError() {
	entry := exampleEntry()
	defer entry.Close()
	c, err := client.New(client.Config{Entries: []string{entry.URL}, Token: "caller-secret"})
	if err != nil {
		fmt.Println(err)
		return
	}
	_, err = c.Request(context.Background(), client.Request{
		Service: "veil-desk",
		Kind:    "stock-check",
		Task:    client.Task{Demand: client.Demand{Accelerators: 8}},
	})
	var refused *client.Error
	if errors.As(err, &refused) {
		fmt.Println(refused.Kind, refused.Outcome == errkind.NotRun)
	}
	// Output: never_fits true
}
