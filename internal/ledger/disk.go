package ledger

import "slices"

const (
	// maxHoldMS is how long an attempt is held for its record to become durable. It is shorter than any grace period
	// of a draining executor.
	maxHoldMS           = 300
	diskProbeIntervalMS = 250 // between trial writes to a failing disk
)

// diskHealth tells whether records become durable in time.
type diskHealth uint8

const (
	diskHealthy diskHealth = iota
	diskFailing            // the last record was not stored, or not in time
)

// String returns the name of the state.
func (h diskHealth) String() string {
	return [...]string{diskHealthy: "healthy", diskFailing: "failing"}[h]
}

// diskInput is an observation that may change the diskHealth.
type diskInput uint8

const (
	diskInputStored diskInput = iota // a record was made durable
	diskInputFailed                  // a record could not be made durable
	diskInputSlow                    // a record took longer than maxHoldMS to become durable
)

// diskTransitions lists the state changes of the disk and the log message of each. An input without a row changes
// nothing.
var diskTransitions = []struct {
	from    diskHealth
	input   diskInput
	to      diskHealth
	message string
}{
	{diskHealthy, diskInputFailed, diskFailing,
		"records cannot be made durable: keyed and non-idempotent requests are rejected, idempotent ones go on"},
	{diskHealthy, diskInputSlow, diskFailing,
		"the disk is slower than an attempt may wait: keyed and non-idempotent requests are rejected, idempotent ones go on"},
	{diskFailing, diskInputStored, diskHealthy, "records are durable again"},
}

func (l *Ledger) diskTransition(input diskInput) {
	for _, t := range diskTransitions {
		if t.from == l.disk && t.input == input {
			l.disk = t.to
			l.diskProbeAt = l.now + diskProbeIntervalMS
			l.emit(Effect{Kind: LogMessage, Text: t.message})
			return
		}
	}
}

// heldAttempt is an attempt that is not sent until its record is durable.
type heldAttempt struct {
	token   uint64 // of the Sync that makes the record durable
	id      string // of the request
	attempt int
	since   float64 // log time
}

// recordsStored handles the result of a Sync: the attempts held for it are released if it succeeded and fail otherwise.
func (l *Ledger) recordsStored(ev *Event) {
	input := diskInputFailed
	if ev.OK {
		input = diskInputStored
	}
	l.diskTransition(input)
	stillHeld := l.held[:0]
	for _, held := range l.held {
		switch {
		case held.token != ev.Token:
			stillHeld = append(stillHeld, held)
		case ev.OK:
			l.counts.AttemptsHeld++
			l.counts.AttemptsHeldMS += l.now - held.since
			l.emit(Effect{Kind: ReleaseAttempt, ID: held.id, Attempt: held.attempt})
		default:
			l.failAttempt(held)
		}
	}
	l.held = stillHeld
}

// failOverdueAttempts fails the attempts that have been held for longer than maxHoldMS.
func (l *Ledger) failOverdueAttempts() {
	overdue := 0
	for overdue < len(l.held) && l.now-l.held[overdue].since > maxHoldMS {
		overdue++
	}
	if overdue == 0 {
		return
	}
	l.diskTransition(diskInputSlow)
	for _, held := range l.held[:overdue] {
		l.failAttempt(held)
	}
	l.held = slices.Delete(l.held, 0, overdue)
}

// forgetHeld drops the hold on an attempt that has ended. The next attempt may have the same number, and the record of
// the earlier one must not release it.
func (l *Ledger) forgetHeld(id string, attempt int) {
	l.held = slices.DeleteFunc(l.held, func(held heldAttempt) bool {
		return held.id == id && held.attempt == attempt
	})
}

func (l *Ledger) failAttempt(held heldAttempt) {
	l.counts.AttemptsFailed++
	l.emit(Effect{Kind: FailAttempt, ID: held.id, Attempt: held.attempt})
}
