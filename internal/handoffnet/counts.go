package handoffnet

import "liftshift/internal/handoff"

// Counts are the counters of an Agent and its manager since the agent was created.
type Counts struct {
	handoff.Counts
	Calls               uint64 // calls made to other members
	CallsFailed         uint64
	QueueDropped        uint64 // batches and replies dropped because they were queued too long or a queue was full
	Datagrams           uint64 // batches sent as datagrams
	DatagramsUnanswered uint64
}

// Counts returns the counters. Those of the manager are as of its last tick. It may be called from any goroutine.
func (a *Agent) Counts() Counts {
	counts := Counts{
		Calls:               a.calls.Load(),
		CallsFailed:         a.callsFailed.Load(),
		QueueDropped:        a.dropped.Load(),
		Datagrams:           a.datagrams.Load(),
		DatagramsUnanswered: a.unanswered.Load(),
	}
	if managerCounts := a.managerCounts.Load(); managerCounts != nil {
		counts.Counts = *managerCounts
	}
	return counts
}
