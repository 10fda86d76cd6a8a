package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Target is the system under load. All URLs are base URLs.
type Target struct {
	Entries       []string
	Token         string
	OperatorToken string
	// Nodes are the entries and agents whose /metrics are read.
	Nodes []string
	// Endpoints are the sample endpoints whose task starts are counted.
	Endpoints []string
	// Ready reports whether an entry may get submissions; nil means always.
	Ready func(entry int) bool
}

// maxResponseBytes bounds the part of a response body that is read.
const maxResponseBytes = 64 << 20

// newClient returns a client for open-loop load: many parallel connections, and no
// timeout other than that of the caller's context.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, IdleConnTimeout: 30 * time.Second}}
}

func sendRequest(ctx context.Context, client *http.Client, method, url, token string, body any) (int, []byte, error) {
	var r io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		r = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, r)
	if err != nil {
		return 0, nil, err
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	req.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport cannot resend the body on another connection.
	req.GetBody = nil
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, b, err
}

// ReadTraffic sums the messages that all nodes have sent, by type. Nodes that cannot be
// read are left out of the sum and reported in the error.
func (t Target) ReadTraffic(ctx context.Context) (Traffic, error) {
	sum := Traffic{Messages: map[string]float64{}, Bytes: map[string]float64{}}
	client := newClient()
	defer client.CloseIdleConnections()
	var errs []error
	for _, node := range t.Nodes {
		m, err := ReadMetrics(ctx, client, node)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		sum.Nodes++
		for name, v := range m.SentByType("oriole_messages_total") {
			sum.Messages[name] += v
		}
		for name, v := range m.SentByType("oriole_message_bytes_total") {
			sum.Bytes[name] += v
		}
	}
	return sum, errors.Join(errs...)
}

// Sub returns the traffic since an earlier reading. A counter below its earlier value was reset by a
// process restart; its difference is then zero.
func (t Traffic) Sub(before Traffic) Traffic {
	d := Traffic{Messages: map[string]float64{}, Bytes: map[string]float64{}, Nodes: t.Nodes}
	for name, v := range t.Messages {
		d.Messages[name] = max(v-before.Messages[name], 0)
		d.Bytes[name] = max(t.Bytes[name]-before.Bytes[name], 0)
	}
	return d
}

// Add returns the sum of two differences, with the node count of other.
func (t Traffic) Add(other Traffic) Traffic {
	sum := Traffic{Messages: map[string]float64{}, Bytes: map[string]float64{}, Nodes: other.Nodes}
	for _, part := range []Traffic{t, other} {
		for name, v := range part.Messages {
			sum.Messages[name] += v
			sum.Bytes[name] += part.Bytes[name]
		}
	}
	return sum
}

// Metrics holds the samples of one process by metric name.
type Metrics map[string][]Sample

// Sample is one value of a metric with its labels.
type Sample struct {
	Labels map[string]string
	Value  float64
}

// ReadMetrics reads the counters and gauges of the process at the given base URL.
func ReadMetrics(ctx context.Context, client *http.Client, base string) (Metrics, error) {
	status, body, err := sendRequest(ctx, client, http.MethodGet, base+"/metrics", "", nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("%s/metrics returned status %d", base, status)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%s/metrics: %w", base, err)
	}
	m := Metrics{}
	for name, f := range families {
		for _, row := range f.GetMetric() {
			s := Sample{Labels: map[string]string{}}
			for _, l := range row.GetLabel() {
				s.Labels[l.GetName()] = l.GetValue()
			}
			switch {
			case row.GetCounter() != nil:
				s.Value = row.GetCounter().GetValue()
			case row.GetGauge() != nil:
				s.Value = row.GetGauge().GetValue()
			default:
				continue
			}
			m[name] = append(m[name], s)
		}
	}
	return m, nil
}

// Sum returns the sum of all samples of a metric.
func (m Metrics) Sum(name string) float64 {
	sum := 0.0
	for _, s := range m[name] {
		sum += s.Value
	}
	return sum
}

// SentByType sums the samples with direction "sent" by their type.
func (m Metrics) SentByType(name string) map[string]float64 {
	sent := map[string]float64{}
	for _, s := range m[name] {
		if s.Labels["direction"] == "sent" {
			sent[s.Labels["type"]] += s.Value
		}
	}
	return sent
}

// TaskStarts is the number of starts of one task at a sample endpoint.
type TaskStarts struct {
	Submission string `json:"submission"`
	Index      int    `json:"index"`
	Starts     int    `json:"starts"`
}

// CountStarts returns the number of starts of every task, summed over all sample endpoints.
// The keys have the form "submission/index".
func (t Target) CountStarts(ctx context.Context) (map[string]int, error) {
	client := newClient()
	defer client.CloseIdleConnections()
	starts := map[string]int{}
	for _, e := range t.Endpoints {
		status, body, err := sendRequest(ctx, client, http.MethodGet, e+"/starts/tasks", "", nil)
		if err != nil {
			return nil, err
		}
		var tasks []TaskStarts
		if err := json.Unmarshal(body, &tasks); err != nil || status != http.StatusOK {
			return nil, fmt.Errorf("%s/starts/tasks returned status %d: %w", e, status, err)
		}
		for _, s := range tasks {
			starts[fmt.Sprintf("%s/%d", s.Submission, s.Index)] += s.Starts
		}
	}
	return starts, nil
}

// SetMode sets the fault of a sample endpoint: fail makes every task fail, straggler
// multiplies run times. False and 1 clear it.
func (t Target) SetMode(ctx context.Context, endpoint int, fail bool, straggler int) error {
	client := newClient()
	defer client.CloseIdleConnections()
	status, body, err := sendRequest(ctx, client, http.MethodPut, t.Endpoints[endpoint]+"/mode", "", map[string]any{"fail": fail, "straggler": straggler})
	if err == nil && status/100 != 2 {
		err = fmt.Errorf("%s/mode returned status %d: %s", t.Endpoints[endpoint], status, strings.TrimSpace(string(body)))
	}
	return err
}
