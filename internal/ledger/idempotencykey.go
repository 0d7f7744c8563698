package ledger

import (
	"math"

	"liftshift/scheduler"
)

// idempotencyKey is the recorded state of an idempotency key.
type idempotencyKey struct {
	text       string
	firstAt    float64 // log time of the first attempt that may have run; -Inf if its age or its location is unknown
	lastAt     float64 // log time of the last attempt or of the answer
	executor   uint32  // executor of the last attempt
	zone       string  // zone of the first attempt that may have run
	cell       int64   // cell of that attempt
	class      int     // index in Ledger.classes
	unresolved int     // number of attempts that are in flight or may have run
	succeeded  bool
	answer     []byte // nil: not recorded
}

// idempotencyRecordKey returns the key of the record of an idempotency key, or the zero Key if text is empty.
func idempotencyRecordKey(text string) Key {
	if text == "" {
		return Key{}
	}
	return recordKey('m', text)
}

// keyState classifies an idempotency key by what its attempts have done.
type keyState uint8

const (
	keyUnused    keyState = iota // no attempt can have run
	keyInDoubt                   // an attempt may have run
	keyAnswered                  // an attempt succeeded, and its answer is recorded
	keySucceeded                 // an attempt succeeded, and its answer was not kept
)

// String returns the name of the state.
func (s keyState) String() string {
	return [...]string{keyUnused: "unused", keyInDoubt: "in doubt", keyAnswered: "answered", keySucceeded: "succeeded"}[s]
}

func (k *idempotencyKey) state() keyState {
	switch {
	case k.succeeded && k.answer != nil:
		return keyAnswered
	case k.succeeded:
		return keySucceeded
	case k.unresolved > 0:
		return keyInDoubt
	default:
		return keyUnused
	}
}

func (k *idempotencyKey) outcome() Outcome {
	return [...]Outcome{
		keyUnused: Rejected, keyInDoubt: Failed, keyAnswered: Succeeded, keySucceeded: Succeeded,
	}[k.state()]
}

// keyDecision is how a request is handled with regard to its idempotency key.
type keyDecision uint8

const (
	decisionAdmitNew      keyDecision = iota // admit the request like one without a recorded key
	decisionAdmitRetry                       // admit the request for executors that drop repeats of the key
	decisionReplayAnswer                     // answer with the recorded answer
	decisionReportSuccess                    // answer that the key succeeded; its answer was not kept
	decisionReportFailure                    // answer that the key failed: it may have run and must not be sent again
)

// keyDecisions maps the state of a key to a decision. While withinWindow holds, the executors in the deduplication
// scope of the key drop repeats of it.
var keyDecisions = []struct {
	state        keyState
	withinWindow bool
	decision     keyDecision
}{
	{keyUnused, true, decisionAdmitNew},
	{keyUnused, false, decisionAdmitNew},
	{keyInDoubt, true, decisionAdmitRetry},
	{keyInDoubt, false, decisionReportFailure},
	{keyAnswered, true, decisionReplayAnswer},
	{keyAnswered, false, decisionReplayAnswer},
	{keySucceeded, true, decisionAdmitRetry},
	{keySucceeded, false, decisionReportSuccess},
}

func decideByKeyState(state keyState, withinWindow bool) keyDecision {
	for _, row := range keyDecisions {
		if row.state == state && row.withinWindow == withinWindow {
			return row.decision
		}
	}
	return decisionReportFailure
}

// decideByKey returns the decision on a request and the state of its idempotency key, which is nil if none is recorded.
func (l *Ledger) decideByKey(ev *Event, index int, class *requestClass) (keyDecision, *idempotencyKey) {
	if ev.IdempotencyKey == "" || !class.mustPersist() {
		return decisionAdmitNew, nil
	}
	l.importPriorAttempt(ev, index, class)
	key := l.keys.Get(idempotencyRecordKey(ev.IdempotencyKey))
	if key == nil {
		return decisionAdmitNew, nil
	}
	return decideByKeyState(key.state(), l.withinWindow(key)), key
}

// answerFromKey answers a request from the state of its idempotency key if the decision is to do so, and returns
// whether it did.
func (l *Ledger) answerFromKey(decision keyDecision, key *idempotencyKey) bool {
	answer := Effect{Kind: AnswerFromRecord}
	switch decision {
	case decisionReplayAnswer:
		answer.Outcome, answer.Body = Succeeded, key.answer
	case decisionReportSuccess:
		answer.Outcome = Succeeded
	case decisionReportFailure:
		answer.Outcome = Failed
	default:
		return false
	}
	l.counts.AnsweredFromRecord++
	answer.AgeMS = l.now - key.lastAt
	l.emit(answer)
	return true
}

// withinWindow returns whether the deduplication window of a key is certainly still open.
func (l *Ledger) withinWindow(key *idempotencyKey) bool {
	return l.now <= key.firstAt+l.classes[key.class].windowMS
}

// priorAttempt returns the first attempt that may have run under a key, by the caller's clock. Its time is never
// zero, which would stand for no attempt.
func (l *Ledger) priorAttempt(key *idempotencyKey) scheduler.PriorAttempt {
	prior := scheduler.PriorAttempt{At: key.firstAt - l.clockOffset, Zone: key.zone, Cell: key.cell}
	if math.IsInf(key.firstAt, 0) || prior.At == 0 {
		prior.At = -math.MaxFloat64
	}
	return prior
}

// importPriorAttempt records an attempt of another controller that may have run under the idempotency key of a
// request. Of the imported attempt and one already recorded, the earlier one counts. A success and its answer stay.
func (l *Ledger) importPriorAttempt(ev *Event, index int, class *requestClass) {
	if ev.Prior.At == 0 {
		return
	}
	firstAt := ev.Prior.At + l.clockOffset
	storeKey := idempotencyRecordKey(ev.IdempotencyKey)
	if known := l.keys.Get(storeKey); known != nil && known.state() != keyUnused && known.firstAt <= firstAt {
		return
	}
	key, _ := l.keys.Put(storeKey, clampMS(l.now+class.windowMS+l.retentionMS))
	if !key.succeeded {
		*key = idempotencyKey{text: ev.IdempotencyKey, class: index, unresolved: 1}
	}
	key.firstAt, key.lastAt = firstAt, l.now
	key.zone, key.cell = ev.Prior.Zone, ev.Prior.Cell
	l.persistKey(storeKey, key)
}

// startKeyedAttempt records an attempt under the idempotency key of a request. It returns false if the attempt must
// not be sent.
func (l *Ledger) startKeyedAttempt(req *request, class *requestClass, ev *Event) bool {
	if key := l.keys.Get(req.keyRecord); key != nil && !l.maySendTo(class, key, ev) {
		return false
	}
	key, _ := l.keys.Put(req.keyRecord, clampMS(l.now+class.windowMS+l.retentionMS))
	if key.state() == keyUnused {
		key.firstAt = l.now
		key.zone, key.cell = ev.Zone, ev.Cell
	}
	if ev.LocationInDoubt { // no executor is known to drop a repeat, as after the window
		key.firstAt = math.Inf(-1)
	}
	key.text, key.class = req.idempotencyKey, req.class
	key.lastAt = l.now
	key.unresolved++
	key.executor = ev.Executor
	l.persistKey(req.keyRecord, key)
	return true
}

// maySendTo returns whether a starting attempt under a key may be sent to its executor. If an earlier attempt may have
// run, only executors in its deduplication scope qualify, and only within the deduplication window. The scheduler
// observes the same rule for the prior attempts it knows of, but two requests with the same key may be received before
// either is sent.
func (l *Ledger) maySendTo(class *requestClass, key *idempotencyKey, ev *Event) bool {
	if key.state() == keyUnused {
		return true
	}
	if !l.withinWindow(key) {
		return false
	}
	switch class.scope {
	case scheduler.DedupZone:
		return ev.Zone == key.zone
	case scheduler.DedupCell:
		return ev.Cell == key.cell
	default:
		return true
	}
}

// discountAttempt removes an attempt that is known not to have run from the unresolved attempts of its idempotency key.
func (l *Ledger) discountAttempt(storeKey Key) {
	if key := l.keys.Get(storeKey); key != nil && key.unresolved > 0 {
		key.unresolved--
		l.persistKey(storeKey, key)
	}
}

// storeAnswer records that a key succeeded, and its answer unless that exceeds the limits on stored answers.
func (l *Ledger) storeAnswer(storeKey Key, body []byte) {
	key := l.keys.Get(storeKey)
	if key == nil {
		return
	}
	l.answerBytes -= len(key.answer)
	key.succeeded = true
	key.answer = nil
	key.lastAt = l.now
	if len(body) <= l.maxAnswerBytes && l.answerBytes+len(body) <= maxTotalAnswerBytes {
		key.answer = append([]byte{}, body...)
		l.answerBytes += len(key.answer)
	}
	l.persistKey(storeKey, key)
}

// ageKeys moves the first attempt of each key back to the earliest time possible after a restart of unknown duration.
// The retention of the keys is left as it is, so they are kept for at least as long as they have to be.
func (l *Ledger) ageKeys(elapsed interval) {
	if elapsed.max <= elapsed.min {
		return
	}
	for place := range l.keys.Places() {
		storeKey, _, key := l.keys.EntryAt(place)
		if key != nil && key.state() != keyUnused {
			key.firstAt -= elapsed.max - elapsed.min
			l.persistKey(storeKey, key)
		}
	}
}

func (l *Ledger) persistKey(storeKey Key, key *idempotencyKey) {
	class := &l.classes[key.class]
	w := l.newRecord(kindIdempotencyKey)
	w.text(fieldIdempotencyKey, key.text)
	w.text(fieldClass, class.name)
	w.number(fieldFirstAttempt, key.firstAt)
	w.number(fieldUntil, key.lastAt)
	w.number(fieldExecutor, float64(key.executor))
	w.text(fieldZone, key.zone)
	w.number(fieldCell, float64(key.cell))
	w.number(fieldUnresolved, float64(key.unresolved))
	w.flag(fieldMayHaveRun, key.succeeded)
	w.flag(fieldHasBody, key.answer != nil)
	w.bytes(fieldBody, key.answer)
	w.persist(storeKey, clampMS(key.lastAt+class.windowMS+l.retentionMS))
}

func (l *Ledger) restoreKey(ev *Event, record *decodedRecord) {
	index, class := l.class(record.text(fieldClass))
	if class == nil {
		return
	}
	key, _ := l.keys.Put(ev.Key, ev.Expires)
	l.answerBytes -= len(key.answer)
	*key = idempotencyKey{
		text:       record.text(fieldIdempotencyKey),
		class:      index,
		firstAt:    record.number(fieldFirstAttempt),
		lastAt:     record.number(fieldUntil),
		executor:   uint32(record.number(fieldExecutor)),
		zone:       record.text(fieldZone),
		cell:       int64(record.number(fieldCell)),
		unresolved: int(record.number(fieldUnresolved)),
		succeeded:  record.number(fieldMayHaveRun) != 0,
	}
	if record.number(fieldHasBody) != 0 {
		key.answer = append([]byte{}, record.texts[fieldBody]...)
		l.answerBytes += len(key.answer)
	}
}
