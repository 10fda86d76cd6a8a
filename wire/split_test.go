package wire

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// encodeParts returns the messages in which m is sent, each in one frame.
func encodeParts(t *testing.T, m Message) []Message {
	t.Helper()
	_, err := Encode(Frame{Body: m})
	if err == nil {
		return []Message{m}
	}
	first, second, ok := Split(m)
	if !errors.Is(err, ErrFrameTooLarge) || !ok {
		t.Fatalf("%v, split %v", err, ok)
	}
	return append(encodeParts(t, first), encodeParts(t, second)...)
}

// Guards against agents that never get an order again because one message exceeded a frame: large
// payloads, or many runs of one job.
func TestSplitOrders(t *testing.T) {
	orders := &Orders{OrderedRuns: 100_030, StatusClockMillis: 7}
	var want []Run
	for i := range 20 {
		r := Run{fmt.Sprintf("%016x.0.0.0", i), 1}
		want = append(want, r)
		orders.Groups = append(orders.Groups, OrderGroup{Payload: strings.Repeat("x", 200<<10), Runs: []Run{r}})
	}
	many := OrderGroup{Payload: "p"}
	for i := range 50_000 {
		many.Runs = append(many.Runs, Run{fmt.Sprintf("%016x.0.0.%d", 99, i), 1})
	}
	orders.Groups = append(orders.Groups, many)
	var got []Run
	for _, m := range encodeParts(t, orders) {
		part := m.(*Orders)
		for _, g := range part.Groups {
			got = append(got, g.Runs...)
		}
		if want := 100_030 - uint64(50_020-len(got)); part.OrderedRuns != want || part.StatusClockMillis != 7 {
			t.Errorf("%d ordered runs after %d, want %d", part.OrderedRuns, len(got), want)
		}
	}
	if !slices.Equal(got, append(want, many.Runs...)) {
		t.Errorf("%d runs in the parts", len(got))
	}
	var reports Reports
	for _, r := range many.Runs {
		reports.Reports = append(reports.Reports, Report{Run: r, State: RunDone})
	}
	reports.Status = &Status{OrderedRuns: 9}
	parts := encodeParts(t, &reports)
	if last := parts[len(parts)-1].(*Reports); len(parts) < 2 || last.Status != reports.Status || parts[0].(*Reports).Status != nil {
		t.Errorf("%d parts, the status is not in the last one", len(parts))
	}
}
