package proctest

import (
	"context"
	"fmt"

	"oriolerelay/load"
)

// Target returns the cluster as the target of load that is submitted with token.
func (c *Cluster) Target(token string) load.Target {
	return load.Target{
		Entries: c.EntryHTTP, Token: token, OperatorToken: OperatorToken,
		Nodes:     append(append([]string(nil), c.EntryHTTP...), c.AgentHTTP...),
		Endpoints: c.EndpointHTTP,
	}
}

// Fleet returns the endpoints of a service.
func (c *Cluster) Fleet(service string) load.Fleet {
	var f load.Fleet
	for _, w := range c.Spec.Workers {
		if w.Service == service {
			f = append(f, load.FleetEndpoint{Speed: w.Speed, Slots: w.Slots})
		}
	}
	return f
}

// maxEntriesPerAgent is the largest number of entries that an agent connects to.
const maxEntriesPerAgent = 8

// Configure sends a ticket that configures the workloads' services and waits until every
// entry knows all of their endpoints. With more than maxEntriesPerAgent entries it waits
// for the configuration only, since no agent then connects to every entry.
func (c *Cluster) Configure(ctx context.Context, policy string, workloads ...load.Workload) error {
	t := c.Target(VeilsToken)
	if err := t.Configure(ctx, policy, workloads...); err != nil {
		return err
	}
	if len(c.Entries) > maxEntriesPerAgent {
		return nil
	}
	for entry := range c.Entries {
		for _, w := range workloads {
			if err := c.WaitEndpoints(ctx, entry, w.Service, len(c.Fleet(w.Service))); err != nil {
				return err
			}
		}
	}
	return nil
}

// WaitEndpoints waits until an entry knows n usable endpoints of a service.
func (c *Cluster) WaitEndpoints(ctx context.Context, entry int, service string, n int) error {
	t := c.Target(VeilsToken)
	return Poll(ctx, fmt.Sprintf("%s knows %d endpoints of %s", c.Entries[entry].Name, n, service), func() error {
		got, err := t.EndpointCount(ctx, entry, service)
		if err == nil && got != n {
			err = fmt.Errorf("the entry knows %d endpoints", got)
		}
		return err
	})
}
