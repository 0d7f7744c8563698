package dispatch

import (
	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

// Extension is a subsystem that takes part in the handling of requests beside the scheduler. Handle gets every event in
// order and appends its commands to out. It runs on the loop's goroutine and must not block.
type Extension interface {
	Handle(now float64, event *Event, out []Command) []Command
}

// EventKind tells what an Event is about.
type EventKind uint8

// Kinds of events. Those up to RequestClosed are about one request and occur in this order. The comments name the
// commands that decide about an event.
const (
	// RequestArriving says that a request has arrived. After Suspend it waits for Resume or AnswerSuspended.
	RequestArriving EventKind = iota
	// SuspendedClientLeft says that the client of a suspended request has left.
	SuspendedClientLeft
	// RequestReceived says that a request is about to be admitted, with the Prior known so far. AnswerFromRecord
	// answers it instead; Admit adds what an extension knows of it.
	RequestReceived
	// RequestAdmitted says that a request was admitted. HoldRequest keeps it from the scheduler until OfferRequest.
	RequestAdmitted
	// AttemptStarting says that an attempt is about to be handed to the transport. HoldAttempt delays it until
	// ReleaseAttempt; BlockAttempt and PostponeAttempt end it unsent.
	AttemptStarting
	// AttemptStarted says that an attempt was handed to the transport. Unless it is held, it may have been sent.
	AttemptStarted
	// AttemptPermitted says that an attempt is held only by extensions that asked to be the last ones.
	AttemptPermitted
	// AttemptEnded says that an attempt has its outcome.
	AttemptEnded
	// RequestReturned says that the scheduler returned a request, which it gets again at OfferRequest.
	RequestReturned
	// RequestRejecting says that a request is about to be rejected. SetRetryAfter changes when the client may retry.
	RequestRejecting
	// RequestEnding says that a request is about to be answered. WithholdAnswer delays the answer until DeliverAnswer;
	// FailAnswer replaces it.
	RequestEnding
	// RequestClosed says that a request has its final answer or that its client has left.
	RequestClosed
	// EndpointsUpdated says that the scheduler has handled an update of the endpoint list. Attempts may have started in that
	// step already, so an extension must not look up by its own copy of the list where an attempt runs: see Event.Target.
	EndpointsUpdated
	// ListUnavailable says that the endpoint list cannot be reached.
	ListUnavailable
	// ShutdownStarted says that a graceful shutdown has begun. All requests must be answered by Deadline.
	ShutdownStarted
	// Ticked occurs every 100 ms.
	Ticked
	// PeerMessage carries Payload from the controller numbered Peer. The scheduler gets it unless an extension returns
	// Consume.
	PeerMessage
	// MessagePosted carries a Message that a goroutine of an extension put into the queue.
	MessagePosted
	// OutcomeQueried carries a Query for the outcome of a request. The extension that replies, at once or later,
	// returns Consume; the extensions behind it do not get the event.
	OutcomeQueried
)

// Event is something that happened in the loop. Only the fields of its kind are set.
type Event struct {
	Kind            EventKind
	Request         *Request
	Attempt         int
	Executor        uint32                 // AttemptStarting, AttemptStarted
	Target          scheduler.Location     // AttemptStarting: where the executor ran when the scheduler chose it
	TargetInDoubt   bool                   // AttemptStarting: another process may get the attempt and run it elsewhere
	GrantMB         float64                // AttemptStarted
	NeverRan        bool                   // AttemptEnded: the outcome proves that the attempt never ran
	Prior           scheduler.PriorAttempt // RequestReceived
	Outcome         ledger.Outcome         // RequestEnding, RequestClosed
	Body            []byte                 // RequestEnding, RequestClosed: the answer
	CostMS          float64                // RequestClosed: the work that the request took; 0: unknown
	RetryAfterMS    float64                // RequestRejecting: when the client may retry, as the scheduler chose it
	EndpointsUpdate *scheduler.Event       // EndpointsUpdated: the scheduler's event
	Peer            int                    // PeerMessage
	Payload         []byte                 // PeerMessage
	Message         any                    // MessagePosted
	Query           *OutcomeQuery          // OutcomeQueried
	Deadline        float64                // ShutdownStarted: the time by which all requests must be answered

	// SchedulerState is set on Ticked. It returns the scheduler's view of the executors and its estimates; the slices
	// are valid only until Handle returns.
	SchedulerState func() ([]scheduler.ExecutorView, []scheduler.Estimate)
}

// CommandKind tells what a Command asks for.
type CommandKind uint8

// Kinds of commands. The comment of a command that decides about an event begins with that event; the other commands
// may be returned at any time.
const (
	// Suspend answers RequestArriving: the request waits for Resume or AnswerSuspended.
	Suspend CommandKind = iota
	// Resume continues the suspended request ID, with Prior.
	Resume
	// AnswerSuspended answers the suspended request ID with Outcome, Body and RetryAfterMS.
	AnswerSuspended
	// Adopt takes over Request from another controller, with Prior.
	Adopt
	// Discard drops request ID as if its client had left, because another controller owns or has answered the request.
	Discard
	// WithholdAnswer answers RequestEnding: the client gets its answer at DeliverAnswer.
	WithholdAnswer
	// FailAnswer answers RequestEnding: the client is told that its request failed, as the answer could not be withheld.
	FailAnswer
	// DeliverAnswer gives the client of request ID, whose answer was withheld, the answer of Outcome and Body.
	DeliverAnswer
	// ForwardQuery passes Query to the extensions behind the first one.
	ForwardQuery
	// AnswerFromRecord answers RequestReceived: the request gets Outcome, Body and RetryAfterMS without being admitted.
	AnswerFromRecord
	// Admit answers RequestReceived: the request is admitted with Prior; if Blocked, no attempt of it may be sent.
	Admit
	// HoldRequest answers RequestAdmitted: the scheduler gets the request at OfferRequest.
	HoldRequest
	// HoldAttempt answers AttemptStarting: the attempt is not sent before ReleaseAttempt. If Last, the extension
	// releases it only after AttemptPermitted.
	HoldAttempt
	// BlockAttempt answers AttemptStarting: the attempt must not be sent, and no other attempt of the request either.
	// It is returned along with HoldAttempt.
	BlockAttempt
	// PostponeAttempt answers AttemptStarting: the attempt must not be sent, but the scheduler may send another one later.
	// It is returned along with HoldAttempt.
	PostponeAttempt
	// SetRetryAfter answers RequestRejecting: the rejection tells the client to retry after RetryAfterMS.
	SetRetryAfter
	// Consume answers PeerMessage and OutcomeQueried: the extension handles the message or the query.
	Consume
	// ReleaseAttempt permits sending Attempt of request ID after HoldAttempt.
	ReleaseAttempt
	// FailAttempt forbids sending Attempt of request ID after HoldAttempt, as it was not recorded in time. The scheduler
	// may send another attempt.
	FailAttempt
	// RestoreState passes Event, which carries recovered state, to the scheduler.
	RestoreState
	// OfferRequest hands request ID to the scheduler with PriorityCap and MemoryShare. If Blocked, the scheduler
	// rejects it; if Immediate, the scheduler sends an attempt in the same step or returns the request.
	OfferRequest
	// CapPriority keeps the priority of request ID below PriorityCap and its memory within MemoryShare.
	CapPriority
	// SendPeer sends Payload to the controller numbered Peer, or to all controllers if Peer is below 0.
	SendPeer
	// ReportWait tells the client of request ID, if it wants to know, that the request is expected to start and to end
	// StartMS and EndMS from now. Below 0: unknown.
	ReportWait
)

// Command is something that an extension asks the loop to do. Only the fields of its kind are set.
type Command struct {
	Kind         CommandKind
	ID           string
	Attempt      int
	Prior        scheduler.PriorAttempt
	Blocked      bool
	Last         bool // HoldAttempt
	Outcome      ledger.Outcome
	Body         []byte
	RetryAfterMS float64 // when a rejected client may retry
	PriorityCap  float64
	MemoryShare  float64
	Immediate    bool
	Peer         int
	Payload      []byte
	StartMS      float64
	EndMS        float64
	Event        scheduler.Event
	Request      *Request
	Query        *OutcomeQuery
}

// OutcomeQuery asks for the outcome of a request, by its id or its idempotency key. Reply runs on the loop's goroutine
// and must not block.
type OutcomeQuery struct {
	ID, IdempotencyKey string
	Reply              func(ledger.Effect)
}

// Register adds an extension. Call it before Run. Extensions get events in the order of their registration.
func (l *Loop) Register(e Extension) { l.extensions = append(l.extensions, e) }

// Execute carries out commands outside of an event. Call it on the loop's goroutine only (see Call).
func (l *Loop) Execute(list []Command) { l.execute(list, &decision{}) }

// notify passes an event to all extensions, carries out their commands and returns what they decide about the event.
// Without extensions it does not allocate.
func (l *Loop) notify(event Event) decision {
	if len(l.extensions) == 0 {
		return decision{retryAfterMS: event.RetryAfterMS}
	}
	return l.notifyExtensions(event)
}

// notifyExtensions is separate from notify so that the event escapes to the heap only if there are extensions.
func (l *Loop) notifyExtensions(event Event) decision {
	decided := decision{retryAfterMS: event.RetryAfterMS}
	list := l.commands[:0]
	l.commands = nil // in use: executing the commands may notify again
	for _, e := range l.extensions {
		list = e.Handle(l.clock.Now(), &event, list)
		if event.Kind == OutcomeQueried && len(list) > 0 {
			break
		}
	}
	l.execute(list, &decided)
	l.commands = list
	return decided
}

// answerQuery replies to a query for the outcome of a request, or passes it to the extensions. A request that is open
// in this controller has no outcome yet, whatever the extensions have on record.
func (l *Loop) answerQuery(query *OutcomeQuery) {
	if query.ID != "" && l.requests[query.ID] != nil && !l.requests[query.ID].answered {
		query.Reply(ledger.Effect{Outcome: ledger.Open})
		return
	}
	if !l.notify(Event{Kind: OutcomeQueried, Query: query}).consumed {
		query.Reply(ledger.Effect{})
	}
}

// forwardQuery passes a query that the first extension could not answer to the extensions behind it.
func (l *Loop) forwardQuery(query *OutcomeQuery) {
	for k := 1; k < len(l.extensions); k++ {
		event := &Event{Kind: OutcomeQueried, Query: query}
		if commands := l.extensions[k].Handle(l.clock.Now(), event, nil); len(commands) > 0 {
			return
		}
	}
	query.Reply(ledger.Effect{})
}
