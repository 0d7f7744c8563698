package membership

// Settings are what a view goes by. Times are milliseconds.
type Settings struct {
	ProbeMS         float64 // between two probes
	AnswerMS        float64 // without an answer until others are asked to probe
	SuspectMS       float64 // least time in which a suspect may refute
	ExchangeMS      float64 // between two exchanges of the whole view
	MaxMembers      int
	IgnoreOwnHealth bool // do not take this controller's own slowness into account: for measurements
}

// DefaultSettings returns what holds where the operators say nothing.
func DefaultSettings() Settings {
	return Settings{ProbeMS: probeMS, AnswerMS: answerMS, SuspectMS: suspectMS, ExchangeMS: exchangeMS, MaxMembers: mostMembers}
}
