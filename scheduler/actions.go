package scheduler

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of Action.
const (
	Send          ActionKind = iota // send an attempt at Request to Executor
	SetResources                    // set the memory grant and the priority level of Request to GrantMB and Level
	Cancel                          // stop waiting for Attempt of Request
	Reject                          // final: reject Request; the client may retry it after AfterMS
	Fail                            // final: fail Request
	SetTimer                        // deliver TimerFired with Token after AfterMS
	HealthCheck                     // send a health check to Executor
	Subscribe                       // subscribe to the endpoint list
	Log                             // log Text
	SendPeer                        // send Payload to the controller with index Peer, or to all controllers if negative
	ReturnRequest                   // hand back Request, which was to be sent immediately and can't be
)

// String returns the name of the kind.
func (k ActionKind) String() string {
	return nameOf(k, "send", "set resources", "cancel", "reject", "fail", "set timer", "health check", "subscribe",
		"log", "send peer", "return request")
}

// Action is one thing that a Scheduler asks its caller to do. The caller carries out actions in the order in which they
// were appended. Only the fields of its kind are set.
type Action struct {
	Kind        ActionKind
	Request     string
	Executor    uint32
	Attempt     int // index among the attempts of Request
	GrantMB     float64
	Level       int
	AfterMS     float64 // Reject, and Fail with RejectIfUnsent: when the client may retry; SetTimer
	LatestStart float64 // Send: the attempt must not start after this time

	// Target applies to Send: where Executor ran when it was chosen. A caller that records attempts uses this location,
	// because its own view of the endpoint list may be older or newer.
	Target Location

	// TargetInDoubt applies to Send: another process may have taken the address of Executor, so the attempt may run
	// elsewhere than at Target. It is set only for requests whose repeats are dropped by location.
	TargetInDoubt bool

	Token   uint64
	Text    string
	Peer    int
	Payload []byte // valid until the next Step

	// RejectIfUnsent applies to Fail: only the attempt in flight can have run. If the caller knows that it has not been
	// sent, Request is rejected instead.
	RejectIfUnsent bool
}

// emit appends an action to the result of the current step.
func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }
