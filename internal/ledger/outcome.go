package ledger

// Outcome tells how a request or an idempotency key has ended.
type Outcome uint8

// The outcomes of a request.
const (
	Unknown   Outcome = iota // not recorded
	Open                     // no final answer yet
	Succeeded                // an attempt succeeded
	Rejected                 // the controller rejected the request; the client may send it again
	Failed                   // the request did not succeed; an attempt may have run
	Abandoned                // the client disconnected
)

// outcomeNames are part of the protocols between client and controller and between controllers, so they never change.
var outcomeNames = [...]string{
	Unknown: "unknown", Open: "open", Succeeded: "handled", Rejected: "denied", Failed: "written_off", Abandoned: "left",
}

// String returns the name of the outcome in the client protocol.
func (o Outcome) String() string { return outcomeNames[o] }

// queryOutcome answers a query for the outcome of a request id or, if that is empty, of an idempotency key.
func (l *Ledger) queryOutcome(ev *Event) {
	answer := l.emit(Effect{Kind: AnswerFromRecord, ID: ev.ID})
	switch {
	case ev.ID != "":
		l.requestOutcome(ev.ID, answer)
	case ev.IdempotencyKey != "":
		l.keyOutcome(ev.IdempotencyKey, answer)
	}
}

func (l *Ledger) requestOutcome(id string, answer *Effect) {
	req := l.requests.Get(requestKey(id))
	if req == nil {
		answer.Outcome = l.unknownOutcome()
		return
	}
	answer.Outcome, answer.AgeMS = req.state.outcome(), l.now-req.updatedAt
	if answer.Outcome != Succeeded {
		return
	}
	if key := l.keys.Get(req.keyRecord); key != nil {
		answer.Body = key.answer
	}
}

// keyOutcome answers a query for the outcome of an idempotency key. Its attempts tell nothing final while a request with it
// is open, unless one has succeeded.
func (l *Ledger) keyOutcome(text string, answer *Effect) {
	recordKey := idempotencyRecordKey(text)
	key := l.keys.Get(recordKey)
	if l.openKeys[recordKey] > 0 && (key == nil || !key.succeeded) {
		answer.Outcome = Open
		return
	}
	if key == nil {
		answer.Outcome = l.unknownOutcome()
		return
	}
	answer.Outcome, answer.AgeMS, answer.Body = key.outcome(), l.now-key.lastAt, key.answer
	if key.state() == keyUnused && l.unknownOutcome() != Unknown {
		answer.Outcome = l.unknownOutcome()
	}
}

// unknownOutcome returns the outcome of a request or key without a record. As long as records may be missing it is
// Failed, because an attempt may have run.
func (l *Ledger) unknownOutcome() Outcome {
	if l.inDoubtUntil > 0 && l.now < l.inDoubtUntil+l.retentionMS {
		return Failed
	}
	return Unknown
}
