package dispatch

import "liftshift/scheduler"

// Attempt describes one attempt of a request to the executor protocol.
type Attempt struct {
	Request     *Request
	Number      int // index among the attempts of the request
	Executor    uint32
	Target      scheduler.Location // where the executor ran when the scheduler chose it; the attempt must go nowhere else
	GrantMB     float64
	Level       int     // priority on the executor
	TimeoutMS   float64 // until the deadline of the request
	LatestStart float64 // time after which the attempt must not be sent; 0: no limit
	Held        bool    // the attempt must not be sent before Release
}

// CancelResult tells how far an attempt had got when it was cancelled.
type CancelResult uint8

// Results of a cancellation.
const (
	CancelSent      CancelResult = iota // the attempt had been sent and may have run
	CancelledUnsent                     // the attempt was not sent
	AlreadyEnded                        // the event of the attempt's end is in the queue already
)

var cancelResultNames = [...]string{
	CancelSent:      "cancel sent",
	CancelledUnsent: "cancelled unsent",
	AlreadyEnded:    "already ended",
}

// String returns the name of the result.
func (r CancelResult) String() string { return cancelResultNames[r] }

// RunningAttempt is an attempt that was handed to the executor protocol. Its methods must not block. Release permits
// sending an attempt that was held or delayed.
type RunningAttempt interface {
	Release()
	Cancel() CancelResult
	SetLevel(level int)
}

// MemorySetter is implemented by a RunningAttempt whose protocol can change the memory grant of a running attempt.
type MemorySetter interface{ SetMemory(grantMB float64) }

// ExecutorTransport sends attempts and health checks to executors. Its methods must not block; results come back
// through the loop's queue.
type ExecutorTransport interface {
	// Send takes over an attempt. It returns nil if the attempt cannot be sent. If delayMS is above 0, the attempt is
	// not sent until the loop calls Release, delayMS after Send.
	Send(attempt Attempt) (running RunningAttempt, delayMS float64)
	// HealthCheck starts a health check and returns whether it could be sent. The result carries the token.
	HealthCheck(executor uint32, token uint64) bool
	// ForgetHealthCheck drops a health check that has timed out.
	ForgetHealthCheck(executor uint32, token uint64)
	// ConnectionState returns the protocol's state of one executor.
	ConnectionState(executor uint32) ConnectionState
}

// ConnectionState is the executor protocol's state of one executor.
type ConnectionState struct {
	Name                  string // empty if the executor is not in the endpoint list
	Attempts, Connections int
	IdleMS                float64 // since the last read or write; below 0: there is no connection
}

// PeerSender sends messages to other controllers. SendPeer must not block; a peer below 0 stands for all controllers.
type PeerSender interface{ SendPeer(peer int, data []byte) }

// ListWatcher watches the list of executors.
type ListWatcher interface {
	// Refresh asks for updates of the list. It must not block.
	Refresh()
}
