package quota

import "liftshift/scheduler"

// Settings configure a Tree.
type Settings struct {
	Controllers int // controllers that share the installation
	Classes     []scheduler.RequestClass
	AgeMS       float64 // wait after which a request is served from the share reserved for the oldest requests
}

const (
	defaultAgeMS   = 3000
	defaultBurstMS = 1000 // Team.BurstMS where it is 0
	defaultWorkMS  = 100  // work of a request without an estimate
)

// DefaultSettings returns the settings of a single controller without request classes.
func DefaultSettings() Settings { return Settings{Controllers: 1, AgeMS: defaultAgeMS} }

// Team is the quota of one team. A limit of 0 means no limit; a ceiling of 0 is the whole installation.
type Team struct {
	Name            string
	Parent          string  // name of the parent team; empty: the installation
	Weight          float64 // relative to its siblings; 0: 1
	GuaranteedShare float64 // fraction of its parent's share that it gets regardless of the weights
	Ceiling         float64 // fraction of the installation that its long-term use never exceeds
	BurstMS         float64 // time's worth of its ceiling that it may use at once after a pause; 0: defaultBurstMS
	MaxInFlight     int     // requests that have been offered and not closed
	Threads         float64 // threads in use on executors
	MemoryMB        float64 // memory of its requests in flight
	MaxQueued       int     // waiting requests; further ones are handed to the scheduler to be rejected
}
