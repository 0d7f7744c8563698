package locality

// The settings that DefaultSettings returns.
const (
	defaultThreadsPerCore = 1.2
	defaultSpillShare     = 0.8
	defaultStageMS        = 3000
	defaultRecoveryWaitMS = 2000
	defaultLeaseMS        = 6000
)

// Settings configures a Monitor. Durations are in milliseconds.
type Settings struct {
	ThreadsPerCore float64 // capacity of an executor for all controllers together; also the scheduler's own limit
	SpillShare     float64 // share of a zone's unused capacity that other zones may use
	StageMS        float64 // duration of a recovery stage
	RecoveryWaitMS float64 // for which a lost zone must be reachable before it starts to recover
	LeaseMS        float64 // for which a confirmation of shares is valid
	MinShare       float64 // threads of the largest request; shares are multiples of this
	// LatencyMS is the additional round-trip latency from the first region to the second.
	LatencyMS map[[2]string]float64
	// MinDensity is the least value per ms of work of a request that may go from the first region to the second.
	MinDensity map[[2]string]float64
}

// DefaultSettings returns the settings that apply unless the operators configure others.
func DefaultSettings() Settings {
	return Settings{
		ThreadsPerCore: defaultThreadsPerCore,
		SpillShare:     defaultSpillShare,
		StageMS:        defaultStageMS,
		RecoveryWaitMS: defaultRecoveryWaitMS,
		LeaseMS:        defaultLeaseMS,
		MinShare:       1,
		LatencyMS:      map[[2]string]float64{},
		MinDensity:     map[[2]string]float64{},
	}
}
