package scheduler

// ActionKind says what an Action asks for.
type ActionKind uint8

// The actions.
const (
	Send          ActionKind = iota // send an attempt of Request to Executor
	SetResources                    // set GrantMB and Level of Request
	Cancel                          // stop waiting for Attempt of Request
	Reject                          // final: reject Request; it may come back after AfterMS
	Fail                            // final: fail Request
	SetTimer                        // return Token after AfterMS
	HealthCheck                     // check Executor
	Subscribe                       // subscribe to the endpoint list
	Log                             // Text for the operators
	SendPeer                        // send Payload to the controller numbered Peer; below 0: to all
	ReturnRequest                   // Request was to be sent immediately and can't be: it is not in hand any more
)

// String returns the name of the kind.
func (k ActionKind) String() string {
	return nameOf(k, "send", "set resources", "cancel", "reject", "fail", "set timer", "health check", "subscribe", "log", "send peer",
		"return request")
}

// Action is one thing that an instance wants done. Actions are to be carried out in the order given.
type Action struct {
	Kind        ActionKind
	Request     string
	Executor    uint32
	Attempt     int
	GrantMB     float64
	Level       int
	AfterMS     float64
	LatestStart float64 // Send: the attempt must not begin after this time
	Token       uint64
	Text        string
	Peer        int
	Payload     []byte // valid until the next Step
}

// emit appends an action to those of this step.
func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }
