package agent

import (
	"context"
	"time"

	"oriolerelay/event"
)

const (
	keysPeriod = time.Minute
	// keysWarning is how long before its expiry a certificate is reported.
	keysWarning = 7 * 24 * time.Hour
)

// watchKeys reports faults of the key files and a certificate that expires soon,
// each once until it changes.
func (a *Agent) watchKeys(ctx context.Context) {
	if a.cfg.Keys == nil {
		return
	}
	tick := time.NewTicker(keysPeriod)
	defer tick.Stop()
	var last string
	for {
		if state := a.checkKeys(last, time.Now()); state != last {
			last = state
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// checkKeys logs the state of the key files if it is not last, and returns it.
// The empty state means that nothing is wrong.
func (a *Agent) checkKeys(last string, now time.Time) string {
	expiry, err := a.cfg.Keys.Expiry()
	switch {
	case err != nil:
		if last != err.Error() {
			a.cfg.Log.Log(event.CertificateInvalid, "error", err)
		}
		return err.Error()
	case expiry.Sub(now) < keysWarning:
		state := "expires " + expiry.UTC().Format(time.RFC3339)
		if last != state {
			a.cfg.Log.Log(event.CertificateExpiring, "expires", expiry.UTC().Format(time.RFC3339))
		}
		return state
	}
	return ""
}
