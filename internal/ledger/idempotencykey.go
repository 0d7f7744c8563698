package ledger

import (
	"math"

	"liftshift/scheduler"
)

// idempotencyKey is what is remembered of an idempotency key.
type idempotencyKey struct {
	text       string
	firstAt    float64 // log time of the first attempt that may have run; far in the past where its age is not known
	lastAt     float64
	executor   uint32
	zone       string
	cell       int64
	class      int // index in Ledger.classes
	unresolved int // attempts that may have run, or are in flight
	succeeded  bool
	answer     []byte // nil: it was too long to be kept
}

// idempotencyRecordKey returns the key of the record of an idempotency key, zero for none.
func idempotencyRecordKey(text string) Key {
	if text == "" {
		return Key{}
	}
	return recordKey('m', text)
}

// keyState is what became of an idempotency key.
type keyState uint8

const (
	keyUnused    keyState = iota // no attempt of it can have run
	keyInDoubt                   // one may have run
	keyAnswered                  // it succeeded, and the answer is on record
	keySucceeded                 // it succeeded, and the answer was not kept
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
	return [...]Outcome{keyUnused: Rejected, keyInDoubt: Failed, keyAnswered: Succeeded, keySucceeded: Succeeded}[k.state()]
}

// keyVerdict is what becomes of a request whose idempotency key is on record.
type keyVerdict uint8

const (
	verdictNew          keyVerdict = iota // it goes on like any other
	verdictRetry                          // it goes where its repeat is dropped
	verdictReplayAnswer                   // it gets the answer on record
	verdictSucceeded                      // it succeeded, and its answer is gone
	verdictFailed                         // it may have run, and no executor drops repeats of it any more
)

// keyVerdicts tells whether a key may be sent. Within the window, the executors of its dedup scope drop repeats.
var keyVerdicts = []struct {
	state        keyState
	withinWindow bool
	verdict      keyVerdict
}{
	{keyUnused, true, verdictNew},
	{keyUnused, false, verdictNew},
	{keyInDoubt, true, verdictRetry},
	{keyInDoubt, false, verdictFailed},
	{keyAnswered, true, verdictReplayAnswer},
	{keyAnswered, false, verdictReplayAnswer},
	{keySucceeded, true, verdictRetry},
	{keySucceeded, false, verdictSucceeded},
}

func judgeKey(state keyState, withinWindow bool) keyVerdict {
	for _, v := range keyVerdicts {
		if v.state == state && v.withinWindow == withinWindow {
			return v.verdict
		}
	}
	return verdictFailed
}

// judgeRequest returns the verdict on a request, and its idempotency key where that is on record.
func (l *Ledger) judgeRequest(ev *Event, index int, class *requestClass) (keyVerdict, *idempotencyKey) {
	if ev.IdempotencyKey == "" || !class.mustPersist() {
		return verdictNew, nil
	}
	l.importPrior(ev, index, class)
	k := l.keys.Get(idempotencyRecordKey(ev.IdempotencyKey))
	if k == nil {
		return verdictNew, nil
	}
	return judgeKey(k.state(), l.withinWindow(k)), k
}

// answerFromKey answers a request by what its idempotency key came to, where the verdict says so.
func (l *Ledger) answerFromKey(verdict keyVerdict, k *idempotencyKey) bool {
	answer := Effect{Kind: AnswerFromRecord}
	switch verdict {
	case verdictReplayAnswer:
		answer.Outcome, answer.Body = Succeeded, k.answer
	case verdictSucceeded:
		answer.Outcome = Succeeded
	case verdictFailed:
		answer.Outcome = Failed
	default:
		return false
	}
	l.counts.AnsweredFromRecord++
	answer.AgeMS = l.now - k.lastAt
	l.emit(answer)
	return true
}

// withinWindow tells whether executors surely still drop repeats of a key.
func (l *Ledger) withinWindow(k *idempotencyKey) bool {
	return l.now <= k.firstAt+l.classes[k.class].windowMS
}

// priorAttempt returns the first attempt that may have run under a key, by the caller's clock. A time of zero would mean none.
func (l *Ledger) priorAttempt(k *idempotencyKey) scheduler.PriorAttempt {
	prior := scheduler.PriorAttempt{At: k.firstAt - l.clockOffset, Zone: k.zone, Cell: k.cell}
	if math.IsInf(k.firstAt, 0) || prior.At == 0 {
		prior.At = -math.MaxFloat64
	}
	return prior
}

// importPrior records an attempt that may have run elsewhere under a key. The key is as old here as there.
func (l *Ledger) importPrior(ev *Event, index int, class *requestClass) {
	if ev.Prior.At == 0 {
		return
	}
	firstAt := ev.Prior.At + l.clockOffset
	storeKey := idempotencyRecordKey(ev.IdempotencyKey)
	if known := l.keys.Get(storeKey); known != nil && known.state() != keyUnused && known.firstAt <= firstAt {
		return
	}
	k, _ := l.keys.Put(storeKey, clampMS(l.now+class.windowMS+l.rememberMS))
	l.answerBytes -= len(k.answer)
	*k = idempotencyKey{text: ev.IdempotencyKey, class: index, firstAt: firstAt, lastAt: l.now, zone: ev.Prior.Zone, cell: ev.Prior.Cell,
		unresolved: 1}
	l.persistKey(storeKey, k)
}

// startKeyedAttempt records an attempt under the idempotency key of a request. It returns false where it must not be sent.
func (l *Ledger) startKeyedAttempt(r *request, class *requestClass, executor uint32) bool {
	if k := l.keys.Get(r.keyRecord); k != nil && !l.mayReach(class, k, executor) {
		return false
	}
	k, _ := l.keys.Put(r.keyRecord, clampMS(l.now+class.windowMS+l.rememberMS))
	if k.unresolved == 0 && !k.succeeded {
		k.firstAt = l.now
	}
	k.text, k.class = r.idempotencyKey, r.class
	k.lastAt = l.now
	k.unresolved++
	k.executor = executor
	if x := l.executors[executor]; x != nil {
		k.zone, k.cell = x.zone, x.cell
	}
	l.persistKey(r.keyRecord, k)
	return true
}

// mayReach tells whether an attempt of a key may go to an executor: where the key may have run, only to those that drop its
// repeats, and only while they do. The scheduler keeps to this for what it knows; two requests of one key may have been received
// before either was sent.
func (l *Ledger) mayReach(class *requestClass, k *idempotencyKey, executor uint32) bool {
	if k.state() == keyUnused {
		return true
	}
	if !l.withinWindow(k) {
		return false
	}
	x := l.executors[executor]
	if x == nil {
		return true
	}
	switch class.scope {
	case scheduler.DedupZone:
		return x.zone == k.zone
	case scheduler.DedupCell:
		return x.cell == k.cell
	default:
		return true
	}
}

// resolveKeyedAttempt takes back an attempt that is known not to have run.
func (l *Ledger) resolveKeyedAttempt(storeKey Key) {
	if k := l.keys.Get(storeKey); k != nil && k.unresolved > 0 {
		k.unresolved--
		l.persistKey(storeKey, k)
	}
}

// storeAnswer records that a key succeeded, with the answer where there is room for it.
func (l *Ledger) storeAnswer(storeKey Key, body []byte) {
	k := l.keys.Get(storeKey)
	if k == nil {
		return
	}
	l.answerBytes -= len(k.answer)
	k.succeeded = true
	k.answer = nil
	k.lastAt = l.now
	if len(body) <= l.maxAnswerBytes && l.answerBytes+len(body) <= maxTotalAnswerBytes {
		k.answer = append([]byte{}, body...)
		l.answerBytes += len(k.answer)
	}
	l.persistKey(storeKey, k)
}

// ageKeys makes keys as old as they can be after a restart whose duration is not known. What decides how long they are kept is as
// young as it can be.
func (l *Ledger) ageKeys(elapsed interval) {
	if elapsed.max <= elapsed.min {
		return
	}
	for place := range l.keys.Places() {
		storeKey, _, k := l.keys.Next(place)
		if k != nil && k.state() != keyUnused {
			k.firstAt -= elapsed.max - elapsed.min
			l.persistKey(storeKey, k)
		}
	}
}

func (l *Ledger) persistKey(storeKey Key, k *idempotencyKey) {
	class := &l.classes[k.class]
	w := l.newRecord(kindIdempotencyKey)
	w.text(fieldIdempotencyKey, k.text)
	w.text(fieldClass, class.name)
	w.number(fieldFirstAttempt, k.firstAt)
	w.number(fieldUntil, k.lastAt)
	w.number(fieldExecutor, float64(k.executor))
	w.text(fieldZone, k.zone)
	w.number(fieldCell, float64(k.cell))
	w.number(fieldUnresolved, float64(k.unresolved))
	w.flag(fieldMayHaveRun, k.succeeded)
	w.flag(fieldHasBody, k.answer != nil)
	w.bytes(fieldBody, k.answer)
	w.persist(storeKey, clampMS(k.lastAt+class.windowMS+l.rememberMS))
}

func (l *Ledger) restoreKey(ev *Event, d *decodedRecord) {
	index, class := l.class(d.text(fieldClass))
	if class == nil {
		return
	}
	k, _ := l.keys.Put(ev.Key, ev.Expires)
	l.answerBytes -= len(k.answer)
	*k = idempotencyKey{
		text:       d.text(fieldIdempotencyKey),
		class:      index,
		firstAt:    d.number(fieldFirstAttempt),
		lastAt:     d.number(fieldUntil),
		executor:   uint32(d.number(fieldExecutor)),
		zone:       d.text(fieldZone),
		cell:       int64(d.number(fieldCell)),
		unresolved: int(d.number(fieldUnresolved)),
		succeeded:  d.number(fieldMayHaveRun) != 0,
	}
	if d.number(fieldHasBody) != 0 {
		k.answer = append([]byte{}, d.texts[fieldBody]...)
		l.answerBytes += len(k.answer)
	}
}
