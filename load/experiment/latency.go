package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oriolerelay/internal/proctest"
)

// LatencyOptions configure a comparison of requests through an entry with direct
// calls to the endpoint.
type LatencyOptions struct {
	// Calls is the number of calls of each kind, made alternately and one at a time.
	Calls  int
	Module string
	Out    io.Writer
}

// Latency prints the response times of both kinds of calls for a task without run time.
// The difference of the medians is the latency that the system adds.
func Latency(ctx context.Context, o LatencyOptions) error {
	c, stop, err := startTrivial(ctx, o.Module, 1, 1)
	if err != nil {
		return err
	}
	defer stop()
	return o.compare(ctx, c)
}

func (o LatencyOptions) compare(ctx context.Context, c *proctest.Cluster) error {
	const maxMicros, digits = 10_000_000, 3
	direct, viaEntry := hdrhistogram.New(1, maxMicros, digits), hdrhistogram.New(1, maxMicros, digits)
	body, err := json.Marshal(map[string]any{"service": trivialName, "kind": trivialName, "payload": map[string]float64{"ms": 0}})
	if err != nil {
		return err
	}
	for range o.Calls {
		for _, variant := range []struct {
			url       string
			body      []byte
			histogram *hdrhistogram.Histogram
			header    map[string]string
		}{
			{c.EndpointHTTP[0] + "/run", []byte(`{"ms":0}`), direct, map[string]string{
				"Oriole-Submission": "direct", "Oriole-Index": "0", "Oriole-Deadline-Ms": "5000"}},
			{c.EntryHTTP[0] + "/v1/requests", body, viaEntry, map[string]string{"Authorization": "Bearer " + proctest.VeilsToken}},
		} {
			took, err := timeRequest(ctx, variant.url, variant.body, variant.header)
			if err != nil {
				return err
			}
			if err := variant.histogram.RecordValue(took.Microseconds()); err != nil {
				return err
			}
		}
	}
	for name, h := range map[string]*hdrhistogram.Histogram{"direct": direct, "through an entry": viaEntry} {
		fmt.Fprintf(o.Out, "- %s: p50 %d µs, p90 %d µs, p99 %d µs (%d calls)\n", name,
			h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.TotalCount())
	}
	fmt.Fprintf(o.Out, "- added at p50: %d µs\n", viaEntry.ValueAtQuantile(50)-direct.ValueAtQuantile(50))
	return nil
}

func timeRequest(ctx context.Context, url string, body []byte, header map[string]string) (time.Duration, error) {
	begin := time.Now()
	status, err := post(ctx, url, body, header)
	took := time.Since(begin)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%s answered status %d", url, status)
	}
	return took, err
}

// post sends body, reads the whole response and returns its status code.
func post(ctx context.Context, url string, body []byte, header map[string]string) (status int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
