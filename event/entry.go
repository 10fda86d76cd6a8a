package event

// Events of the entry, codes 400 to 499.
var (
	EntryListening         = define(400, Info, "entry is listening")
	EntryListenerFailed    = define(401, Error, "listener failed")
	EntryPanic             = define(402, Error, "request handler panicked")
	EntryAgentConnected    = define(403, Info, "agent connection opened")
	EntryAgentClosed       = define(404, Warn, "agent connection closed")
	EntryPeerConnected     = define(405, Info, "connected to peer entry")
	EntryPeerClosed        = define(406, Warn, "connection to peer entry closed")
	EntryForwardFailed     = define(407, Warn, "forwarded submission got no reply from its home entry")
	EntryUnexpectedMessage = define(408, Warn, "unexpected message from a peer")
	EntryDrainGrace        = define(409, Info, "reported not ready; waiting for the load balancer to stop sending requests")
	EntryDrainIncomplete   = define(410, Error, "requests still in flight at the drain timeout")
	EntryStateFromPeer     = define(411, Info, "configuration fetched from a peer")
	EntryStateInvalid      = define(412, Warn, "configuration from a peer refused")
	EntryMemberSuspect     = define(413, Warn, "member entry is suspect")
	EntryReplyLost         = define(415, Warn, "reply could not be sent to a peer")
	EntryLeaveFailed       = define(414, Warn, "leave record of this entry could not be appended")
)
