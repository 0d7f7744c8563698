package handoff

import "liftshift/scheduler"

// Settings are what a Manager goes by.
type Settings struct {
	Classes      []scheduler.RequestClass
	RetryBudget  scheduler.RetryBudget // for idempotent requests that a successor runs again
	RetryAfterMS float64               // longest Retry-After of a rejection; 0: none

	AdoptClasses         []string // idempotent classes that a successor runs again
	MaxAdoptionsInFlight int      // adopted requests in flight
	CopyAfterMS          float64  // idempotent requests that take longer are copied; 0: none are
	MaxCopies            int      // stored for other controllers
	MaxAnswerBytes       int      // longer answers are not copied
	KeyRetentionMS       float64  // for which an idempotency key is stored past its window
	QuorumLossMS         float64  // for which keys of a partition that lost its quorum are rejected, if longer than the longest window
	SendWithoutReplicas  bool     // go on with what this controller has where too few replicas can be reached
}

// DefaultSettings returns the settings that hold where the operators say nothing.
func DefaultSettings() Settings {
	return Settings{
		RetryBudget:          scheduler.RetryBudget{WindowMS: 10000, Floor: 3, Share: 0.1},
		MaxAdoptionsInFlight: defaultAdoptAtOnce,
		CopyAfterMS:          defaultCopyAfterMS,
		MaxCopies:            defaultMaxCopies,
		MaxAnswerBytes:       defaultMaxAnswerBytes,
		KeyRetentionMS:       defaultKeyRetentionMS,
	}
}
