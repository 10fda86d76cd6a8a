package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"oriolerelay/wire"
)

// endpointCapacity is the capacity of each endpoint while it is not reduced.
var endpointCapacity = wire.Resources{MilliCores: 16000, MemoryMiB: 16000}

// changeCapacity lets the capacity of an endpoint shrink and grow at random times until ctx ends, and
// then restores it.
func (w *soakRun) changeCapacity(ctx context.Context, i int) {
	rng, e := rand.New(rand.NewPCG(w.Seed, uint64(100+i))), w.endpoints[i]
	set := func(milliCores uint32) {
		w.logEvent("capacity of %s: %d millicores", e.Name, milliCores)
		e.SetCapacity(wire.Resources{MilliCores: milliCores, MemoryMiB: endpointCapacity.MemoryMiB})
	}
	defer set(endpointCapacity.MilliCores)
	for {
		for _, milliCores := range []uint32{uint32(rng.IntN(9000)), endpointCapacity.MilliCores} {
			select {
			case <-time.After(time.Duration(500+rng.IntN(4500)) * time.Millisecond):
				set(milliCores)
			case <-ctx.Done():
				return
			}
		}
	}
}
