package clustersim

import (
	"math"

	"liftshift/internal/handoff"
)

// UnsentFailure is a request with an idempotency key that was answered as failed although no attempt of the key has
// left any node.
type UnsentFailure struct {
	Request string
	// Released is set if the owner of the last attempt had the replicas' acknowledgements, and waited for a connection.
	Released bool
	// OwnerUpMS is the time from the last attempt's record until its owner was stalled or stopped.
	OwnerUpMS float64
}

// unsentTracker finds unsent failures. Its maps are by the keys of HandoffCluster.Executions.
type unsentTracker struct {
	sent          map[string]bool          // an attempt has left a node
	released      map[string]bool          // an attempt was released, if only to wait for a connection
	recorded      map[string]attemptRecord // the latest attempt that replicas were asked to record
	interruptions []interruption
}

// attemptRecord is when a node asked replicas to record an attempt.
type attemptRecord struct {
	node int
	at   float64
}

// interruption is a time in which a node was stalled or stopped.
type interruption struct {
	node        int
	from, until float64
}

func newUnsentTracker() *unsentTracker {
	return &unsentTracker{
		sent:     map[string]bool{},
		released: map[string]bool{},
		recorded: map[string]attemptRecord{},
	}
}

// observeFault keeps the time in which a fault stalls or stops a node, or ends that time if the fault starts the node.
func (t *unsentTracker) observeFault(now float64, fault Fault) {
	switch fault.Kind {
	case FaultStall:
		t.interruptions = append(t.interruptions, interruption{fault.Node, now, now + fault.DurationMS})
	case FaultKill:
		t.interruptions = append(t.interruptions, interruption{fault.Node, now, math.Inf(1)})
	case FaultStart:
		for k := range t.interruptions {
			if i := &t.interruptions[k]; i.node == fault.Node {
				i.until = min(i.until, now)
			}
		}
	}
}

// ownerUpMS returns how long the owner of an attempt went on undisturbed after it asked replicas to record the attempt.
func (t *unsentTracker) ownerUpMS(record attemptRecord) float64 {
	upMS := math.Inf(1)
	for _, i := range t.interruptions {
		if i.node == record.node && record.at <= i.until {
			upMS = min(upMS, max(0, i.from-record.at))
		}
	}
	return upMS
}

// find returns the unsent failure that the answer to a request is, if it is one.
func (t *unsentTracker) find(request *ClientRequest) (failure UnsentFailure, found bool) {
	failed := len(request.Answers) == 1 && request.Answers[0] == handoff.Failed
	if key := request.IdempotencyKey; failed && key != "" && !t.sent[key] {
		return UnsentFailure{request.ID, t.released[key], t.ownerUpMS(t.recorded[key])}, true
	}
	return UnsentFailure{}, false
}
