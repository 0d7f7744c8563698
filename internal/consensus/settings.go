package consensus

const (
	defaultLeaseMS        = 6000 // two elections and a restart fit in
	defaultDeclareLostMS  = 2000
	defaultReplaceVoterMS = 15e3 // longer than a restart
	defaultVoters         = 3
)

// Settings configure a member of the group. Times are milliseconds.
type Settings struct {
	Voters         int
	LeaseMS        float64 // how long a controller may act on its lease
	DeclareLostMS  float64 // how long a controller must be unreachable before it is declared lost
	ReplaceVoterMS float64 // how long a voter must be unreachable before another takes its place
	Copies         int     // of open requests that other controllers keep; 0: none
}

// DefaultSettings returns the settings that apply where the operators' file has none.
func DefaultSettings() Settings {
	return Settings{Voters: defaultVoters, LeaseMS: defaultLeaseMS, DeclareLostMS: defaultDeclareLostMS, ReplaceVoterMS: defaultReplaceVoterMS}
}
