package consensus

const (
	defaultLeaseMS        = 6000 // long enough for two elections and a restart
	defaultDeclareLostMS  = 2000
	defaultReplaceVoterMS = 15e3 // longer than a restart
	defaultVoters         = 3
)

// Settings configure a member of the group. Times are milliseconds.
type Settings struct {
	Voters         int     // number of voters that the group aims for
	LeaseMS        float64 // duration of a lease
	DeclareLostMS  float64 // time a controller must be unreachable before it is declared lost
	ReplaceVoterMS float64 // time a voter must be unreachable before another member replaces it
	Copies         int     // replicas of open requests that other controllers keep; 0: none
}

// DefaultSettings returns the settings that apply where the configuration file sets none.
func DefaultSettings() Settings {
	return Settings{Voters: defaultVoters, LeaseMS: defaultLeaseMS, DeclareLostMS: defaultDeclareLostMS,
		ReplaceVoterMS: defaultReplaceVoterMS}
}
