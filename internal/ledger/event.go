package ledger

import "liftshift/scheduler"

// EventKind tells what an Event reports.
type EventKind uint8

// The kinds of events.
const (
	RecordRead       EventKind = iota // the store holds a record from before the start
	RecoveryDone                      // the store has been read to its end
	RequestReceived                   // a client sent a request
	AttemptStarting                   // an attempt is about to be sent
	AttemptEnded                      // an attempt has its outcome
	RequestClosed                     // a request has its final answer, or its client left
	RecordsStored                     // the store reports what became of a Sync
	EndpointsUpdated                  // the endpoint list changed
	Ticked                            // time passed; sent every 100 ms
	OutcomeQueried                    // a client asks what became of a request id or an idempotency key
	ShutdownFinished                  // a planned shutdown is complete
	SettingsChanged                   // new settings hold from now on
	OperatorNoteSet                   // an operator set something durable: ID names it, Body holds it, IdempotencyKey is its author
)

// Event is one thing that the ledger learns. Only the fields of its kind are set.
type Event struct {
	Kind               EventKind
	ID, IdempotencyKey string // RequestReceived, AttemptStarting, AttemptEnded, RequestClosed, OutcomeQueried, OperatorNoteSet
	Class              string // RequestReceived
	Deadline           float64
	Prior              scheduler.PriorAttempt // RequestReceived: an attempt elsewhere that may have run under the idempotency key
	Attempt            int
	Executor           uint32 // AttemptStarting
	NeverRan           bool   // AttemptEnded: the attempt is known not to have run
	Outcome            Outcome
	Body               []byte // RequestClosed: the answer

	Key     Key // RecordRead
	Expires int64
	Value   []byte // nil: the record was deleted

	Clocks      Clocks // RecoveryDone
	TailInDoubt bool   // RecoveryDone: the last records may be missing

	Token uint64 // RecordsStored
	OK    bool

	Settings *Settings // SettingsChanged

	ListVersion uint64 // EndpointsUpdated; 0 where the list has no version
	Restored    bool   // EndpointsUpdated: the list is the one known at the start
	Complete    bool
	Endpoints   []scheduler.Endpoint

	ExecutorViews []scheduler.ExecutorView // Ticked, where WantsExecutorViews asked for them
	Estimates     []scheduler.Estimate
}

// EffectKind tells what an Effect asks for.
type EffectKind uint8

// The kinds of effects.
const (
	Persist          EffectKind = iota // store Value under Key until Expires
	Delete                             // delete the record under Key
	Sync                               // make the records of this step durable and report Token
	HoldAttempt                        // hold this attempt until ReleaseAttempt or FailAttempt
	ReleaseAttempt                     // send the attempt
	FailAttempt                        // neither this attempt nor another one of the request may be sent now
	Admit                              // the request goes on; Prior is an attempt that may have run under its idempotency key
	AdmitBlocked                       // the request goes on, but no attempt may be sent for it
	AnswerFromRecord                   // the request is answered by what is on record
	RestoreState                       // SchedulerEvent carries state from before the start
	LogMessage                         // Text is for the log
	OperatorNote                       // an operator's note from before the start: ID, Body, Text is the author, AgeMS
)

// Effect is one thing that the ledger wants done, in the order given. Its slices are valid until the next Step.
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
