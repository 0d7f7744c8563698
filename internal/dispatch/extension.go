package dispatch

import (
	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

// Extension is a subsystem that takes part in the handling of requests beside the scheduler. Handle gets each event, in order, and
// appends its commands to out. It runs on the loop's goroutine and never waits.
type Extension interface {
	Handle(now float64, event *Event, out []Command) []Command
}

// EventKind tells what an Event is about.
type EventKind uint8

// Kinds of events. The first eleven come in this order for one request.
const (
	RequestArriving     EventKind = iota // an extension may Suspend it; it is then left alone until Resume or AnswerSuspended
	SuspendedClientLeft                  // the client of a suspended request has left
	RequestReceived                      // before it is entered, with the Prior that is known: AnswerFromRecord or Admit
	RequestEntered                       // before the scheduler has it: HoldRequest
	AttemptStarting                      // an attempt is about to be made: HoldAttempt or BlockAttempt
	AttemptStarted                       // it has been made, and may be on its way
	AttemptEnded                         // it has its outcome
	RequestReturned                      // the scheduler does not have the request any more
	RequestRejecting                     // it is about to be rejected: SetRetryAfter
	RequestEnding                        // it is about to be answered: WithholdAnswer
	RequestClosed                        // it has its final answer, or its client left
	EndpointsUpdated                     // the scheduler has a change of the endpoint list
	ListUnavailable                      // the endpoint list is out of reach
	ShutdownStarted                      // a graceful shutdown has begun
	Ticked                               // every 100 ms
	PeerMessage                          // Payload from the controller numbered Peer: Consume, or the scheduler gets it
	MessagePosted                        // Message, from an extension's own goroutines
	OutcomeQueried                       // Query: the extension that replies, now or later, answers Consume, and no other is asked
)

// Event is what an extension is told. Only the fields of its kind are set.
type Event struct {
	Kind     EventKind
	Request  *Request
	Attempt  int
	Executor uint32                 // AttemptStarting, AttemptStarted
	GrantMB  float64                // AttemptStarted
	NeverRan bool                   // AttemptEnded: the outcome proves that it never ran
	Prior    scheduler.PriorAttempt // RequestReceived
	Outcome  ledger.Outcome         // RequestEnding, RequestClosed
	Body     []byte                 // RequestEnding, RequestClosed: the answer
	CostMS   float64                // RequestClosed
	AfterMS  float64                // RequestRejecting: as the scheduler has it
	List     *scheduler.Event       // EndpointsUpdated
	Peer     int
	Payload  []byte
	Message  any
	Query    *OutcomeQuery

	// SchedulerState returns the scheduler's state of executors and what it has learnt, on Ticked. The slices are valid during the call.
	SchedulerState func() ([]scheduler.ExecutorView, []scheduler.Estimate)
}

// CommandKind tells what a Command asks for.
type CommandKind uint8

// Kinds of commands, with the event that they answer, or what they do at any time.
const (
	Suspend          CommandKind = iota // RequestArriving
	Resume                              // the suspended request ID goes on, with Prior
	AnswerSuspended                     // the suspended request ID is answered: Outcome, Body, AfterMS
	Adopt                               // Request is taken over, with Prior
	Discard                             // request ID belongs to another controller now, or is over: it is dropped as if its client had left
	WithholdAnswer                      // RequestEnding: the client gets its answer at DeliverAnswer
	DeliverAnswer                       // request ID gets the answer that was withheld: Outcome, Body
	ForwardQuery                        // Query goes to the extensions behind the first one
	AnswerFromRecord                    // RequestReceived: Outcome, Body, AfterMS
	Admit                               // RequestReceived: with Prior; Blocked: nothing may be sent for it
	HoldRequest                         // RequestEntered: the scheduler gets it at OfferRequest
	HoldAttempt                         // AttemptStarting: it leaves only at ReleaseAttempt
	BlockAttempt                        // AttemptStarting: it must not leave, and no other may now
	SetRetryAfter                       // RequestRejecting: AfterMS
	Consume                             // PeerMessage, OutcomeQueried
	ReleaseAttempt                      // Attempt of request ID may leave
	FailAttempt                         // Attempt of request ID must not leave
	RestoreState                        // Event is for the scheduler
	OfferRequest                        // the scheduler gets request ID with PriorityCap and MemoryShare; Blocked: to reject it; Immediate: to start or return it
	CapPriority                         // request ID is kept below PriorityCap
	SendPeer                            // Payload to the controller numbered Peer, or to all below 0
	ReportWait                          // the client of request ID, if it asked: StartMS and EndMS from now; below 0: not known
)

// Command is what an extension asks the loop to do. Only the fields of its kind are set.
type Command struct {
	Kind        CommandKind
	ID          string
	Attempt     int
	Prior       scheduler.PriorAttempt
	Blocked     bool
	Outcome     ledger.Outcome
	Body        []byte
	AfterMS     float64
	PriorityCap float64
	MemoryShare float64
	Immediate   bool
	Peer        int
	Payload     []byte
	StartMS     float64
	EndMS       float64
	Event       scheduler.Event
	Request     *Request
	Query       *OutcomeQuery
}

// OutcomeQuery asks what became of a request, by its id or its idempotency key. Reply runs on the loop's goroutine and must not wait.
type OutcomeQuery struct {
	ID, IdempotencyKey string
	Reply              func(ledger.Effect)
}

// Register adds an extension. It is called before Run. Extensions get events in the order of their registration.
func (l *Loop) Register(e Extension) { l.extensions = append(l.extensions, e) }

// Execute carries out commands outside of an event. It is called on the loop's goroutine (see Call).
func (l *Loop) Execute(list []Command) { l.execute(list, &decision{}) }

// notify tells all extensions of an event, carries out their commands and returns what they decide about it. Without extensions it
// costs nothing.
func (l *Loop) notify(event Event) decision {
	if len(l.extensions) == 0 {
		return decision{retryAfterMS: event.AfterMS}
	}
	return l.notifyExtensions(event)
}

// notifyExtensions is apart from notify so that the event escapes to the heap only where there are extensions.
func (l *Loop) notifyExtensions(event Event) decision {
	d := decision{retryAfterMS: event.AfterMS}
	list := l.commands[:0]
	l.commands = nil // commands may cause further events
	for _, e := range l.extensions {
		list = e.Handle(l.clock.Now(), &event, list)
		if event.Kind == OutcomeQueried && len(list) > 0 {
			break
		}
	}
	l.execute(list, &d)
	l.commands = list
	return d
}

// answerQuery answers what became of a request. One that is open here has no outcome yet, whatever is on record.
func (l *Loop) answerQuery(q *OutcomeQuery) {
	if q.ID != "" && l.requests[q.ID] != nil && !l.requests[q.ID].answered {
		q.Reply(ledger.Effect{Outcome: ledger.Open})
		return
	}
	if !l.notify(Event{Kind: OutcomeQueried, Query: q}).consumed {
		q.Reply(ledger.Effect{})
	}
}

// forwardQuery asks the extensions behind the first one, which does not know.
func (l *Loop) forwardQuery(q *OutcomeQuery) {
	for k := 1; k < len(l.extensions); k++ {
		if commands := l.extensions[k].Handle(l.clock.Now(), &Event{Kind: OutcomeQueried, Query: q}, nil); len(commands) > 0 {
			return
		}
	}
	q.Reply(ledger.Effect{})
}
