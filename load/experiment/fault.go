package experiment

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"oriolerelay/internal/proctest"
	"oriolerelay/load"
)

// Fault is one scheduled fault of a run.
type Fault struct {
	// Type is "straggler", "fail", "kill" or "burst".
	Type string
	// Endpoint is the index of the endpoint. A kill also kills its agent; both are
	// restarted when the fault ends.
	Endpoint int
	// At is the start of the fault relative to the start of a run, For its duration.
	At, For time.Duration
	// Factor multiplies run times (straggler) or the arrival rate (burst).
	Factor float64
}

// ParseFault parses a fault of the form "type,key=value,...", for example
// "straggler,endpoint=2,at=2s,for=5s,factor=8".
func ParseFault(text string) (Fault, error) {
	parts := strings.Split(text, ",")
	f := Fault{Type: parts[0], Factor: 1}
	switch f.Type {
	case "straggler", "fail", "kill", "burst":
	default:
		return f, fmt.Errorf("fault %q: type is not straggler, fail, kill or burst", text)
	}
	for _, part := range parts[1:] {
		key, value, ok := strings.Cut(part, "=")
		if !ok {
			return f, fmt.Errorf("fault %q: %q is not key=value", text, part)
		}
		var err error
		switch key {
		case "endpoint":
			f.Endpoint, err = strconv.Atoi(value)
		case "at":
			f.At, err = time.ParseDuration(value)
		case "for":
			f.For, err = time.ParseDuration(value)
		case "factor":
			f.Factor, err = strconv.ParseFloat(value, 64)
		default:
			err = fmt.Errorf("unknown key %q", key)
		}
		if err != nil {
			return f, fmt.Errorf("fault %q: %w", text, err)
		}
	}
	if f.For <= 0 || f.At < 0 || f.Endpoint < 0 || f.Factor <= 0 {
		return f, fmt.Errorf("fault %q: for and factor must be positive, at and endpoint not negative", text)
	}
	return f, nil
}

// liveFleet returns the fleet for which the ideal is computed. An endpoint that fails
// or is killed for the whole run is left out, and a straggler has a lower speed. A fault
// during only a part of the run does not change the fleet, so the ratio then includes
// the cost of the fault.
func liveFleet(fleet load.Fleet, faults []Fault, length time.Duration) load.Fleet {
	var out load.Fleet
	for i, e := range fleet {
		keep := true
		for _, f := range faults {
			if f.Type == "burst" || f.Endpoint != i || f.At > 0 || f.For < length {
				continue
			}
			if f.Type == "straggler" {
				e.Speed /= f.Factor
			} else {
				keep = false
			}
		}
		if keep {
			out = append(out, e)
		}
	}
	return out
}

func bursts(faults []Fault) []load.Burst {
	var out []load.Burst
	for _, f := range faults {
		if f.Type == "burst" {
			out = append(out, load.Burst{At: f.At, Duration: f.For, Factor: f.Factor})
		}
	}
	return out
}

// startFaults schedules the faults relative to now and returns a function that waits until all
// have ended and returns the first error.
func startFaults(ctx context.Context, c *proctest.Cluster, faults []Fault) func() error {
	errs := make(chan error, len(faults))
	for _, f := range faults {
		go func() { errs <- f.run(ctx, c) }()
	}
	return func() error {
		var first error
		for range faults {
			if err := <-errs; err != nil && first == nil {
				first = err
			}
		}
		return first
	}
}

func (f Fault) run(ctx context.Context, c *proctest.Cluster) error {
	if f.Type == "burst" {
		return nil
	}
	if err := sleep(ctx, f.At); err != nil {
		return err
	}
	t := c.Target("")
	set := func(on bool) error {
		switch {
		case f.Type == "kill" && on:
			c.Agents[f.Endpoint].Kill()
			c.Endpoints[f.Endpoint].Kill()
			return nil
		case f.Type == "kill":
			if err := c.Agents[f.Endpoint].Start(); err != nil {
				return err
			}
			return c.Endpoints[f.Endpoint].Start()
		case !on:
			return t.SetMode(ctx, f.Endpoint, false, 1)
		case f.Type == "fail":
			return t.SetMode(ctx, f.Endpoint, true, 1)
		}
		return t.SetMode(ctx, f.Endpoint, false, int(f.Factor))
	}
	if err := set(true); err != nil {
		return err
	}
	if err := sleep(ctx, f.For); err != nil {
		return err
	}
	return set(false)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
