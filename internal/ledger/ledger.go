// Package ledger decides what must be remembered through a crash and what follows from it: whether a mark may be sent
// again and where, what becomes of what was open, which ration is left, what executors are still held to. Events and a
// time go in, effects come out; it has no clock, no disk and no goroutine. What it wants remembered is an effect (Keep)
// that its user carries to a store, and hears of again (Stored). Which executor, whether to try again and what is
// turned away stays with the decision module; what that needs from before the crash leaves here as one event (Recall).
package ledger

import (
	"math"
	"slices"
	"strconv"

	"liftshift/internal/index"
	"liftshift/scheduler"
)

// Key names a record.
type Key = index.Key

// EventKind tells what an Event reports.
type EventKind uint8

// The events.
const (
	RecordRead       EventKind = iota // a record from before, at the start
	RecoveryDone                      // all has been read
	RequestReceived                   // a search came in
	AttemptStarting                   // a shot is about to leave
	AttemptEnded                      // a shot has its outcome
	RequestClosed                     // a search has its final answer, or its client left
	RecordsStored                     // what became of what was to be kept
	EndpointsUpdated                  // news of the list of executors
	Ticked                            // time went by: each 100 ms
	OutcomeQueried                    // what became of an id or a mark
	ShutdownFinished                  // the end of a planned stop
	SettingsChanged                   // other settings hold from now on
	OperatorNoteSet                   // an operator has set something that is to last: ID names it, Body says it, Mark is who
)

// Outcome is what became of a search.
type Outcome uint8

// The outcomes.
const (
	Unknown Outcome = iota
	Open
	Succeeded
	Rejected
	Failed
	Abandoned
)

var outcomeNames = [...]string{"unknown", "open", "handled", "denied", "written_off", "left"}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Event is one thing that the ledger is told. Only the fields of its kind are set.
type Event struct {
	Kind               EventKind
	ID, IdempotencyKey string // RequestReceived, AttemptStarting, AttemptEnded, RequestClosed, OutcomeQueried
	Class              string // RequestReceived
	Deadline           float64
	Prior              scheduler.PriorAttempt // RequestReceived: what may have run elsewhere under the mark
	Attempt            int
	Executor           uint32 // AttemptStarting
	NeverRan           bool   // AttemptEnded: it is known not to have run
	Outcome            Outcome
	Body               []byte // RequestClosed: the answer

	Key     Key // RecordRead
	Expires int64
	Value   []byte // nil: the record before has ended

	Clocks      Clocks // RecoveryDone
	TailInDoubt bool   // RecoveryDone: the last records may be missing

	Token uint64 // RecordsStored
	OK    bool

	Settings *Settings // SettingsChanged

	ListVersion uint64 // EndpointsUpdated: the version of the list; 0 where it tells none
	Restored    bool   // EndpointsUpdated: as known at the start
	Complete    bool
	Endpoints   []scheduler.Endpoint

	ExecutorViews []scheduler.ExecutorView // Ticked, where it is time for them
	Estimates     []scheduler.Estimate
}

// EffectKind tells what an Effect asks for.
type EffectKind uint8

// The effects.
const (
	Persist          EffectKind = iota // remember Value under Key until Expires
	Delete                             // end what is under Key
	Sync                               // what this step keeps must last, and Token is to be told
	HoldAttempt                        // this shot leaves only at Release
	ReleaseAttempt                     // Shot of ID leaves
	FailAttempt                        // Shot of ID must not leave, and no other may now
	Admit                              // the search may go on; Prior: what may have run under its mark
	AdmitBlocked                       // the same, but nothing may be sent for it
	AnswerFromRecord                   // the search is answered by what is on record
	RestoreState                       // Module is for the decision module
	LogMessage                         // Text is for the operators
	OperatorNote                       // what an operator had set: ID, Body, Text is who, AgeMS
)

// Effect is one thing that the ledger wants done, in the order given. Values hold until the next Step.
type Effect struct {
	Kind           EffectKind
	Key            Key
	Value          []byte
	Expires        int64
	Token          uint64
	ID             string
	Attempt        int
	Prior          scheduler.PriorAttempt
	Outcome        Outcome
	Body           []byte // of an answer on record; nil: it was not kept
	AfterMS        float64
	AgeMS          float64 // since the outcome
	SchedulerEvent scheduler.Event
	Text           string
}

const (
	sureHoldMS  = 300    // ms that a shot is held for the disk at most: less than any grace after a drain is told
	trialMS     = 250    // ms between trials of a disk that failed
	lifeEveryMS = 1000   // ms between records of the time: what is lost of it at a crash counts as gone by
	bookMS      = 1000   // ms between looks at what the module believes
	learntMS    = 5000   // ms between records of what was learnt
	rationMS    = 100    // ms of one slot of the ration
	trustMS     = 600000 // ms that what is known of an executor is kept without being told again
	trustAgain  = 0.5    // part of that after which it is told again
	usualMemory = 600000 // ms that a mark is kept past its window, where nothing else is given
	usualAnswer = 4096   // bytes of an answer that are kept with its mark, where nothing else is given
	mostAnswers = 16e6   // bytes of all answers that are kept; past it they are not: a second memory of the answers is no aim
	usualKept   = 200000 // marks, and searches, that are kept at most: some 30 MB each
	coldStepMS  = 100    // ms by which the end of a cold start must have moved to be worth a record
)

// offering is what the settings say of one offering.
type offering struct {
	name          string
	effect        scheduler.Effect
	scope         scheduler.DedupScope
	window, limit float64
}

func (o *offering) recorded() bool { return o.effect != scheduler.Idempotent }

// health is the state of what keeps.
type health uint8

const (
	sound health = iota
	sick         // the last record was not kept, or not in time
)

// Ledger is one controller's memory.
type Ledger struct {
	settings   Settings
	offerings  []offering
	longest    float64 // for which a mark may come again: the longest window or hard limit of a labelled offering
	remember   float64
	keepAnswer int
	mostKept   int
	inherited  bool // what is open at a crash is others' to end
	atOnce     bool // shots do not wait for this disk: others keep them
	bodies     int  // bytes of answers kept

	now    float64 // log time: goes on from life to life and never back
	desk   float64 // clock of the caller, as of this step
	offset float64 // log time less the caller's clock
	out    []Effect
	buf    []byte

	searches index.Table[search]
	marks    index.Table[mark]
	ration   ration
	trusts   map[uint32]*trust
	learnt   []scheduler.Estimate
	notes    []note
	learntAt float64
	bookAt   float64

	life       life
	begun      bool
	recalled   bool    // the module has been told what was held of executors
	doubtUntil float64 // marks that are not known may have run until then
	health     health
	trialAt    float64
	token      uint64
	held       []held
	counts     Counts
}

// held is a shot that waits for its record.
type held struct {
	token uint64
	id    string
	shot  int
	since float64
}

// Counts are what the ledger counts, since its start.
type Counts struct {
	HeldNow, Held, Refused, Blocked, AnsweredFromRecord, Again, Closed uint64
	HeldMS                                                             float64
	Requests, Keys                                                     int
	DiskFailing, TailInDoubt                                           bool
}

// New returns an empty ledger.
func New(settings Settings) *Ledger {
	l := &Ledger{settings: settings, trusts: map[uint32]*trust{}}
	l.heed(&settings)
	for _, c := range settings.Classes {
		o := offering{name: c.Name, effect: c.Effect, scope: c.DedupScope, window: c.DedupWindowMS, limit: c.DeadlineMS}
		if l.offerings = append(l.offerings, o); o.effect == scheduler.Keyed {
			l.longest = max(l.longest, o.window, o.limit)
		}
	}
	l.ration.span = settings.RetryBudget.WindowMS
	return l
}

// heed takes over what may change while it runs. What is kept already is kept for as long as was said then.
func (l *Ledger) heed(s *Settings) {
	l.remember = s.RememberMS
	l.keepAnswer = s.MaxAnswerBytes
	l.mostKept = s.MaxRecords
	l.inherited, l.atOnce = s.SuccessorsResume, s.SkipDiskWait
}

// Step takes one event at the caller's clock in ms. The effects hold until the next call.
func (l *Ledger) Step(now float64, ev *Event) []Effect {
	l.out, l.buf = l.out[:0], l.buf[:0]
	if l.begun {
		l.desk = max(l.desk, now)
		l.now = l.desk + l.offset
	}
	switch ev.Kind {
	case RecordRead:
		l.read(ev)
	case RecoveryDone:
		l.begin(now, ev)
	case RequestReceived:
		l.take(ev)
	case AttemptStarting:
		l.fire(ev)
	case AttemptEnded:
		l.shotEnded(ev)
	case RequestClosed:
		l.close(ev)
	case RecordsStored:
		l.stored(ev)
	case EndpointsUpdated:
		l.list(ev)
	case Ticked:
		l.tick(ev)
	case OutcomeQueried:
		l.ask(ev)
	case SettingsChanged:
		l.heed(ev.Settings)
	case OperatorNoteSet:
		l.keepNote(ev)
	case ShutdownFinished:
		l.life.clean = true
		l.keepLife()
		l.keepRation()
		l.sync()
	}
	return l.out
}

func (l *Ledger) do(e Effect) *Effect {
	l.out = append(l.out, e)
	return &l.out[len(l.out)-1]
}

// sync asks for what this step keeps to last, and gives the token under which that will be told.
func (l *Ledger) sync() uint64 {
	l.token++
	l.do(Effect{Kind: Sync, Token: l.token})
	return l.token
}

// Counts gives the counters.
func (l *Ledger) Counts() Counts {
	c := l.counts
	c.HeldNow, c.Requests, c.Keys = uint64(len(l.held)), l.searches.Len(), l.marks.Len()
	c.DiskFailing, c.TailInDoubt = l.health == sick, l.now < l.doubtUntil
	return c
}

func (l *Ledger) offering(name string) (int, *offering) {
	for k := range l.offerings {
		if l.offerings[k].name == name {
			return k, &l.offerings[k]
		}
	}
	return -1, nil
}

// read takes a record from before. What can't be read by this program is left alone: it goes by itself.
func (l *Ledger) read(ev *Event) {
	if ev.Value == nil {
		l.searches.Delete(ev.Key)
		l.marks.Delete(ev.Key)
		l.notes = slices.DeleteFunc(l.notes, func(n note) bool { return n.key == ev.Key })
		return
	}
	r, ok := readRecord(ev.Value)
	if !ok {
		return
	}
	switch r.kind {
	case searchRecord:
		l.readSearch(ev, r)
	case markRecord:
		l.readMark(ev, r)
	case rationRecord:
		l.ration.read(r)
	case trustRecord:
		l.readTrust(r)
	case lifeRecord:
		l.life.read(r)
		l.doubtUntil = max(l.doubtUntil, r.num(fieldDoubt))
	case learntRecord:
		l.learnt = r.figures
	case noteRecord:
		l.notes = append(l.notes, note{ev.Key, r.text(fieldID), r.text(fieldMark), append([]byte{}, r.texts[fieldBody]...), r.num(fieldAt)})
	}
	l.now = max(l.now, r.num(fieldAt))
}

// begin ends what the crash left open and hands the module what it needs from before.
func (l *Ledger) begin(now float64, ev *Event) {
	gone := l.life.since(l.now, ev.Clocks)
	last := l.now
	if l.life.at == 0 { // the first life: log time begins as the caller's clock
		last, gone = now, Interval{}
	}
	l.begun, l.desk, l.now = true, now, last+gone.Min
	l.offset = l.now - now
	l.lapse()
	if ev.TailInDoubt {
		l.doubtUntil = max(l.doubtUntil, l.now+l.longest)
	}
	if l.now < l.doubtUntil {
		l.do(Effect{Kind: LogMessage, Text: "the end of the log is in doubt: marks that are not known are denied for " +
			strconv.Itoa(int((l.doubtUntil-l.now)/1000+1)) + " s"})
	}
	closed := l.crashed(ev.TailInDoubt)
	l.ageMarks(gone)
	recall := scheduler.Event{Kind: scheduler.StateRestored, Estimates: l.learnt}
	l.ration.recall(l, &recall, gone, !l.life.clean)
	clean := l.life.clean || l.life.at == 0
	l.life = life{at: l.now, moment: ev.Clocks}
	l.keepLife()
	l.sync()
	l.do(Effect{Kind: RestoreState, SchedulerEvent: recall})
	l.recallNotes()
	if !clean || closed > 0 {
		l.do(Effect{Kind: LogMessage, Text: "ended without a planned stop; " + strconv.Itoa(closed) + " searches were open and are closed"})
	}
}

// stored hears what became of a record: shots that waited for it leave, or must not.
func (l *Ledger) stored(ev *Event) {
	in := lost
	if ev.OK {
		in = kept
	}
	l.turn(in)
	rest := l.held[:0]
	for _, h := range l.held {
		switch {
		case h.token != ev.Token:
			rest = append(rest, h)
		case ev.OK:
			l.counts.Held++
			l.counts.HeldMS += l.now - h.since
			l.do(Effect{Kind: ReleaseAttempt, ID: h.id, Attempt: h.shot})
		default:
			l.refuse(h)
		}
	}
	l.held = rest
}

func (l *Ledger) refuse(h held) {
	l.counts.Refused++
	l.do(Effect{Kind: FailAttempt, ID: h.id, Attempt: h.shot})
}

// tick looks at what waits for the disk, writes what is due and lets go what has lapsed.
func (l *Ledger) tick(ev *Event) {
	if len(l.held) > 0 && l.now-l.held[0].since > sureHoldMS {
		l.turn(slow)
		for len(l.held) > 0 && l.now-l.held[0].since > sureHoldMS {
			l.refuse(l.held[0])
			l.held = l.held[:copy(l.held, l.held[1:])]
		}
	}
	if l.health == sick && l.now >= l.trialAt {
		l.trialAt = l.now + trialMS
		l.keepLife()
		l.sync()
	} else if l.now >= l.life.told+lifeEveryMS {
		l.keepLife()
	}
	if l.ration.dirty {
		l.keepRation()
	}
	if ev.ExecutorViews != nil {
		l.believe(ev.ExecutorViews)
	}
	if len(ev.Estimates) > 0 && l.now >= l.learntAt+learntMS {
		l.learntAt, l.learnt = l.now, append(l.learnt[:0], ev.Estimates...)
		l.keepLearnt()
	}
	l.lapse()
}

// lapse lets go what nobody can ask for any more.
func (l *Ledger) lapse() {
	l.searches.Expire(int64(l.now), nil)
	l.marks.Expire(int64(l.now), func(_ Key, m *mark) { l.bodies -= len(m.body) })
}

// LogTime is the time that records bear, at the caller's clock.
func (l *Ledger) LogTime(now float64) int64 { return int64(now + l.offset) }

// WantsExecutorViews tells whether it is time to be told what the module believes and has learnt.
func (l *Ledger) WantsExecutorViews(now float64) bool {
	due := now+l.offset >= l.bookAt
	if due {
		l.bookAt = now + l.offset + bookMS
	}
	return due
}

// ask tells what became of an id or, without one, of a mark.
func (l *Ledger) ask(ev *Event) {
	e := l.do(Effect{Kind: AnswerFromRecord, ID: ev.ID})
	k := markKey(ev.IdempotencyKey)
	if ev.ID != "" {
		s := l.searches.Get(searchKey(ev.ID))
		if s == nil {
			e.Outcome = l.unknown()
			return
		}
		e.Outcome, e.AgeMS, k = s.state.outcome(), l.now-s.at, s.mark
		if e.Outcome != Succeeded {
			return
		}
	} else if ev.IdempotencyKey == "" {
		return
	}
	if m := l.marks.Get(k); m != nil {
		if ev.ID == "" {
			e.Outcome, e.AgeMS = m.outcome(), l.now-m.last
			if m.standing() == clear && l.unknown() != Unknown {
				e.Outcome = l.unknown()
			}
		}
		e.Body = m.body
	} else if ev.ID == "" {
		e.Outcome = l.unknown()
	}
}

// unknown is what is told of what is not on record. Where records may be missing, it may have been: then it is written
// off, which promises nothing.
func (l *Ledger) unknown() Outcome {
	if l.doubtUntil > 0 && l.now < l.doubtUntil+l.remember {
		return Failed
	}
	return Unknown
}

func clampMS(ms float64) int64 {
	if ms < 0 || math.IsNaN(ms) {
		return 0
	}
	return int64(math.Min(ms, 1<<52))
}
