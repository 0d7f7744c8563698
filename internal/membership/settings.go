package membership

// Default settings, for a fleet within one data center.
const (
	defaultProbeMS    = 500
	defaultAnswerMS   = 200 // less than half of defaultProbeMS, which leaves time for indirect probes
	defaultSuspectMS  = 2500
	defaultExchangeMS = 30000
	defaultMaxMembers = 4096
)

// Settings configures a View. Times are in milliseconds.
type Settings struct {
	ProbeMS         float64 // interval between probes, and the timeout of a probe
	AnswerMS        float64 // time without an answer after which other members are asked to probe
	SuspectMS       float64 // minimum time that a suspect has to refute a suspicion
	ExchangeMS      float64 // average interval between exchanges of full states
	MaxMembers      int
	IgnoreOwnHealth bool // disables Lifeguard's local health adjustment, for experiments without it
}

// DefaultSettings returns the settings that apply where the operators' file sets none.
func DefaultSettings() Settings {
	return Settings{ProbeMS: defaultProbeMS, AnswerMS: defaultAnswerMS, SuspectMS: defaultSuspectMS,
		ExchangeMS: defaultExchangeMS, MaxMembers: defaultMaxMembers}
}
