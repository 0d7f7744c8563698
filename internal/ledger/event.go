package ledger

import "liftshift/scheduler"

// EventKind identifies what an Event reports.
type EventKind uint8

// The kinds of events.
const (
	RecordRead       EventKind = iota // the store holds a record from before the start
	RecoveryDone                      // the store has been read to its end
	RequestReceived                   // a client sent a request
	AttemptStarting                   // an attempt is about to be sent
	AttemptEnded                      // an attempt has its outcome
	RequestClosed                     // a request got its final answer, or its client disconnected
	RecordsStored                     // a Sync succeeded or failed
	EndpointsUpdated                  // the endpoint list changed
	Ticked                            // time passed; sent every 100 ms
	OutcomeQueried                    // a client asks for the outcome of a request id or an idempotency key
	ShutdownFinished                  // a planned shutdown is complete
	SettingsChanged                   // new settings apply from now on
	// OperatorNoteSet says that an operator set a durable note: ID is its name, Body its content, and IdempotencyKey
	// its author. An empty Body deletes the note.
	OperatorNoteSet
)

// Event is one input of the ledger. Only the fields of its kind are set.
type Event struct {
	Kind EventKind

	// ID and IdempotencyKey are set for RequestReceived, AttemptStarting, AttemptEnded, RequestClosed, OutcomeQueried
	// and OperatorNoteSet.
	ID, IdempotencyKey string

	Class    string  // RequestReceived
	Deadline float64 // RequestReceived; by the caller's clock

	// Prior is set for RequestReceived: an attempt by another controller that may have run under the idempotency key.
	Prior scheduler.PriorAttempt

	Attempt  int    // AttemptStarting, AttemptEnded: its number within the request, from 0
	Executor uint32 // AttemptStarting
	Zone     string // AttemptStarting: of the executor, as the scheduler knew it when it chose the executor
	Cell     int64  // AttemptStarting: of the executor, likewise

	// LocationInDoubt applies to AttemptStarting: another process may get the attempt, which may run in another zone or
	// cell.
	LocationInDoubt bool

	NeverRan bool // AttemptEnded: the attempt is known not to have run

	Outcome Outcome // RequestClosed
	Body    []byte  // RequestClosed: the answer

	Key     Key    // RecordRead
	Expires int64  // RecordRead
	Value   []byte // RecordRead; nil: the record was deleted

	Clocks      Clocks // RecoveryDone
	TailInDoubt bool   // RecoveryDone: the last records may be missing

	Token uint64 // RecordsStored: the token of the Sync
	OK    bool   // RecordsStored: the Sync succeeded

	Settings *Settings // SettingsChanged

	ListVersion uint64 // EndpointsUpdated; 0: the list has no version
	Restored    bool   // EndpointsUpdated: the list is the one known at the start
	Complete    bool   // EndpointsUpdated: executors that are not listed are gone
	Endpoints   []scheduler.Endpoint

	ExecutorViews []scheduler.ExecutorView // Ticked, if WantsExecutorViews returned true
	Estimates     []scheduler.Estimate     // Ticked, if WantsExecutorViews returned true
}

// EffectKind identifies what an Effect asks for.
type EffectKind uint8

// The kinds of effects.
const (
	Persist          EffectKind = iota // store Value under Key until Expires
	Delete                             // delete the record under Key
	Sync                               // make the records of this step durable, then send RecordsStored with Token
	HoldAttempt                        // hold this attempt until ReleaseAttempt or FailAttempt
	ReleaseAttempt                     // send the attempt
	FailAttempt                        // do not send this attempt
	Admit                              // admit the request; Prior may have run under its idempotency key
	AdmitBlocked                       // admit the request, but send no attempt for it
	AnswerFromRecord                   // answer the request or the query with the recorded Outcome and Body
	RestoreState                       // pass SchedulerEvent, which holds state from before the start, to the scheduler
	LogMessage                         // log Text
	OperatorNote                       // restore an operator's note with the name ID, the author Text, Body and AgeMS
)

// Effect is one output of the ledger. The caller carries out the effects of a step in order. Slices in an Effect are
// valid until the next Step.
type Effect struct {
	Kind           EffectKind
	Key            Key
	Value          []byte
	Expires        int64 // log time; 0: never
	Token          uint64
	ID             string
	Attempt        int
	Prior          scheduler.PriorAttempt
	Outcome        Outcome
	Body           []byte  // the recorded answer; nil: it was not kept
	RetryAfterMS   float64 // AnswerFromRecord of a rejected request: when the client may retry; 0: unspecified
	AgeMS          float64 // time since the outcome was recorded, or since the note was set
	SchedulerEvent scheduler.Event
	Text           string
}
