package event

// Events of agents and endpoints, codes 200 to 299.
var (
	EndpointAnnounced = define(200, Info, "endpoint announced")
	EndpointWithdrawn = define(201, Warn, "endpoint withdrawn after missed renewals")
	EndpointLeaving   = define(202, Info, "endpoint is leaving")
	EndpointFailing   = define(203, Warn, "endpoint call failed after a success")
	EndpointRecovered = define(204, Info, "endpoint call succeeded after a failure")
	AnnounceRefused   = define(205, Warn, "announcement refused")
	EntryConnected    = define(210, Info, "connected to entry")
	EntryLost         = define(211, Warn, "connection to entry ended")
	EntryUnreachable  = define(212, Warn, "entry cannot be reached")
	AgentDrained      = define(220, Info, "agent drained, no task in flight")
)
