package agent

import (
	"context"
	"time"

	"oriolerelay/event"
)

const (
	keyCheckInterval = time.Minute
	// expiryWarning is the remaining lifetime of a certificate below which a
	// warning is logged.
	expiryWarning = 7 * 24 * time.Hour
)

// watchKeyFiles periodically logs unusable key files and a certificate that expires
// soon, each once until the condition changes.
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

// checkKeyFiles returns a description of the problem with the key files, empty if
// there is none, and logs it if it differs from last.
func (a *Agent) checkKeyFiles(last string, now time.Time) string {
	expiry, err := a.cfg.Keys.Expiry()
	switch {
	case err != nil:
		if last != err.Error() {
			a.cfg.Log.Log(event.CertificateInvalid, "error", err)
		}
		return err.Error()
	case expiry.Sub(now) < expiryWarning:
		state := "expires " + expiry.UTC().Format(time.RFC3339)
		if last != state {
			a.cfg.Log.Log(event.CertificateExpiring, "expires", expiry.UTC().Format(time.RFC3339))
		}
		return state
	}
	return ""
}
