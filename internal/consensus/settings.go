package consensus

// Settings are what a member of the group goes by. Times are milliseconds.
type Settings struct {
	Voters         int
	LeaseMS        float64 // how long a controller may act on its lease
	DeclareLostMS  float64 // how long a controller must be unreachable before it is declared lost
	ReplaceVoterMS float64 // how long a voter must be unreachable before another takes its place
	Copies         int     // of open requests that other controllers keep; 0: none
}

// DefaultSettings returns what holds where the operators say nothing.
func DefaultSettings() Settings {
	return Settings{Voters: 3, LeaseMS: leaseMS, DeclareLostMS: declareMS, ReplaceVoterMS: replaceMS}
}
