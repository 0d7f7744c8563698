// Package scheduler decides what happens to each request: which executors get its attempts, at which priority level the
// attempts run, when they are cancelled, and what the client is answered. The package does no I/O, reads no clock and
// starts no goroutine: a caller creates an instance with New, passes each event and the time to Step, and carries out
// the actions that Step appends.
//
// The interface is in events.go, actions.go and settings.go. Each decision has a file: admission.go, dispatch.go,
// selection.go, attempts.go, retry.go, priority.go, memory.go, estimates.go, ejection.go, slowstart.go, drains.go,
// endpoints.go, loadexchange.go, statetables.go and tick.go. The other files only hold state. docs/design.md describes
// the rules behind the decisions and the conditions for each deviation from the ordinary path.
package scheduler

import "math"

// Policy turns events into actions. The caller passes every event in the order of occurrence, with the time in
// milliseconds. Step appends its actions to out, which the caller owns and may reuse. Instances share no state.
type Policy interface {
	Step(now float64, ev *Event, out []Action) []Action
}

// Scheduler is the Policy of one controller. Its times are milliseconds of the clock passed to Step.
type Scheduler struct {
	settings         Settings
	seed             uint64 // of the random number generator
	randomDraws      uint32 // random numbers drawn so far
	startedAt        float64
	shutdownDeadline float64 // infinite until a shutdown starts

	// The step in progress.
	now      float64
	actions  []Action
	assignTo int // index of the executor selected for the request being assigned

	// Open requests.
	requests             requestTable
	lastSequence         uint64
	classes              []classState
	orderKeyBlockedUntil map[string]float64
	arrivals             slidingWindow
	retries              slidingWindow

	// The dispatch of queued requests. A pass is one run of dispatch.
	queue          []int         // slots of the queued requests in the current pass
	groupHolders   []groupHolder // in the current pass
	dispatchNeeded bool          // a change may allow a queued request to be sent
	dispatchedAt   float64
	saturated      bool // in the current pass, no executor has room for a single thread

	// Running requests.
	tickedAt            float64
	finishedRuns        slidingWindow // running times of finished requests, in ms
	decayOnsetMS        float64
	decayOnsetUpdatedAt float64 // time of the last update of decayOnsetMS

	// Executors, and their load from all controllers.
	executors        []executor
	trafficShare     float64 // this controller's share of all requests
	controllerCount  float64 // from ControllersCounted; 0 before the first such event
	ownZone          string  // zones without a limit are closed, except this one; empty: they are near
	remoteZones      []remoteZone
	reportedHolders  []groupHolder // from progress reports
	probeTokens      float64       // health checks that may still be sent to get load reports
	lastLoadReportAt float64       // time of the last load report
	nextExchangeAt   float64
	loadMessage      []byte
	levelsMessage    []byte
	peerLoads        []peerLoad // by controller index; only kept by an aggregator

	// The endpoint list.
	resubscribeAt float64
	listContactAt float64 // time of the last contact while the list is unavailable; 0: none is known

	// presumedNotifiedAt holds the times at which this controller is presumed notified of list updates that were pending
	// when the list became unavailable.
	presumedNotifiedAt []float64
}

// New returns an instance without executors or requests. The seed determines its random numbers.
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

// Step handles one event and appends the resulting actions to out.
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

// handle dispatches an event to its handler.
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
		s.controllerCount = ev.Value
		s.updateTrafficShare()
	case ReachabilityChanged:
		s.updateRemoteZones(ev)
	case LastConnectionLost:
		s.recordLastConnectionLost(ev.Executor)
	case PeerMessage:
		s.receiveLoad(ev.FromPeer, ev.Payload)
	}
}

// handleRequest handles an event about an open request. Events about other requests are ignored.
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

// handleAttempt handles an event about an attempt in flight. Events about other attempts are ignored.
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
