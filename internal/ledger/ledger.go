// Package ledger decides what a controller must record to survive a crash, and recovers from the records: whether a
// request with a known idempotency key may be sent again and to which executors, how requests that were open at the
// crash end, how much of the retry budget is left, and which state the executors were in.
//
// Events with a time go in and effects come out. The package has no clock, does no I/O and starts no goroutine:
// records leave as Persist effects, which the caller passes to a store, and the result comes back as a RecordsStored
// event. The ledger does not choose executors, retry or shed load; the scheduler does, and receives the state from
// before the crash through RestoreState effects.
//
// All stored times are log time in ms: a clock that continues from one incarnation of the controller to the next and
// never goes back.
package ledger

import (
	"math"

	"liftshift/internal/index"
	"liftshift/scheduler"
)

// Key is the key of a record in the store.
type Key = index.Key

// Ledger holds the durable state of one controller.
type Ledger struct {
	settings         Settings
	classes          []requestClass
	longestWindowMS  float64 // within it a key may be repeated: the longest dedup window or deadline of a keyed class
	retentionMS      float64 // Settings.RetentionMS
	maxAnswerBytes   int
	maxRecords       int
	successorsResume bool // Settings.SuccessorsResume
	skipDiskWait     bool // Settings.SkipDiskWait

	now         float64 // log time of this step
	callerNow   float64 // the caller's clock at this step
	clockOffset float64 // log time minus the caller's clock
	effects     []Effect
	valueBuffer []byte // backs the values of this step's Persist effects

	requests    index.Table[request]
	keys        index.Table[idempotencyKey]
	openKeys    map[Key]int // number of open requests by the key of their idempotency key's record
	answerBytes int         // total size of the stored answers
	retryBudget retryBudget
	executors   map[uint32]*executorState
	viewsDueAt  float64 // log time
	estimates   []scheduler.Estimate
	estimatesAt float64        // log time of the last record of the estimates
	notes       []operatorNote // read at the start; nil once they have been restored

	incarnation       incarnation
	started           bool    // recovery is done
	executorsRestored bool    // the executor states from before the start have been passed to the scheduler
	inDoubtUntil      float64 // log time until which a key without a record may have run
	disk              diskHealth
	diskProbeAt       float64 // log time of the next trial write while the disk is failing
	lastToken         uint64  // token of the last Sync
	held              []heldAttempt
	counts            Counts
}

// Counts holds counters since the start of the ledger, and the current sizes of its tables.
type Counts struct {
	AttemptsHeldNow    uint64
	AttemptsHeld       uint64  // attempts that were held and then released
	AttemptsHeldMS     float64 // total time for which these attempts were held
	AttemptsFailed     uint64  // attempts that were not sent
	RequestsBlocked    uint64  // requests admitted with AdmitBlocked
	AnsweredFromRecord uint64  // requests answered without an attempt
	KeysRetried        uint64  // requests admitted as a retry of a known idempotency key
	ClosedAtStart      uint64  // requests that were open at the crash
	Requests, Keys     int
	DiskFailing        bool
	TailInDoubt        bool // keys without a record may have run
}

// New returns an empty ledger. Its first events must be a RecordRead for each record in the store and one RecoveryDone.
func New(settings Settings) *Ledger {
	l := &Ledger{settings: settings, executors: map[uint32]*executorState{}, openKeys: map[Key]int{}}
	l.applySettings(&settings)
	for _, c := range settings.Classes {
		class := requestClass{
			name: c.Name, idempotency: c.Idempotency, scope: c.DedupScope, windowMS: c.DedupWindowMS, deadlineMS: c.DeadlineMS,
		}
		l.classes = append(l.classes, class)
		if class.idempotency == scheduler.Keyed {
			l.longestWindowMS = max(l.longestWindowMS, class.windowMS, class.deadlineMS)
		}
	}
	l.retryBudget.windowMS = settings.RetryBudget.WindowMS
	return l
}

// Step handles one event at the time now of the caller's clock, in ms, and returns the effects to carry out. They are
// valid until the next call.
func (l *Ledger) Step(now float64, ev *Event) []Effect {
	l.effects, l.valueBuffer = l.effects[:0], l.valueBuffer[:0]
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

// emit adds an effect to this step and returns a pointer to it, which is valid until the next effect is added.
func (l *Ledger) emit(e Effect) *Effect {
	l.effects = append(l.effects, e)
	return &l.effects[len(l.effects)-1]
}

// sync emits a Sync for this step's records and returns its token.
func (l *Ledger) sync() uint64 {
	l.lastToken++
	l.emit(Effect{Kind: Sync, Token: l.lastToken})
	return l.lastToken
}

// tick fails attempts that were held too long, probes a failing disk, writes the periodic records that are due and
// drops expired requests and keys.
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

// expire drops the requests and idempotency keys whose retention is over.
func (l *Ledger) expire() {
	l.requests.Expire(int64(l.now), func(_ Key, req *request) {
		if req.state.open() {
			l.releaseOpenKey(req)
		}
	})
	l.keys.Expire(int64(l.now), func(_ Key, k *idempotencyKey) { l.answerBytes -= len(k.answer) })
}

// Counts returns a snapshot of the counters and sizes.
func (l *Ledger) Counts() Counts {
	c := l.counts
	c.AttemptsHeldNow = uint64(len(l.held))
	c.Requests, c.Keys = l.requests.Len(), l.keys.Len()
	c.DiskFailing = l.disk == diskFailing
	c.TailInDoubt = l.now < l.inDoubtUntil
	return c
}

// LogTime returns the log time at the time now of the caller's clock.
func (l *Ledger) LogTime(now float64) int64 { return int64(now + l.clockOffset) }

// clampMS converts a log time to an integer that a float64 represents exactly; NaN and negative times become 0.
func clampMS(ms float64) int64 {
	if ms < 0 || math.IsNaN(ms) {
		return 0
	}
	return int64(math.Min(ms, 1<<52))
}
