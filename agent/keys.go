package agent

import (
	"context"
	"time"

	"oriolerelay/event"
)

const (
	keyCheckInterval = time.Minute
	// expiryWarning is how long before its expiry a certificate is reported.
	expiryWarning = 7 * 24 * time.Hour
)

// watchKeyFiles reports faults of the key files and a certificate that expires soon,
// each once until it changes.
func (a *Agent) watchKeyFiles(ctx context.Context) {
	if a.cfg.Keys == nil {
		return
	}
	tick := time.NewTicker(keyCheckInterval)
	defer tick.Stop()
	var last string
	for {
		if state := a.checkKeyFiles(last, time.Now()); state != last {
			last = state
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// checkKeyFiles logs the state of the key files if it is not last, and returns it.
// The empty state means that nothing is wrong.
func (a *Agent) checkKeyFiles(last string, now time.Time) string {
	expiry, err := a.cfg.Keys.Expiry()
	switch {
	case err != nil:
		if last != err.Error() {
			a.cfg.Log.Log(event.KeysUnreadable, "error", err)
		}
		return err.Error()
	case expiry.Sub(now) < expiryWarning:
		state := "expires " + expiry.UTC().Format(time.RFC3339)
		if last != state {
			a.cfg.Log.Log(event.KeysExpireSoon, "expires", expiry.UTC().Format(time.RFC3339))
		}
		return state
	}
	return ""
}
