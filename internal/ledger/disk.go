package ledger

import "slices"

const (
	maxHoldMS           = 300 // for which an attempt waits for its record; shorter than any grace period of a draining executor
	diskProbeIntervalMS = 250 // between trial writes to a disk that failed
)

// diskHealth is whether records can be made durable in time.
type diskHealth uint8

const (
	diskHealthy diskHealth = iota
	diskFailing            // the last record was not stored, or not in time
)

// String returns the name of the state.
func (h diskHealth) String() string {
	return [...]string{diskHealthy: "healthy", diskFailing: "failing"}[h]
}

// diskInput is what was observed of the disk.
type diskInput uint8

const (
	diskStored diskInput = iota
	diskFailed           // a record could not be made durable
	diskSlow             // that takes longer than an attempt may be held
)

var diskTransitions = []struct {
	from    diskHealth
	input   diskInput
	to      diskHealth
	message string
}{
	{diskHealthy, diskFailed, diskFailing, "records cannot be made durable: keyed and non-idempotent requests are rejected, idempotent ones go on"},
	{diskHealthy, diskSlow, diskFailing, "the disk is slower than an attempt may wait: keyed and non-idempotent requests are rejected, idempotent ones go on"},
	{diskFailing, diskStored, diskHealthy, "records are durable again"},
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

// heldAttempt is an attempt that waits until its record is durable.
type heldAttempt struct {
	token   uint64
	id      string
	attempt int
	since   float64
}

// recordsStored handles the report on a Sync: attempts that waited for it are released, or fail.
func (l *Ledger) recordsStored(ev *Event) {
	input := diskFailed
	if ev.OK {
		input = diskStored
	}
	l.diskTransition(input)
	waiting := l.held[:0]
	for _, h := range l.held {
		switch {
		case h.token != ev.Token:
			waiting = append(waiting, h)
		case ev.OK:
			l.counts.AttemptsHeld++
			l.counts.AttemptsHeldMS += l.now - h.since
			l.emit(Effect{Kind: ReleaseAttempt, ID: h.id, Attempt: h.attempt})
		default:
			l.failAttempt(h)
		}
	}
	l.held = waiting
}

// failOverdueAttempts fails the attempts that were held too long.
func (l *Ledger) failOverdueAttempts() {
	overdue := 0
	for overdue < len(l.held) && l.now-l.held[overdue].since > maxHoldMS {
		overdue++
	}
	if overdue == 0 {
		return
	}
	l.diskTransition(diskSlow)
	for _, h := range l.held[:overdue] {
		l.failAttempt(h)
	}
	l.held = slices.Delete(l.held, 0, overdue)
}

func (l *Ledger) failAttempt(h heldAttempt) {
	l.counts.AttemptsFailed++
	l.emit(Effect{Kind: FailAttempt, ID: h.id, Attempt: h.attempt})
}
