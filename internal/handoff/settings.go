package handoff

import "liftshift/scheduler"

// Settings configure a Manager.
type Settings struct {
	Classes      []scheduler.RequestClass
	RetryBudget  scheduler.RetryBudget // limits how many idempotent requests successors run again
	RetryAfterMS float64               // longest Retry-After of a rejection; 0: none

	// AdoptClasses names the idempotent classes whose requests a successor runs again.
	AdoptClasses []string
	// MaxAdoptionsInFlight limits how many adopted requests are in flight at a time.
	MaxAdoptionsInFlight int
	// CopyAfterMS is the time after which a running idempotent request is copied to replicas; 0: never.
	CopyAfterMS float64
	// MaxCopies limits the copies stored here, and the requests owned and tracked here.
	MaxCopies int
	// MaxAnswerBytes is the length up to which answers are replicated.
	MaxAnswerBytes int
	// KeyRetentionMS is how long an idempotency key is stored after its deduplication window. RetentionChanged changes it.
	KeyRetentionMS float64
	// QuorumLossMS is how long requests of a partition that lost its quorum are rejected before the partition is
	// reinitialized, if that is longer than the longest deduplication window and deadline of a keyed class.
	QuorumLossMS float64
	// SendWithoutReplicas admits requests whose replicas cannot form a quorum, without registering them.
	SendWithoutReplicas bool
}

// DefaultSettings returns the settings that apply unless the configuration overrides them.
func DefaultSettings() Settings {
	return Settings{
		RetryBudget:          scheduler.RetryBudget{WindowMS: 10000, Floor: 3, Share: 0.1},
		MaxAdoptionsInFlight: defaultMaxAdoptionsInFlight,
		CopyAfterMS:          defaultCopyAfterMS,
		MaxCopies:            defaultMaxCopies,
		MaxAnswerBytes:       defaultMaxAnswerBytes,
		KeyRetentionMS:       defaultKeyRetentionMS,
	}
}
