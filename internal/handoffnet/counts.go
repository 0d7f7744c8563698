package handoffnet

import "liftshift/internal/handoff"

// Counts are what an agent counts, since its start.
type Counts struct {
	handoff.Counts
	Calls               uint64 // to other members
	CallsFailed         uint64
	QueueDropped        uint64 // batches that waited too long, or found no room
	Datagrams           uint64
	DatagramsUnanswered uint64
}

// Counts returns what has been counted; the manager's part as of its last tick. It may be called from any goroutine.
func (a *Agent) Counts() Counts {
	c := Counts{
		Calls:               a.calls.Load(),
		CallsFailed:         a.callsFailed.Load(),
		QueueDropped:        a.dropped.Load(),
		Datagrams:           a.datagrams.Load(),
		DatagramsUnanswered: a.unanswered.Load(),
	}
	if manager := a.counts.Load(); manager != nil {
		c.Counts = *manager
	}
	return c
}
