package ledger

import (
	"slices"
	"strconv"

	"liftshift/scheduler"
)

// restoreRecord takes a record from before the start. One that this program can't read is left alone and expires by itself.
func (l *Ledger) restoreRecord(ev *Event) {
	if ev.Value == nil {
		l.requests.Delete(ev.Key)
		l.keys.Delete(ev.Key)
		l.notes = slices.DeleteFunc(l.notes, func(n operatorNote) bool { return n.key == ev.Key })
		return
	}
	r, ok := decodeRecord(ev.Value)
	if !ok {
		return
	}
	switch r.kind {
	case kindRequest:
		l.restoreRequest(ev, &r)
	case kindIdempotencyKey:
		l.restoreKey(ev, &r)
	case kindRetryBudget:
		l.retryBudget.decode(&r)
	case kindExecutor:
		l.restoreExecutor(&r)
	case kindIncarnation:
		l.incarnation.decode(&r)
		l.inDoubtUntil = max(l.inDoubtUntil, r.number(fieldInDoubtUntil))
	case kindEstimates:
		l.estimates = r.estimates
	case kindOperatorNote:
		l.readNote(ev.Key, &r)
	}
	l.now = max(l.now, r.number(fieldAt))
}

// finishRecovery closes what the crash left open and hands the scheduler what held before it.
func (l *Ledger) finishRecovery(now float64, ev *Event) {
	elapsed := l.resumeClock(now, ev.Clocks)
	l.expire()
	if ev.TailInDoubt {
		l.inDoubtUntil = max(l.inDoubtUntil, l.now+l.longestWindowMS)
	}
	if l.now < l.inDoubtUntil {
		seconds := int((l.inDoubtUntil-l.now)/1000 + 1)
		l.emit(Effect{Kind: LogMessage, Text: "the tail of the log is in doubt: requests with unknown idempotency keys are rejected for " +
			strconv.Itoa(seconds) + " s"})
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
		l.emit(Effect{Kind: LogMessage, Text: "the previous run ended without a planned shutdown; " + strconv.Itoa(closed) +
			" open requests were closed"})
	}
}

// resumeClock lets log time go on from the last record and returns how long ago that was.
func (l *Ledger) resumeClock(now float64, clocks Clocks) interval {
	last, elapsed := now, interval{} // of the first incarnation: log time begins as the caller's clock
	if l.incarnation.startedAt != 0 {
		last, elapsed = l.now, l.incarnation.elapsedSince(l.now, clocks)
	}
	l.started = true
	l.callerNow = now
	l.now = last + elapsed.min
	l.clockOffset = l.now - now
	return elapsed
}

// closeOpenRequests closes all requests that are open and returns how many there were. Where the last records may be missing,
// one of them may be that of an attempt that was sent: then nothing proves that none was.
func (l *Ledger) closeOpenRequests(tailInDoubt bool) int {
	closed := 0
	for place := range l.requests.Places() {
		k, _, r := l.requests.Next(place)
		if r == nil || !r.state.open() {
			continue
		}
		closed++
		r.inFlight = 0
		if l.successorsResume { // its key stays in doubt; the successors tell what became of it
			l.requests.Delete(k)
			l.emit(Effect{Kind: Delete, Key: k})
			continue
		}
		input := inputCrashUnrecorded
		if l.classes[r.class].mustPersist() && !tailInDoubt {
			input = inputCrashRecorded
		}
		l.transition(k, r, input)
	}
	l.counts.ClosedAtStart += uint64(closed)
	return closed
}
