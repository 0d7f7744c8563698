package ledger

// maxAttempts is the number of attempts that are recorded of a request. It is the number of bits in request.inFlight.
const maxAttempts = 8

// request is the recorded state of a request.
type request struct {
	id             string
	idempotencyKey string
	keyRecord      Key // key of the record of the idempotency key; zero: no key, or the class is idempotent
	class          int // index in Ledger.classes
	state          requestState
	updatedAt      float64 // log time at which the request was closed or, while it is open, received
	deadline       float64 // log time
	inFlight       uint8   // bit n: attempt n is in flight
	mayHaveRun     bool    // an attempt that has ended may have run
}

func requestKey(id string) Key { return recordKey('s', id) }

// requestState is the state of a request. The numbers are stored, so they never change.
type requestState uint8

const (
	requestPending    requestState = 0 // no attempt is in flight or may have run
	requestInFlight   requestState = 1 // an attempt is in flight
	requestUnresolved requestState = 2 // no attempt is in flight, but one may have run
	requestSucceeded  requestState = 3 // this state and the following ones are final
	requestRejected   requestState = 4
	requestFailed     requestState = 5
	requestAbandoned  requestState = 6
	requestStateCount requestState = 7
)

var requestStateNames = [requestStateCount]string{
	requestPending: "pending", requestInFlight: "in flight", requestUnresolved: "unresolved",
	requestSucceeded: "succeeded", requestRejected: "rejected", requestFailed: "failed", requestAbandoned: "abandoned",
}

// String returns the name of the state.
func (s requestState) String() string { return requestStateNames[s] }

var requestOutcomes = [requestStateCount]Outcome{
	requestPending: Open, requestInFlight: Open, requestUnresolved: Open,
	requestSucceeded: Succeeded, requestRejected: Rejected, requestFailed: Failed, requestAbandoned: Abandoned,
}

func (s requestState) outcome() Outcome { return requestOutcomes[s] }
func (s requestState) open() bool       { return s <= requestUnresolved }

// requestInput is an input of the state machine of a request.
type requestInput uint8

const (
	inputAttemptStarted    requestInput = iota
	inputAttemptsNeverRan               // the last attempt in flight has ended, and no attempt can have run
	inputAttemptMayHaveRun              // the last attempt in flight has ended, and an attempt may have run
	inputSucceeded
	inputRejected
	inputFailed
	inputAbandoned
	inputCrashRecorded   // the controller crashed; all attempts that it sent are recorded
	inputCrashUnrecorded // the controller crashed; it may have sent attempts that are not recorded
)

// requestTransitions lists the state changes of a request and their effects. An input without a row changes nothing.
var requestTransitions = []struct {
	from   requestState
	input  requestInput
	to     requestState
	effect func(*Ledger, Key, *request)
}{
	{requestPending, inputAttemptStarted, requestInFlight, nil},
	{requestUnresolved, inputAttemptStarted, requestInFlight, nil},
	{requestInFlight, inputAttemptStarted, requestInFlight, nil},
	{requestInFlight, inputAttemptsNeverRan, requestPending, nil},
	{requestInFlight, inputAttemptMayHaveRun, requestUnresolved, nil},
	{requestPending, inputSucceeded, requestSucceeded, (*Ledger).persistClosed},
	{requestInFlight, inputSucceeded, requestSucceeded, (*Ledger).persistClosed},
	{requestUnresolved, inputSucceeded, requestSucceeded, (*Ledger).persistClosed},
	{requestPending, inputRejected, requestRejected, (*Ledger).persistClosed},
	{requestInFlight, inputRejected, requestRejected, (*Ledger).persistClosed},
	{requestUnresolved, inputRejected, requestRejected, (*Ledger).persistClosed},
	{requestPending, inputFailed, requestFailed, (*Ledger).persistClosed},
	{requestInFlight, inputFailed, requestFailed, (*Ledger).persistClosed},
	{requestUnresolved, inputFailed, requestFailed, (*Ledger).persistClosed},
	{requestPending, inputAbandoned, requestAbandoned, (*Ledger).persistClosed},
	{requestInFlight, inputAbandoned, requestAbandoned, (*Ledger).persistClosed},
	{requestUnresolved, inputAbandoned, requestAbandoned, (*Ledger).persistClosed},
	// After a crash a request is rejected only if no attempt can have run.
	{requestPending, inputCrashRecorded, requestRejected, (*Ledger).persistClosed},
	{requestInFlight, inputCrashRecorded, requestFailed, (*Ledger).persistClosed},
	{requestUnresolved, inputCrashRecorded, requestFailed, (*Ledger).persistClosed},
	{requestPending, inputCrashUnrecorded, requestFailed, (*Ledger).persistClosed},
	{requestInFlight, inputCrashUnrecorded, requestFailed, (*Ledger).persistClosed},
	{requestUnresolved, inputCrashUnrecorded, requestFailed, (*Ledger).persistClosed},
}

// transition applies an input to a request and returns whether requestTransitions has a row for it.
func (l *Ledger) transition(storeKey Key, req *request, input requestInput) bool {
	for i := range requestTransitions {
		t := &requestTransitions[i]
		if t.from != req.state || t.input != input {
			continue
		}
		req.state = t.to
		if t.effect != nil {
			t.effect(l, storeKey, req)
		}
		return true
	}
	return false
}

func (l *Ledger) persistClosed(storeKey Key, req *request) {
	req.updatedAt = l.now
	l.releaseOpenKey(req)
	l.persistRequest(storeKey, req)
}

// releaseOpenKey takes a request that is no longer open off the count of its idempotency key. One that was open at a crash
// does not count.
func (l *Ledger) releaseOpenKey(req *request) {
	if l.openKeys[req.keyRecord] > 1 {
		l.openKeys[req.keyRecord]--
		return
	}
	delete(l.openKeys, req.keyRecord)
}

// receive admits a client's request, along with any attempt that may have run under its idempotency key, answers it
// from the records, or admits it without permission to send an attempt.
func (l *Ledger) receive(ev *Event) {
	if req := l.requests.Get(requestKey(ev.ID)); req != nil {
		l.answerFromRecord(ev, req)
		return
	}
	index, class := l.class(ev.Class)
	if class == nil {
		l.emit(Effect{Kind: Admit})
		return
	}
	decision, key := l.decideByKey(ev, index, class)
	if l.answerFromKey(decision, key) {
		return
	}
	admitted := Effect{Kind: Admit}
	if decision == decisionAdmitRetry {
		l.counts.KeysRetried++
		admitted.Prior = l.priorAttempt(key)
	}
	if l.mustBlock(class, ev.IdempotencyKey, decision) {
		l.counts.RequestsBlocked++
		admitted.Kind = AdmitBlocked
	}
	l.emit(admitted)
	if ev.Deadline+l.clockOffset > l.now { // a later one may be a duplicate, as no record of the first is left
		l.retryBudget.countRequest(l.now)
	}
	// Past maxRecords, idempotent requests are admitted without a record. No durable state depends on it, but a query
	// for the outcome of such a request is answered by Unknown.
	if admitted.Kind == Admit && l.requests.Len() < l.maxRecords {
		l.addRequest(ev, index, class)
	}
}

// addRequest records a request. The record need not be durable before an attempt is sent, so there is no Sync.
func (l *Ledger) addRequest(ev *Event, index int, class *requestClass) {
	storeKey := requestKey(ev.ID)
	deadline := ev.Deadline + l.clockOffset
	req, _ := l.requests.Put(storeKey, l.requestExpiry(class, deadline))
	*req = request{id: ev.ID, idempotencyKey: ev.IdempotencyKey, class: index, updatedAt: l.now, deadline: deadline}
	if class.mustPersist() {
		req.keyRecord = idempotencyRecordKey(ev.IdempotencyKey)
	}
	if req.keyRecord != (Key{}) {
		l.openKeys[req.keyRecord]++
	}
	l.persistRequest(storeKey, req)
}

// mustBlock returns whether no attempt of a request may be sent for now: its record would not become durable, there
// is no room for it, or a record of its idempotency key may be missing. A request whose key is in doubt is admitted
// while the disk is failing, since it could only be reported as failed. Its attempts are held and may be tried again.
func (l *Ledger) mustBlock(class *requestClass, keyText string, decision keyDecision) bool {
	if !class.mustPersist() {
		return false
	}
	if l.disk == diskFailing && !l.skipDiskWait && decision != decisionAdmitRetry {
		return true
	}
	if max(l.requests.Len(), l.keys.Len()) >= l.maxRecords {
		return true
	}
	return keyText != "" && decision == decisionAdmitNew && l.now < l.inDoubtUntil
}

// answerFromRecord answers a request whose id is already recorded. Clients never use an id twice, so a request without
// the idempotency key of the recorded one is another request: it fails where that one succeeded.
func (l *Ledger) answerFromRecord(ev *Event, req *request) {
	l.counts.AnsweredFromRecord++
	answer := l.emit(Effect{Kind: AnswerFromRecord, Outcome: req.state.outcome(), AgeMS: l.now - req.updatedAt})
	isRepeat := ev.IdempotencyKey != "" && ev.IdempotencyKey == req.idempotencyKey
	switch {
	case answer.Outcome == Succeeded && !isRepeat:
		answer.Outcome = Failed
	case answer.Outcome == Succeeded:
		if key := l.keys.Get(req.keyRecord); key != nil {
			answer.Body = key.answer
		}
	case answer.Outcome == Rejected:
		answer.RetryAfterMS = l.settings.RetryAfterMS
	}
}

// requestExpiry returns the log time at which the record of a request expires: its deadline, plus the retention time
// unless the class is idempotent.
func (l *Ledger) requestExpiry(class *requestClass, deadline float64) int64 {
	until := deadline
	if class.mustPersist() {
		until += l.retentionMS
	}
	return clampMS(max(until, l.now+1))
}

// startAttempt records an attempt. Unless its class is idempotent, the attempt is held until the record is durable.
func (l *Ledger) startAttempt(ev *Event) {
	storeKey := requestKey(ev.ID)
	req := l.requests.Get(storeKey)
	if req == nil || ev.Attempt >= maxAttempts {
		return
	}
	class := &l.classes[req.class]
	if ev.Attempt > 0 {
		l.retryBudget.countRetry(l.now)
	}
	l.transition(storeKey, req, inputAttemptStarted)
	req.inFlight |= 1 << ev.Attempt
	if !class.mustPersist() {
		return
	}
	if req.keyRecord != (Key{}) && !l.startKeyedAttempt(req, class, ev) {
		// Another request with the same key was attempted first, outside the deduplication scope or window of this
		// attempt.
		req.inFlight &^= 1 << ev.Attempt
		l.transition(storeKey, req, inputAttemptsNeverRan)
		l.emit(Effect{Kind: HoldAttempt, ID: req.id, Attempt: ev.Attempt})
		l.failAttempt(heldAttempt{id: req.id, attempt: ev.Attempt})
		return
	}
	l.persistRequest(storeKey, req)
	if l.skipDiskWait {
		return
	}
	held := heldAttempt{token: l.sync(), id: req.id, attempt: ev.Attempt, since: l.now}
	l.emit(Effect{Kind: HoldAttempt, ID: req.id, Attempt: ev.Attempt, Token: held.token})
	l.held = append(l.held, held)
}

// endAttempt records the end of an attempt. An attempt that is known not to have run no longer counts as unresolved
// for its idempotency key.
func (l *Ledger) endAttempt(ev *Event) {
	storeKey := requestKey(ev.ID)
	req := l.requests.Get(storeKey)
	if req == nil || ev.Attempt >= maxAttempts || req.inFlight&(1<<ev.Attempt) == 0 {
		return
	}
	req.inFlight &^= 1 << ev.Attempt
	if ev.NeverRan {
		l.forgetHeld(req.id, ev.Attempt)
	}
	req.mayHaveRun = req.mayHaveRun || !ev.NeverRan
	if req.inFlight == 0 {
		input := inputAttemptsNeverRan
		if req.mayHaveRun {
			input = inputAttemptMayHaveRun
		}
		l.transition(storeKey, req, input)
	}
	if !l.classes[req.class].mustPersist() {
		return
	}
	if ev.NeverRan {
		l.discountAttempt(req.keyRecord)
	}
	if req.state.open() {
		l.persistRequest(storeKey, req)
	}
}

var closingInputs = map[Outcome]requestInput{
	Succeeded: inputSucceeded, Rejected: inputRejected, Failed: inputFailed, Abandoned: inputAbandoned,
}

// closeRequest records the final answer of a request. The answer has been sent already, so there is no Sync.
func (l *Ledger) closeRequest(ev *Event) {
	storeKey := requestKey(ev.ID)
	req := l.requests.Get(storeKey)
	input, closing := closingInputs[ev.Outcome]
	if req == nil || !closing || !l.transition(storeKey, req, input) {
		return
	}
	if ev.Outcome == Succeeded {
		l.storeAnswer(req.keyRecord, ev.Body)
	}
}

func (l *Ledger) persistRequest(storeKey Key, req *request) {
	class := &l.classes[req.class]
	w := l.newRecord(kindRequest)
	w.text(fieldID, req.id)
	w.text(fieldIdempotencyKey, req.idempotencyKey)
	w.text(fieldClass, class.name)
	w.number(fieldState, float64(req.state))
	w.number(fieldUntil, req.deadline)
	w.number(fieldInFlight, float64(req.inFlight))
	w.flag(fieldMayHaveRun, req.mayHaveRun)
	w.persist(storeKey, l.requestExpiry(class, req.deadline))
}

func (l *Ledger) restoreRequest(ev *Event, record *decodedRecord) {
	index, class := l.class(record.text(fieldClass))
	if class == nil { // the class has been removed, so the request cannot be repeated
		return
	}
	req, _ := l.requests.Put(ev.Key, ev.Expires)
	*req = request{
		id:             record.text(fieldID),
		idempotencyKey: record.text(fieldIdempotencyKey),
		class:          index,
		state:          min(requestState(record.number(fieldState)), requestAbandoned),
		updatedAt:      record.number(fieldAt),
		deadline:       record.number(fieldUntil),
		inFlight:       uint8(record.number(fieldInFlight)),
		mayHaveRun:     record.number(fieldMayHaveRun) != 0,
	}
	if class.mustPersist() {
		req.keyRecord = idempotencyRecordKey(req.idempotencyKey)
	}
}
