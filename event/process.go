package event

// Events of every process, codes 500 to 599.
var (
	ProcessStarted  = define(500, Info, "process started")
	ProcessDraining = define(501, Info, "process is draining")
	ProcessStopped  = define(502, Info, "process stopped")
	LibraryMessage  = define(503, Warn, "message from a library")
)
