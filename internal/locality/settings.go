package locality

const (
	defaultThreadsPerCore = 1.2  // the scheduler's own bound
	defaultSpillShare     = 0.8  // of what a zone's own requests leave
	defaultStageMS        = 3000 // of each recovery stage
	defaultRecoveryWaitMS = 2000
	defaultLeaseMS        = 6000
)

// Settings configure a Monitor. Times are milliseconds.
type Settings struct {
	ThreadsPerCore float64               // that a zone's executors may have from all controllers
	SpillShare     float64               // share of a zone's unused capacity that other zones may use
	StageMS        float64               // duration of a recovery stage
	RecoveryWaitMS float64               // for which a lost zone must be reachable before it recovers
	LeaseMS        float64               // for which a confirmed share is valid
	MinShare       float64               // threads of the largest request; no share is smaller
	LatencyMS      map[[2]string]float64 // between two regions
	MinDensity     map[[2]string]float64 // value for its work that a request must have to go from one region to another
}

// DefaultSettings returns the settings that apply where the operators' file has none.
func DefaultSettings() Settings {
	return Settings{ThreadsPerCore: defaultThreadsPerCore, SpillShare: defaultSpillShare, StageMS: defaultStageMS,
		RecoveryWaitMS: defaultRecoveryWaitMS, LeaseMS: defaultLeaseMS, MinShare: 1, LatencyMS: map[[2]string]float64{},
		MinDensity: map[[2]string]float64{}}
}
