package event

// Events of the reservations of capacity for waiting tasks, codes 690 to 693.
var (
	ReservationMade     = define(690, Info, "capacity of an endpoint reserved for a waiting task")
	ReservationUsed     = define(691, Info, "task with a reservation ordered")
	ReservationExpired  = define(692, Warn, "reservation was not used in time and expired")
	ReservationReleased = define(693, Info, "reservation released without use")
)
