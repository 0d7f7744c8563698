package quota

import "liftshift/scheduler"

// Settings are what a tree goes by.
type Settings struct {
	Controllers int // that share the installation
	Classes     []scheduler.RequestClass
	AgeMS       float64 // of waiting, past which the oldest requests get a share of their own
}

const (
	defaultAgeMS   = 3000
	defaultBurstMS = 1000 // of its ceiling that a team may use at once after a pause
	defaultWorkMS  = 100  // for a request without an estimate
)

// DefaultSettings returns what holds where the operators say nothing.
func DefaultSettings() Settings { return Settings{Controllers: 1, AgeMS: defaultAgeMS} }

// Team is the quota of one team. Zero means no limit, and for the ceiling the whole installation.
type Team struct {
	Name            string
	Parent          string  // empty: the installation itself
	Weight          float64 // against its siblings; 0: 1
	GuaranteedShare float64 // of its parent's share, whatever the weights
	Ceiling         float64 // share of the whole installation that it never passes in the long run
	BurstMS         float64
	MaxInFlight     int     // requests past the queue
	Threads         float64 // on executors
	MemoryMB        float64 // granted there
	MaxQueued       int     // further requests go to the scheduler at once, to be rejected
}
