package ledger

import "liftshift/scheduler"

// Settings configure a Ledger. A SettingsChanged event applies RetentionMS, MaxAnswerBytes, MaxRecords,
// SuccessorsResume and SkipDiskWait; the other fields keep the values given to New.
type Settings struct {
	Classes      []scheduler.RequestClass
	RetryBudget  scheduler.RetryBudget
	RetryAfterMS float64 // Effect.RetryAfterMS of an answer that repeats a recorded rejection; 0: none

	// RetentionMS is how long an idempotency key is kept past its deduplication window, and a request past its
	// deadline.
	RetentionMS      float64
	MaxAnswerBytes   int  // longer answers are not stored
	MaxRecords       int  // limit for idempotency keys and for requests, each
	SuccessorsResume bool // other controllers take over the requests that are open at a crash
	SkipDiskWait     bool // attempts do not wait for the local disk, because other controllers keep replicas
}

const (
	defaultRetentionMS    = 600000
	defaultMaxAnswerBytes = 4096
	defaultMaxRecords     = 200000
	maxTotalAnswerBytes   = 16e6 // limit for the total size of the stored answers; answers past it are not stored
)

// DefaultSettings returns the defaults of the settings that operators may leave out.
func DefaultSettings() Settings {
	return Settings{RetentionMS: defaultRetentionMS, MaxAnswerBytes: defaultMaxAnswerBytes, MaxRecords: defaultMaxRecords}
}

// applySettings applies the settings that may change while the ledger runs. Existing records keep their expiry.
func (l *Ledger) applySettings(s *Settings) {
	l.retentionMS = s.RetentionMS
	l.maxAnswerBytes = s.MaxAnswerBytes
	l.maxRecords = s.MaxRecords
	l.successorsResume, l.skipDiskWait = s.SuccessorsResume, s.SkipDiskWait
}

// requestClass holds the settings of a request class that the ledger needs.
type requestClass struct {
	name        string
	idempotency scheduler.Idempotency
	scope       scheduler.DedupScope
	windowMS    float64 // time for which the executors in scope drop repeats of a key
	deadlineMS  float64
}

// mustPersist returns whether attempts of the class must be recorded before they are sent.
func (c *requestClass) mustPersist() bool { return c.idempotency != scheduler.Idempotent }

// class returns the index and the settings of the named request class, or -1 and nil if it does not exist.
func (l *Ledger) class(name string) (int, *requestClass) {
	for i := range l.classes {
		if l.classes[i].name == name {
			return i, &l.classes[i]
		}
	}
	return -1, nil
}
