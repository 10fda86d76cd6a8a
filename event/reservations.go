package event

// Events of the reservations of capacity for waiting tasks, codes 700 to 703.
var (
	ReservationMade     = define(700, Info, "capacity of an endpoint reserved for a waiting task")
	ReservationUsed     = define(701, Info, "task with a reservation ordered")
	ReservationExpired  = define(702, Warn, "reservation was not used in time and expired")
	ReservationReleased = define(703, Info, "reservation released without use")
)
