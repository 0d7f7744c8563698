package ledger

import "liftshift/scheduler"

// Settings are what a ledger goes by. Only RememberMS, MaxAnswerBytes, MaxRecords, SuccessorsResume and SkipDiskWait may change
// while it runs.
type Settings struct {
	Classes      []scheduler.RequestClass
	RetryBudget  scheduler.RetryBudget
	RetryAfterMS float64 // told with a rejection that is on record; 0: none

	RememberMS       float64 // for which an idempotency key is kept past its window
	MaxAnswerBytes   int     // longer answers are not kept
	MaxRecords       int     // of keys, and of requests
	SuccessorsResume bool    // what is open at a crash is for other controllers to end
	SkipDiskWait     bool    // attempts do not wait for this disk, as other controllers keep copies
}

// DefaultSettings returns what holds where the operators say nothing.
func DefaultSettings() Settings {
	return Settings{RememberMS: usualMemory, MaxAnswerBytes: usualAnswer, MaxRecords: usualKept}
}
