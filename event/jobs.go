package event

// Events of jobs and of the runs of their tasks, codes 600 to 699.
var (
	JobAdmitted  = define(600, Info, "job admitted")
	JobRefused   = define(601, Info, "job refused")
	JobEnded     = define(602, Info, "job ended")
	JobAbandoned = define(603, Info, "caller has gone, job is stopped")
	TaskPlaced   = define(604, Info, "task ordered")
	TaskRetried  = define(605, Info, "task waits for another run")
	TaskMoved    = define(606, Info, "slow run is stopped, task runs elsewhere")

	RunEnded     = define(620, Info, "run ended")
	RunRefused   = define(621, Info, "run refused")
	RunStop      = define(622, Info, "run is stopped for its entry")
	RunStraggles = define(623, Info, "run is much slower than expected")
	RunAdopted   = define(624, Info, "run of an earlier process adopted")
	RunOrphaned  = define(625, Warn, "run without an entry is stopped")
	RunAbandoned = define(626, Warn, "entry is silent, its run is stopped")

	StopUnanswered     = define(630, Warn, "endpoint did not answer a stop")
	EndpointUnanswered = define(631, Warn, "endpoint does not answer")
	EndpointReached    = define(632, Info, "endpoint answers again")
	AnnouncementOld    = define(633, Warn, "announcement of an older incarnation or an older moment ignored")

	AgentView        = define(640, Info, "belief about an agent changed")
	AgentSilent      = define(641, Warn, "agent is silent and gets no new task")
	AgentRunsLost    = define(642, Warn, "agent stayed silent, its runs have ended")
	QueueConfigured  = define(643, Info, "configuration in force")
	ConfigIgnored    = define(644, Warn, "configuration ignored")
	StoreUnavailable = define(645, Warn, "store of the platform does not answer")
	StoreAvailable   = define(646, Info, "store of the platform answers again")
	SettingsReloaded = define(647, Info, "settings file has changed")
	SettingsInvalid  = define(648, Warn, "changed settings file cannot be used, the last one stays in use")
	LinesDropped     = define(649, Warn, "log lines were dropped")
	Readiness        = define(650, Info, "readiness changed")
	EntryListFailed  = define(651, Warn, "list of entries could not be read or written")
	EntryListChanged = define(652, Info, "list of entries changed")
)
