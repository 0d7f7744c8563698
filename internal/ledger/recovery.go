package ledger

import (
	"slices"
	"strconv"

	"liftshift/scheduler"
)

// restoreRecord restores the state in a record from before the start. A record that this version cannot decode is
// ignored and stays in the store until it expires.
func (l *Ledger) restoreRecord(ev *Event) {
	if ev.Value == nil {
		l.requests.Delete(ev.Key)
		l.keys.Delete(ev.Key)
		l.notes = slices.DeleteFunc(l.notes, func(note operatorNote) bool { return note.key == ev.Key })
		return
	}
	record, ok := decodeRecord(ev.Value)
	if !ok {
		return
	}
	switch record.kind {
	case kindRequest:
		l.restoreRequest(ev, &record)
	case kindIdempotencyKey:
		l.restoreKey(ev, &record)
	case kindRetryBudget:
		l.retryBudget.decode(&record)
	case kindExecutor:
		l.restoreExecutor(&record)
	case kindIncarnation:
		l.incarnation.decode(&record)
		l.inDoubtUntil = max(l.inDoubtUntil, record.number(fieldInDoubtUntil))
	case kindEstimates:
		l.estimates = record.estimates
	case kindOperatorNote:
		l.readNote(ev.Key, &record)
	}
	l.now = max(l.now, record.number(fieldAt))
}

// finishRecovery ends the recovery once all records have been read: it resumes log time, closes the requests that
// were open, starts a new incarnation and passes the restored state to the scheduler.
func (l *Ledger) finishRecovery(now float64, ev *Event) {
	elapsed := l.resumeClock(now, ev.Clocks)
	l.expire()
	if ev.TailInDoubt {
		l.inDoubtUntil = max(l.inDoubtUntil, l.now+l.longestWindowMS)
	}
	if l.now < l.inDoubtUntil {
		seconds := int((l.inDoubtUntil-l.now)/1000 + 1)
		l.emit(Effect{
			Kind: LogMessage,
			Text: "the tail of the log is in doubt: requests with unknown idempotency keys are rejected for " +
				strconv.Itoa(seconds) + " s",
		})
	}
	closed := l.closeOpenRequests(ev.TailInDoubt)
	l.ageKeys(elapsed)
	restored := scheduler.Event{Kind: scheduler.StateRestored, Estimates: l.estimates}
	l.retryBudget.restore(l, &restored, elapsed, !l.incarnation.clean)
	clean := l.incarnation.clean || l.incarnation.startedAt == 0
	l.incarnation = incarnation{startedAt: l.now, clocks: ev.Clocks}
	l.persistIncarnation()
	l.sync()
	l.emit(Effect{Kind: RestoreState, SchedulerEvent: restored})
	l.restoreNotes()
	if !clean || closed > 0 {
		l.emit(Effect{
			Kind: LogMessage,
			Text: "the previous run ended without a planned shutdown; " + strconv.Itoa(closed) +
				" open requests were closed",
		})
	}
}

// resumeClock continues log time from the last record, advanced by the least time that has passed since, and returns
// the bounds of that time.
func (l *Ledger) resumeClock(now float64, clocks Clocks) interval {
	last, elapsed := now, interval{} // in the first incarnation, log time starts at the caller's clock
	if l.incarnation.startedAt != 0 {
		last, elapsed = l.now, l.incarnation.elapsedSince(l.now, clocks)
	}
	l.started = true
	l.callerNow = now
	l.now = last + elapsed.min
	l.clockOffset = l.now - now
	return elapsed
}

// closeOpenRequests closes all open requests and returns how many there were. If the last records may be missing, the
// records do not prove that a request has not been attempted.
func (l *Ledger) closeOpenRequests(tailInDoubt bool) int {
	closed := 0
	for place := range l.requests.Places() {
		storeKey, _, req := l.requests.EntryAt(place)
		if req == nil || !req.state.open() {
			continue
		}
		closed++
		req.inFlight = 0
		if l.successorsResume { // successors decide the outcome; here the idempotency key stays in doubt
			l.requests.Delete(storeKey)
			l.emit(Effect{Kind: Delete, Key: storeKey})
			continue
		}
		input := inputCrashUnrecorded
		if l.classes[req.class].mustPersist() && !tailInDoubt {
			input = inputCrashRecorded
		}
		l.transition(storeKey, req, input)
	}
	l.counts.ClosedAtStart += uint64(closed)
	return closed
}
