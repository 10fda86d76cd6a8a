// Package ticket holds change tickets and the configuration that they build.
// Tickets are the only way in which operators change the system.
package ticket

// State is the configuration in force: the fold of all accepted tickets up to
// Number. A published State is never modified.
type Config struct {
	Number   uint64             `json:"number"`
	Services map[string]Service `json:"services"`
	Teams    map[string]Team    `json:"teams"`
	// Origins gives the ticket that set each object, by "service/<name>" and
	// "team/<name>".
	Origins map[string]Origin `json:"origins"`
}

// Origin names the ticket that last set an object.
type Origin struct {
	Number uint64 `json:"number"`
	Author string `json:"author"`
	Reason string `json:"reason"`
}

// Service is the configuration of one service.
type Service struct {
	Kinds     map[string]Kind `json:"kinds"`
	Endpoints EndpointRules   `json:"endpoints"`
}

// Kind holds the rules of one kind of request.
type Kind struct {
	// Idempotent allows a single request to be retried after it may have started.
	Idempotent bool `json:"idempotent"`
	// DeadlineMS is the default and the longest deadline in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// ExpectedMS is the run time assumed before any was observed, in milliseconds.
	ExpectedMS int64 `json:"expected_ms"`
	// MaxAttempts bounds the starts of an idempotent request; at least 1.
	MaxAttempts int `json:"max_attempts"`
	// QueueLimit bounds the tasks of this kind that wait at one entry.
	QueueLimit int `json:"queue_limit"`
}

// EndpointRules are the rules for the endpoints of a service.
type EndpointRules struct {
	// Policy is "least_expected_finish", "two_choices" or "naive".
	Policy string `json:"policy"`
	// Buffer is the number of tasks that may wait at an agent beyond its slots.
	Buffer int `json:"buffer"`
	// EjectAfterFailures is the number of consecutive failures that ejects an endpoint.
	EjectAfterFailures int `json:"eject_after_failures"`
	// EjectMS is the first ejection time in milliseconds; it doubles on repetition.
	EjectMS int64 `json:"eject_ms"`
	// MessagesOverResponse weighs wasted messages against response time, 0 to 1.
	MessagesOverResponse float64 `json:"messages_over_response"`
}

// Team holds the quota of one team over the whole system. Zero means no limit.
type Team struct {
	Weight          float64 `json:"weight"`
	MaxInFlight     int     `json:"max_in_flight"`
	StartsPerSecond float64 `json:"starts_per_second"`
}
