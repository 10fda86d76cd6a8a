package event

// Events of the log, tickets and members, codes 100 to 199.
var (
	LogUnavailable   = define(100, Warn, "platform log cannot be read")
	LogAvailable     = define(101, Info, "platform log can be read again")
	RecordsExpired   = define(102, Warn, "records expired before they were read")
	SnapshotWritten  = define(103, Info, "snapshot written")
	SnapshotFailed   = define(104, Warn, "snapshot could not be written")
	SnapshotMismatch = define(105, Error, "snapshot differs from own state")

	TicketInForce  = define(120, Info, "ticket is in force")
	TicketRefused  = define(121, Warn, "ticket was refused")
	StateFromPeer  = define(122, Info, "configuration received from a peer")
	StateDiffers   = define(123, Error, "configuration of a peer differs at the same ticket number")
	StateMalformed = define(124, Warn, "configuration of a peer is malformed")

	MemberJoined       = define(140, Info, "join recorded")
	MemberLeft         = define(141, Info, "leave recorded")
	MemberAppendFailed = define(142, Warn, "member record could not be appended")
	MemberRejoins      = define(143, Warn, "own membership was ended by a peer, joining again")
	MemberReplaced     = define(145, Error, "another process joined with the same name")
	MemberNoSponsor    = define(150, Warn, "no member has appended the own join record")
	MemberTakeover     = define(151, Error, "memberships ended and taken over, no member was reached")
	MembersReset       = define(144, Warn, "membership restarted without older records")
)
