package quota

// EventKind tells what an Event reports.
type EventKind uint8

// The kinds of events.
const (
	RequestQueued   EventKind = iota // a request was received
	AttemptStarted                   // an attempt of it was sent
	AttemptEnded                     // an attempt has ended
	RequestClosed                    // it has its answer, or its client left
	CapacityChanged                  // the installation has so many cores
	Ticked                           // time passed
	ShutdownStarted                  // this controller stops: all that waits is offered
	TeamChanged                      // a team has other limits
	RequestReturned                  // the scheduler could not send at once what was offered for that
)

// Event is one thing that the tree learns. Only the fields of its kind are set.
type Event struct {
	Kind      EventKind
	ID        string
	Team      string // RequestQueued: an unknown one is the default
	Class     string // RequestQueued
	WorkMS    float64
	MemoryMB  float64
	Deadline  float64
	Attempt   int
	GrantMB   float64 // AttemptStarted
	CostMS    float64 // RequestClosed: what it took; 0: not known
	Succeeded bool    // RequestClosed
	Ordered   bool    // RequestQueued: it has an order key; where its class keeps their order, it is charged but not held back
	Cores     float64 // CapacityChanged
	NewLimits Team    // TeamChanged
}

// EffectKind tells what an Effect asks for.
type EffectKind uint8

// The kinds of effects.
const (
	Offer         EffectKind = iota // hand the request to the scheduler
	CapPriority                     // keep the request's priority at or under PriorityCap
	UncapPriority                   // no longer
)

// Effect is one thing that the tree wants done, in the order given.
type Effect struct {
	Kind        EffectKind
	ID          string
	PriorityCap float64 // of an Offer: at which it starts; 0: none
	MemoryShare float64 // of the memory asked for; 0: all
	QueueFull   bool    // Offer: its team's queue is full, so that the scheduler is to reject it
	Immediate   bool    // Offer: only if it can be sent at once; else RequestReturned, and it goes on waiting here
}
