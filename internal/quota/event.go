package quota

// EventKind tells what an Event reports.
type EventKind uint8

// The kinds of events.
const (
	RequestQueued   EventKind = iota // a request has arrived
	AttemptStarted                   // an attempt of the request was sent to an executor
	AttemptEnded                     // an attempt of the request has ended
	RequestClosed                    // the request was answered, or its client left
	CapacityChanged                  // the number of cores in the installation has changed
	Ticked                           // time has passed
	ShutdownStarted                  // this controller stops: all waiting requests are offered
	TeamChanged                      // the limits of a team have changed
	RequestReturned                  // the scheduler could not send an immediate offer at once; the request stays queued
)

// Event is one input of the tree. Only the fields of its kind are set.
type Event struct {
	Kind      EventKind
	ID        string
	Team      string  // RequestQueued: requests of an unknown team go to the default team
	Class     string  // RequestQueued: name of the request class
	WorkMS    float64 // RequestQueued: the client's estimate in ms of one thread; 0: none
	MemoryMB  float64 // RequestQueued
	Deadline  float64 // RequestQueued
	Attempt   int
	GrantMB   float64 // AttemptStarted: memory granted to the attempt
	CostMS    float64 // RequestClosed: work done in ms of one thread; 0: unknown
	Succeeded bool    // RequestClosed
	Ordered   bool    // RequestQueued: has an order key; if its class is in order, it is charged but offered at once
	Cores     float64 // CapacityChanged
	NewLimits Team    // TeamChanged
}

// EffectKind tells what an Effect asks for.
type EffectKind uint8

// The kinds of effects.
const (
	Offer         EffectKind = iota // hand the request to the scheduler
	CapPriority                     // keep the request's priority at or below PriorityCap
	UncapPriority                   // lift the cap of the request's priority
)

// Effect is one action that the caller carries out. The effects of a step are carried out in order.
type Effect struct {
	Kind        EffectKind
	ID          string
	PriorityCap float64 // of an Offer: the cap that the request starts with; 0: none
	MemoryShare float64 // fraction of the requested memory to grant; 0: all
	QueueFull   bool    // Offer: the queue of the team is full, and the scheduler is to reject the request
	Immediate   bool    // Offer: only if an attempt can be sent at once; otherwise RequestReturned follows
}
