package event

// Events of the dispatcher, codes 300 to 399.
var (
	AgentConnected    = define(300, Info, "agent connected")
	AgentDisconnected = define(301, Warn, "agent disconnected, its sent tasks wait for a new connection")
	AgentLost         = define(302, Warn, "agent did not return, its sent tasks may have run")
	AgentDraining     = define(303, Info, "agent is draining and gets no new task")
	SettleTimedOut    = define(304, Warn, "connection did not answer a settle in time and is closed")
	EndpointEjected   = define(305, Warn, "endpoint ejected after consecutive failures")
)
