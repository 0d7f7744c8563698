package dispatch

// Attempt is one attempt of a request, as the executors' protocol gets it.
type Attempt struct {
	Request     *Request
	Number      int
	Executor    uint32
	GrantMB     float64
	Level       int
	TimeoutMS   float64
	LatestStart float64 // clock until which it may leave; 0: any time
	Held        bool    // it leaves only at Release
}

// CancelResult tells what the cancellation of an attempt came to.
type CancelResult uint8

// Results of a cancellation.
const (
	CancelSent      CancelResult = iota // it may have run
	CancelledUnsent                     // it never left
	AlreadyEnded                        // its end is in the queue already
)

var cancelResultNames = [...]string{CancelSent: "cancel sent", CancelledUnsent: "cancelled unsent", AlreadyEnded: "already ended"}

// String returns the name of the result.
func (r CancelResult) String() string { return cancelResultNames[r] }

// RunningAttempt is an attempt that was handed to the executors' protocol. Its methods never wait. One that was held or delayed
// leaves at Release.
type RunningAttempt interface {
	Release()
	Cancel() CancelResult
	SetLevel(level int)
}

// MemorySetter is a RunningAttempt whose memory can be changed while it runs; not every protocol can.
type MemorySetter interface{ SetMemory(mb float64) }

// ExecutorTransport carries attempts and health checks to executors. Its methods never wait; results come back through the queue.
type ExecutorTransport interface {
	// Send returns nil if there is no way to send. One with a delay is to be released so many ms later.
	Send(attempt Attempt) (running RunningAttempt, delayMS float64)
	// HealthCheck returns whether the check could be sent.
	HealthCheck(executor uint32, token uint64) bool
	// ForgetHealthCheck drops a check that nobody waits for any more.
	ForgetHealthCheck(executor uint32, token uint64)
	// ConnectionState returns what the protocol holds of an executor.
	ConnectionState(executor uint32) ConnectionState
}

// ConnectionState is what the executors' protocol holds of one executor.
type ConnectionState struct {
	Name                  string // empty: not listed
	Attempts, Connections int
	IdleMS                float64 // since anything was written or read; below 0: no connection
}

// PeerSender carries messages to other controllers. It never waits.
type PeerSender interface{ SendPeer(peer int, data []byte) }

// ListWatcher watches the list of executors.
type ListWatcher interface {
	// Refresh asks for what is new in the list. It never waits.
	Refresh()
}
