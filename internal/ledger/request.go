package ledger

// maxAttempts is how many attempts of a request are recorded: the bits of request.inFlight.
const maxAttempts = 8

// request is what is remembered of a request.
type request struct {
	id             string
	idempotencyKey string
	keyRecord      Key // of the idempotency key; zero: it has none that counts
	class          int // index in Ledger.classes
	state          requestState
	updatedAt      float64 // log time at which it was received, then at which it was closed
	deadline       float64
	inFlight       uint8 // a bit for each attempt
	mayHaveRun     bool  // an attempt that has ended may have run
}

func requestKey(id string) Key { return recordKey('s', id) }

// requestState is where a request stands. Its numbers are stored: they do not change.
type requestState uint8

const (
	requestPending    requestState = 0 // no attempt may have run, none is in flight
	requestInFlight   requestState = 1 // an attempt is in flight
	requestUnresolved requestState = 2 // none is in flight, one may have run
	requestSucceeded  requestState = 3 // this one and those below are final
	requestRejected   requestState = 4
	requestFailed     requestState = 5
	requestAbandoned  requestState = 6
	requestStateCount requestState = 7
)

var requestStateNames = [requestStateCount]string{requestPending: "pending", requestInFlight: "in flight", requestUnresolved: "unresolved",
	requestSucceeded: "succeeded", requestRejected: "rejected", requestFailed: "failed", requestAbandoned: "abandoned"}

// String returns the name of the state.
func (s requestState) String() string { return requestStateNames[s] }

var requestOutcomes = [requestStateCount]Outcome{requestPending: Open, requestInFlight: Open, requestUnresolved: Open,
	requestSucceeded: Succeeded, requestRejected: Rejected, requestFailed: Failed, requestAbandoned: Abandoned}

func (s requestState) outcome() Outcome { return requestOutcomes[s] }
func (s requestState) open() bool       { return s <= requestUnresolved }

// requestInput is what happens to a request.
type requestInput uint8

const (
	inputAttemptStarted    requestInput = iota
	inputAttemptsNeverRan               // the last attempt in flight has ended, and none may have run
	inputAttemptMayHaveRun              // the last attempt in flight has ended, and one may have run
	inputSucceeded
	inputRejected
	inputFailed
	inputAbandoned
	inputCrashRecorded   // the controller crashed; all attempts that it sent are on record
	inputCrashUnrecorded // the controller crashed; it may have sent attempts that are not on record
)

// requestTransitions tells what becomes of a request. An input without a row changes nothing.
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
	// After a crash a request is rejected only where no attempt can have run.
	{requestPending, inputCrashRecorded, requestRejected, (*Ledger).persistClosed},
	{requestInFlight, inputCrashRecorded, requestFailed, (*Ledger).persistClosed},
	{requestUnresolved, inputCrashRecorded, requestFailed, (*Ledger).persistClosed},
	{requestPending, inputCrashUnrecorded, requestFailed, (*Ledger).persistClosed},
	{requestInFlight, inputCrashUnrecorded, requestFailed, (*Ledger).persistClosed},
	{requestUnresolved, inputCrashUnrecorded, requestFailed, (*Ledger).persistClosed},
}

// transition applies an input to a request and tells whether a row matched.
func (l *Ledger) transition(k Key, r *request, input requestInput) bool {
	for i := range requestTransitions {
		t := &requestTransitions[i]
		if t.from != r.state || t.input != input {
			continue
		}
		r.state = t.to
		if t.effect != nil {
			t.effect(l, k, r)
		}
		return true
	}
	return false
}

func (l *Ledger) persistClosed(k Key, r *request) {
	r.updatedAt = l.now
	l.persistRequest(k, r)
}

// receive decides on a request that a client sent: it goes on, with what may have run under its idempotency key, or it is
// answered by what is on record, or no attempt of it may be sent now.
func (l *Ledger) receive(ev *Event) {
	if r := l.requests.Get(requestKey(ev.ID)); r != nil {
		l.answerFromRecord(r)
		return
	}
	index, class := l.class(ev.Class)
	if class == nil {
		l.emit(Effect{Kind: Admit})
		return
	}
	verdict, key := l.judgeRequest(ev, index, class)
	if l.answerFromKey(verdict, key) {
		return
	}
	admitted := Effect{Kind: Admit}
	if verdict == verdictRetry {
		l.counts.KeysRetried++
		admitted.Prior = l.priorAttempt(key)
	}
	if l.mustBlock(class, ev.IdempotencyKey, verdict) {
		l.counts.RequestsBlocked++
		admitted.Kind = AdmitBlocked
	}
	l.emit(admitted)
	l.retryBudget.countRequest(l.now)
	if admitted.Kind == Admit && l.requests.Len() < l.maxRecords { // without a record its outcome is unknown, and nothing of it can be lost
		l.addRequest(ev, index, class)
	}
}

// addRequest puts a request on record. Nobody waits for that: until an attempt is sent, nothing of it can be lost.
func (l *Ledger) addRequest(ev *Event, index int, class *requestClass) {
	k := requestKey(ev.ID)
	deadline := ev.Deadline + l.clockOffset
	r, _ := l.requests.Put(k, l.requestExpiry(class, deadline))
	*r = request{id: ev.ID, idempotencyKey: ev.IdempotencyKey, class: index, updatedAt: l.now, deadline: deadline}
	if class.mustPersist() {
		r.keyRecord = idempotencyRecordKey(ev.IdempotencyKey)
	}
	l.persistRequest(k, r)
}

// mustBlock tells whether no attempt of a request may be sent now: its record would not be durable or has no room, or records
// that may have told of its idempotency key are missing.
func (l *Ledger) mustBlock(class *requestClass, text string, verdict keyVerdict) bool {
	if !class.mustPersist() {
		return false
	}
	if l.disk == diskFailing && !l.skipDiskWait {
		return true
	}
	if max(l.requests.Len(), l.keys.Len()) >= l.maxRecords {
		return true
	}
	return text != "" && verdict == verdictNew && l.now < l.inDoubtUntil
}

// answerFromRecord answers a request whose id is on record.
func (l *Ledger) answerFromRecord(r *request) {
	l.counts.AnsweredFromRecord++
	answer := l.emit(Effect{Kind: AnswerFromRecord, Outcome: r.state.outcome(), AgeMS: l.now - r.updatedAt})
	switch answer.Outcome {
	case Succeeded:
		if k := l.keys.Get(r.keyRecord); k != nil {
			answer.Body = k.answer
		}
	case Rejected:
		answer.AfterMS = l.settings.RetryAfterMS
	}
}

// requestExpiry returns when a request is forgotten. An idempotent one is once nobody can ask under its id any more.
func (l *Ledger) requestExpiry(class *requestClass, deadline float64) int64 {
	until := deadline
	if class.mustPersist() {
		until += l.rememberMS
	}
	return clampMS(max(until, l.now+1))
}

// startAttempt puts an attempt on record. Unless its class is idempotent, it is held until the record is durable.
func (l *Ledger) startAttempt(ev *Event) {
	k := requestKey(ev.ID)
	r := l.requests.Get(k)
	if r == nil || ev.Attempt >= maxAttempts {
		return
	}
	class := &l.classes[r.class]
	if ev.Attempt > 0 {
		l.retryBudget.countRetry(l.now)
	}
	l.transition(k, r, inputAttemptStarted)
	r.inFlight |= 1 << ev.Attempt
	if !class.mustPersist() {
		return
	}
	if r.keyRecord != (Key{}) && !l.startKeyedAttempt(r, class, ev.Executor) {
		// Another request of the key went first, elsewhere or too long ago.
		r.inFlight &^= 1 << ev.Attempt
		l.transition(k, r, inputAttemptsNeverRan)
		l.emit(Effect{Kind: HoldAttempt, ID: r.id, Attempt: ev.Attempt})
		l.failAttempt(heldAttempt{id: r.id, attempt: ev.Attempt})
		return
	}
	l.persistRequest(k, r)
	if l.skipDiskWait {
		return
	}
	held := heldAttempt{token: l.sync(), id: r.id, attempt: ev.Attempt, since: l.now}
	l.emit(Effect{Kind: HoldAttempt, ID: r.id, Attempt: ev.Attempt, Token: held.token})
	l.held = append(l.held, held)
}

// endAttempt records the end of an attempt. One that is known not to have run no longer counts for its idempotency key.
func (l *Ledger) endAttempt(ev *Event) {
	k := requestKey(ev.ID)
	r := l.requests.Get(k)
	if r == nil || ev.Attempt >= maxAttempts || r.inFlight&(1<<ev.Attempt) == 0 {
		return
	}
	r.inFlight &^= 1 << ev.Attempt
	r.mayHaveRun = r.mayHaveRun || !ev.NeverRan
	if r.inFlight == 0 {
		input := inputAttemptsNeverRan
		if r.mayHaveRun {
			input = inputAttemptMayHaveRun
		}
		l.transition(k, r, input)
	}
	if !l.classes[r.class].mustPersist() {
		return
	}
	if ev.NeverRan {
		l.resolveKeyedAttempt(r.keyRecord)
	}
	if r.state.open() {
		l.persistRequest(k, r)
	}
}

var closingInputs = map[Outcome]requestInput{Succeeded: inputSucceeded, Rejected: inputRejected, Failed: inputFailed, Abandoned: inputAbandoned}

// closeRequest records the final answer of a request. It has been sent already: nobody waits for the record.
func (l *Ledger) closeRequest(ev *Event) {
	k := requestKey(ev.ID)
	r := l.requests.Get(k)
	input, closing := closingInputs[ev.Outcome]
	if r == nil || !closing || !l.transition(k, r, input) {
		return
	}
	if ev.Outcome == Succeeded {
		l.storeAnswer(r.keyRecord, ev.Body)
	}
}

func (l *Ledger) persistRequest(k Key, r *request) {
	class := &l.classes[r.class]
	w := l.newRecord(kindRequest)
	w.text(fieldID, r.id)
	w.text(fieldIdempotencyKey, r.idempotencyKey)
	w.text(fieldClass, class.name)
	w.number(fieldState, float64(r.state))
	w.number(fieldUntil, r.deadline)
	w.number(fieldInFlight, float64(r.inFlight))
	w.flag(fieldMayHaveRun, r.mayHaveRun)
	w.persist(k, l.requestExpiry(class, r.deadline))
}

func (l *Ledger) restoreRequest(ev *Event, d *decodedRecord) {
	index, class := l.class(d.text(fieldClass))
	if class == nil { // a class that is no more: nothing of it can come again
		return
	}
	r, _ := l.requests.Put(ev.Key, ev.Expires)
	*r = request{
		id:             d.text(fieldID),
		idempotencyKey: d.text(fieldIdempotencyKey),
		class:          index,
		state:          min(requestState(d.number(fieldState)), requestAbandoned),
		updatedAt:      d.number(fieldAt),
		deadline:       d.number(fieldUntil),
		inFlight:       uint8(d.number(fieldInFlight)),
		mayHaveRun:     d.number(fieldMayHaveRun) != 0,
	}
	if class.mustPersist() {
		r.keyRecord = idempotencyRecordKey(r.idempotencyKey)
	}
}
