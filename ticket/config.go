// Package ticket defines change tickets and maintains the configuration that results
// from them. Operators change the configuration only by tickets.
package ticket

// Config is the configuration in force: the result of all accepted tickets up to
// Number. A published Config is immutable.
type Config struct {
	Number   uint64             `json:"number"`
	Services map[string]Service `json:"services"`
	Teams    map[string]Team    `json:"teams"`
	// Origins maps each object, by "service/<name>" or "team/<name>", to the ticket
	// that last set it.
	Origins map[string]Origin `json:"origins"`
}

// Origin identifies the ticket that last set an object.
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

// Kind is the configuration of one kind of request.
type Kind struct {
	// Idempotent allows a single request to be retried after it may have started.
	Idempotent bool `json:"idempotent"`
	// DeadlineMS is the default and the longest deadline in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// ExpectedMS is the run time in milliseconds assumed before any was observed.
	ExpectedMS int64 `json:"expected_ms"`
	// MaxAttempts is the maximum number of starts of a request, at least 1. It is 1
	// unless the kind is idempotent.
	MaxAttempts int `json:"max_attempts"`
	// QueueLimit is the maximum number of tasks of this kind queued at one entry.
	QueueLimit int `json:"queue_limit"`
}

// EndpointRules configure placement on the endpoints of a service and their ejection.
type EndpointRules struct {
	// Policy is "least_expected_finish", "two_choices" or "naive".
	Policy string `json:"policy"`
	// Buffer is the number of tasks that may be queued at an agent beyond its slots.
	Buffer int `json:"buffer"`
	// EjectAfterFailures is the number of consecutive failures that ejects an endpoint.
	EjectAfterFailures int `json:"eject_after_failures"`
	// EjectMS is the duration of the first ejection in milliseconds; it doubles on each
	// further one.
	EjectMS int64 `json:"eject_ms"`
	// MessagesOverResponse is the weight of overhead messages against response time, from
	// 0 to 1.
	MessagesOverResponse float64 `json:"messages_over_response"`
}

// Team is the quota of one team over the whole system. A limit of zero means no
// limit.
type Team struct {
	Weight          float64 `json:"weight"`
	MaxInFlight     int     `json:"max_in_flight"`
	StartsPerSecond float64 `json:"starts_per_second"`
}
