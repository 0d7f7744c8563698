package scheduler

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// ActionKind tells what an Action asks for.
type ActionKind uint8

// The actions.
const (
	Send          ActionKind = iota // an attempt of Request to Executor
	SetResources                    // GrantMB and Level for Request
	Cancel                          // stop waiting for Attempt of Request
	Reject                          // final: denied, come back after AfterMS
	Fail                            // final: failed
	SetTimer                        // ring Token after AfterMS
	HealthCheck                     // probe Executor
	Subscribe                       // subscribe to the list
	Log                             // Text for the operators
	SendPeer                        // Data to the controller numbered Peer, or to all if that is below 0
	ReturnRequest                   // Request, taken to be sent now, can't be: it is not in hand any more
)

// Action is one thing that an instance wants done, in the order given.
type Action struct {
	Kind        ActionKind
	Request     string
	Executor    uint32
	Attempt     int
	GrantMB     float64
	Level       int
	AfterMS     float64
	LatestStart float64 // Send: clock after which it must not begin any more
	Token       uint64
	Text        string
	Peer        int
	Payload     []byte // read before the next Step
}
