// Package scheduler decides what becomes of each request: to which executor its attempts go, at which priority level they run,
// when they are cancelled and what the client gets. It does no I/O, reads no clock and starts no goroutine: a caller
// makes an instance with New, hands it each event through Step with the time, and carries out the actions that Step appends.
//
// The interface is in events.go, actions.go and settings.go. Each decision has a file: admission.go, dispatch.go, selection.go,
// attempts.go, retry.go, priority.go, memory.go, estimates.go, ejection.go, slowstart.go, drains.go, endpoints.go,
// loadexchange.go, statetables.go and tick.go. The other files hold state and decide nothing. docs/design.md names the
// rules that the decisions keep, and when each departure from the ordinary path acts.
package scheduler

import "math"

// Policy is what a caller drives: every event in the order in which it happened, with the clock in milliseconds. The actions
// are appended to out, which the caller owns and may reuse. Instances share nothing.
type Policy interface {
	Step(now float64, ev *Event, out []Action) []Action
}

// Scheduler is the Policy of one controller. Its times are milliseconds of the clock that Step is given.
type Scheduler struct {
	settings         Settings
	seed             uint64 // of its random numbers
	randomDraws      uint32 // random numbers drawn so far
	startedAt        float64
	shutdownDeadline float64 // infinite until a shutdown is planned

	// The step in progress.
	now      float64
	actions  []Action
	assignTo int // index of the executor for the request that is being assigned

	// Requests in hand.
	requests             requestTable
	lastSequence         uint64
	classes              []classState
	orderKeyBlockedUntil map[string]float64
	arrivals             window
	retries              window

	// The dispatch of queued requests.
	queue          []int         // slots of the queued requests, as of this pass
	groupHolders   []groupHolder // as of this pass
	dispatchNeeded bool          // something changed that may let a queued request go
	dispatchedAt   float64
	saturated      bool // no executor has room for a single thread, as of this pass

	// Running requests.
	tickedAt         float64
	finishedRuns     window // running times of finished requests, ms
	decayOnsetMS     float64
	decayOnsetReadAt float64

	// Executors, and how busy they are beyond this controller's own attempts.
	executors          []executor
	trafficShare       float64 // this controller's share of all requests
	countedControllers float64 // controllers that share the executors, where they were counted; otherwise 0
	remoteZones        []remoteZone
	reportedHolders    []groupHolder // from progress reports
	probeTokens        float64       // health checks that may still be sent for load reports
	reportedAt         float64       // when the last load report came
	nextExchangeAt     float64
	loadMessage        []byte
	levelsMessage      []byte
	peerLoads          []peerLoad // by controller, at an aggregator

	// The endpoint list.
	resubscribeAt      float64
	listContactAt      float64   // the last contact with it, while it is out of reach; 0: it is in reach, or nobody reports
	presumedNotifiedAt []float64 // when its pending news counts as known, while it is out of reach
}

// New returns an instance that knows nothing but its settings and the seed of its random numbers.
func New(seed uint64, settings Settings) *Scheduler {
	s := &Scheduler{
		settings:             settings,
		seed:                 seed,
		requests:             newRequestTable(),
		orderKeyBlockedUntil: map[string]float64{},
		shutdownDeadline:     math.Inf(1),
	}
	s.updateTrafficShare()
	for i := range settings.Classes {
		s.classes = append(s.classes, newClassState(&settings.Classes[i]))
	}
	return s
}

// Step takes one event and appends what is to be done about it.
func (s *Scheduler) Step(now float64, ev *Event, out []Action) []Action {
	s.now = now
	s.actions = out
	s.handle(ev)
	if s.dispatchNeeded && s.dispatchDue() {
		s.dispatch()
	}
	out = s.actions
	s.actions = nil
	return out
}

// handle hands an event to the decision that it concerns.
func (s *Scheduler) handle(ev *Event) {
	switch ev.Kind {
	case Started:
		s.startedAt = s.now
		s.emit(Action{Kind: SetTimer, AfterMS: tickMS})
	case EndpointsUpdated:
		s.updateEndpoints(ev)
	case RequestArrived:
		s.admit(ev)
	case ClientLeft, PriorityCapped:
		s.handleRequest(ev)
	case AttemptEnded, ProgressReported, ResponseStarted:
		s.handleAttempt(ev)
	case HealthChecked:
		s.recordHealthCheck(ev)
	case TimerFired:
		s.tick()
		s.exchangeLoad()
	case StateRestored:
		s.restoreState(ev)
	case ShutdownStarted:
		s.shutDown(ev.Deadline)
	case ControllersCounted:
		s.countedControllers = ev.Value
		s.updateTrafficShare()
	case ReachabilityChanged:
		s.updateReach(ev.Reaches)
	case PeerMessage:
		s.receiveLoad(ev.FromPeer, ev.Payload)
	}
}

// handleRequest takes an event about a request in hand.
func (s *Scheduler) handleRequest(ev *Event) {
	slot, ok := s.requests.find(ev.Request)
	switch {
	case !ok:
	case ev.Kind == PriorityCapped:
		s.capPriority(slot, ev)
	case ev.HalfClosed:
		s.applyToRequest(slot, inputUnservable)
	default:
		s.applyToRequest(slot, inputFinished)
	}
}

// handleAttempt takes an event about an attempt in flight.
func (s *Scheduler) handleAttempt(ev *Event) {
	slot, a := s.findAttempt(ev)
	if a == nil {
		return
	}
	switch ev.Kind {
	case AttemptEnded:
		s.endAttempt(slot, a, ev)
	case ProgressReported:
		s.recordProgress(slot, a, ev)
	case ResponseStarted:
		s.requests.at(slot).responseStarted = true
	}
}
