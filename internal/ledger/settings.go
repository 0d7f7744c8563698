package ledger

import "liftshift/scheduler"

// Settings are what a ledger goes by. Only RememberMS, MaxAnswerBytes, MaxRecords, SuccessorsResume and SkipDiskWait may change
// while it runs.
type Settings struct {
	Classes      []scheduler.RequestClass
	RetryBudget  scheduler.RetryBudget
	RetryAfterMS float64 // sent with a rejection that is on record; 0: none

	RememberMS       float64 // for which an idempotency key is kept past its window
	MaxAnswerBytes   int     // longer answers are not kept
	MaxRecords       int     // of keys, and of requests
	SuccessorsResume bool    // what is open at a crash is for other controllers to end
	SkipDiskWait     bool    // attempts do not wait for this disk, as other controllers keep copies
}

const (
	defaultRememberMS     = 600000
	defaultMaxAnswerBytes = 4096
	defaultMaxRecords     = 200000
	maxTotalAnswerBytes   = 16e6 // of all stored answers; past it further ones are not kept
)

// DefaultSettings returns what holds where the operators say nothing.
func DefaultSettings() Settings {
	return Settings{RememberMS: defaultRememberMS, MaxAnswerBytes: defaultMaxAnswerBytes, MaxRecords: defaultMaxRecords}
}

// applySettings takes over what may change while the ledger runs. Records keep the expiry that they were written with.
func (l *Ledger) applySettings(s *Settings) {
	l.rememberMS = s.RememberMS
	l.maxAnswerBytes = s.MaxAnswerBytes
	l.maxRecords = s.MaxRecords
	l.successorsResume, l.skipDiskWait = s.SuccessorsResume, s.SkipDiskWait
}

// requestClass is what the settings say of one request class.
type requestClass struct {
	name       string
	effect     scheduler.Idempotency
	scope      scheduler.DedupScope
	windowMS   float64 // within which executors drop repeats of a key
	deadlineMS float64
}

// mustPersist tells whether attempts of the class must be on record before they are sent.
func (c *requestClass) mustPersist() bool { return c.effect != scheduler.Idempotent }

// class returns a request class by name, with its index; nil if there is none.
func (l *Ledger) class(name string) (int, *requestClass) {
	for i := range l.classes {
		if l.classes[i].name == name {
			return i, &l.classes[i]
		}
	}
	return -1, nil
}
