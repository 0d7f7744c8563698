// Package ledger decides what a controller must remember through a crash and what follows from it: whether a request whose
// idempotency key is known may be sent again and where, how requests that were open at a crash end, how much of the retry
// budget is left, and in which state the executors were.
//
// Events with a time go in and effects come out. The package has no clock, no disk and no goroutine: what must be remembered
// leaves as Persist effects, which the caller carries to a store, and RecordsStored reports what became of it. The ledger
// chooses no executor, decides on no retry and sheds no load; the scheduler does, and learns through RestoreState effects what
// held before the crash.
//
// All stored times are log time, in ms: a clock that goes on from one incarnation of the controller to the next and never back.
package ledger

import (
	"math"

	"liftshift/internal/index"
	"liftshift/scheduler"
)

// Key names a record in the store.
type Key = index.Key

// Ledger is the durable memory of one controller.
type Ledger struct {
	settings         Settings
	classes          []requestClass
	longestWindowMS  float64 // within which a key may come again: the longest window or deadline of a keyed class
	rememberMS       float64
	maxAnswerBytes   int
	maxRecords       int
	successorsResume bool // other controllers end what is open at a crash
	skipDiskWait     bool // attempts do not wait for this disk, as other controllers keep copies

	now         float64 // log time of this step
	callerNow   float64 // the caller's clock at this step
	clockOffset float64 // log time less the caller's clock
	effects     []Effect
	buf         []byte // values of this step's Persist effects

	requests    index.Table[request]
	keys        index.Table[idempotencyKey]
	answerBytes int // of all stored answers
	retryBudget retryBudget
	executors   map[uint32]*executorState
	viewsDueAt  float64
	estimates   []scheduler.Estimate
	estimatesAt float64
	notes       []operatorNote // those read at the start, until they are handed over

	incarnation       incarnation
	started           bool    // recovery is done
	executorsRestored bool    // the scheduler has the states of executors from before the start
	inDoubtUntil      float64 // until then a key that is not on record may have run
	disk              diskHealth
	diskProbeAt       float64
	lastToken         uint64
	held              []heldAttempt
	counts            Counts
}

// Counts are counters since the start of the ledger, and the sizes of what it holds now.
type Counts struct {
	AttemptsHeldNow    uint64
	AttemptsHeld       uint64 // attempts that were held and then released
	AttemptsHeldMS     float64
	AttemptsFailed     uint64 // attempts that were not sent
	RequestsBlocked    uint64
	AnsweredFromRecord uint64
	KeysRetried        uint64 // requests admitted as a retry of a known idempotency key
	ClosedAtStart      uint64 // requests that were open at the crash
	Requests, Keys     int
	DiskFailing        bool
	TailInDoubt        bool
}

// New returns an empty ledger.
func New(settings Settings) *Ledger {
	l := &Ledger{settings: settings, executors: map[uint32]*executorState{}}
	l.applySettings(&settings)
	for _, c := range settings.Classes {
		class := requestClass{name: c.Name, effect: c.Idempotency, scope: c.DedupScope, windowMS: c.DedupWindowMS, deadlineMS: c.DeadlineMS}
		l.classes = append(l.classes, class)
		if class.effect == scheduler.Keyed {
			l.longestWindowMS = max(l.longestWindowMS, class.windowMS, class.deadlineMS)
		}
	}
	l.retryBudget.windowMS = settings.RetryBudget.WindowMS
	return l
}

// Step takes one event at the caller's clock in ms. The effects are valid until the next call.
func (l *Ledger) Step(now float64, ev *Event) []Effect {
	l.effects, l.buf = l.effects[:0], l.buf[:0]
	if l.started {
		l.callerNow = max(l.callerNow, now)
		l.now = l.callerNow + l.clockOffset
	}
	switch ev.Kind {
	case RecordRead:
		l.restoreRecord(ev)
	case RecoveryDone:
		l.finishRecovery(now, ev)
	case RequestReceived:
		l.receive(ev)
	case AttemptStarting:
		l.startAttempt(ev)
	case AttemptEnded:
		l.endAttempt(ev)
	case RequestClosed:
		l.closeRequest(ev)
	case RecordsStored:
		l.recordsStored(ev)
	case EndpointsUpdated:
		l.updateEndpoints(ev)
	case Ticked:
		l.tick(ev)
	case OutcomeQueried:
		l.queryOutcome(ev)
	case SettingsChanged:
		l.applySettings(ev.Settings)
	case OperatorNoteSet:
		l.persistNote(ev)
	case ShutdownFinished:
		l.incarnation.clean = true
		l.persistIncarnation()
		l.persistRetryBudget()
		l.sync()
	}
	return l.effects
}

// emit adds an effect to those of this step. The pointer is valid until the next effect.
func (l *Ledger) emit(e Effect) *Effect {
	l.effects = append(l.effects, e)
	return &l.effects[len(l.effects)-1]
}

// sync asks for this step's records to be made durable and returns the token under which that will be reported.
func (l *Ledger) sync() uint64 {
	l.lastToken++
	l.emit(Effect{Kind: Sync, Token: l.lastToken})
	return l.lastToken
}

// tick fails attempts that were held too long, writes what is due and drops what has expired.
func (l *Ledger) tick(ev *Event) {
	l.failOverdueAttempts()
	switch {
	case l.disk == diskFailing && l.now >= l.diskProbeAt:
		l.diskProbeAt = l.now + diskProbeIntervalMS
		l.persistIncarnation()
		l.sync()
	case l.now >= l.incarnation.persistedAt+incarnationIntervalMS:
		l.persistIncarnation()
	}
	if l.retryBudget.dirty {
		l.persistRetryBudget()
	}
	if ev.ExecutorViews != nil {
		l.persistViews(ev.ExecutorViews)
	}
	if len(ev.Estimates) > 0 && l.now >= l.estimatesAt+estimatesIntervalMS {
		l.estimatesAt = l.now
		l.estimates = append(l.estimates[:0], ev.Estimates...)
		l.persistEstimates()
	}
	l.expire()
}

// expire drops what nobody can ask for any more.
func (l *Ledger) expire() {
	l.requests.Expire(int64(l.now), nil)
	l.keys.Expire(int64(l.now), func(_ Key, k *idempotencyKey) { l.answerBytes -= len(k.answer) })
}

// Counts returns the counters.
func (l *Ledger) Counts() Counts {
	c := l.counts
	c.AttemptsHeldNow = uint64(len(l.held))
	c.Requests, c.Keys = l.requests.Len(), l.keys.Len()
	c.DiskFailing = l.disk == diskFailing
	c.TailInDoubt = l.now < l.inDoubtUntil
	return c
}

// LogTime returns the time that records bear at the caller's clock.
func (l *Ledger) LogTime(now float64) int64 { return int64(now + l.clockOffset) }

func clampMS(ms float64) int64 {
	if ms < 0 || math.IsNaN(ms) {
		return 0
	}
	return int64(math.Min(ms, 1<<52))
}
