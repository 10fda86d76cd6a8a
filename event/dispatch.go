package event

// Events of the dispatcher, codes 300 to 399.
var (
	AgentConnected    = define(300, Info, "agent connected")
	AgentDisconnected = define(301, Warn, "agent disconnected; its sent tasks wait for a new connection")
	AgentLost         = define(302, Warn, "agent did not reconnect; its sent tasks may have run")
	AgentDraining     = define(303, Info, "agent is draining and gets no new tasks")
	SettleTimedOut    = define(304, Warn, "agent did not answer a settle request in time; connection closed")
	EndpointEjected   = define(305, Warn, "endpoint ejected after consecutive failures")
)
