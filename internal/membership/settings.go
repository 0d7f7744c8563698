package membership

// Defaults for a fleet on one site.
const (
	defaultProbeMS    = 500
	defaultAnswerMS   = 200 // less than half of defaultProbeMS, so that indirect probes fit into the rest
	defaultSuspectMS  = 2500
	defaultExchangeMS = 30000
	defaultMaxMembers = 4096
)

// Settings configure a View. Times are milliseconds.
type Settings struct {
	ProbeMS         float64 // between two probes
	AnswerMS        float64 // without an answer until other members are asked to probe
	SuspectMS       float64 // least time in which a suspect may refute
	ExchangeMS      float64 // between two exchanges of full states
	MaxMembers      int
	IgnoreOwnHealth bool // disables the adjustment to this controller's own slowness; for measurements
}

// DefaultSettings returns the settings that apply where the operators' file has none.
func DefaultSettings() Settings {
	return Settings{ProbeMS: defaultProbeMS, AnswerMS: defaultAnswerMS, SuspectMS: defaultSuspectMS, ExchangeMS: defaultExchangeMS,
		MaxMembers: defaultMaxMembers}
}
