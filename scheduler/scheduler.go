// Package scheduler decides what becomes of each request: to which executor its attempts go, at which priority level they run,
// when they are cancelled and what the client is told. It does no I/O, reads no clock and starts no goroutine: a caller
// makes an instance with New, hands it each event through Step with the time, and carries out the actions that Step
// appends. The interface is in events.go, actions.go and settings.go. docs/design.md names the rules that the decisions
// keep, and when each departure from the ordinary path acts.
package scheduler

import "math"

// Scheduler is one instance.
type Scheduler struct {
	settings             Settings
	seed                 uint64
	randomDraws          uint32
	now                  float64
	actions              []Action
	requests             requestTable
	classes              []classState
	executors            []executor
	orderKeyBlockedUntil map[string]float64 // order key: rests until
	arrivals             window
	retries              window
	finishedRuns         window // running times of finished requests
	decayOnsetMS         float64
	decayOnsetReadAt     float64
	assignTo             int  // the executor that the request being placed goes to
	dispatchNeeded       bool // something changed that may let a waiting request go
	lastSequence         uint64
	queue                []int
	groupHolders         []groupHolder // as of this pass
	reportedHolders      []groupHolder // told by notes
	dispatchedAt         float64
	tickedAt             float64
	saturated            bool    // no executor has room, as of this pass
	probeTokens          float64 // probes for load reports that may still be sent
	reportedAt           float64
	nextExchangeAt       float64
	loadMessage          []byte
	levelsMessage        []byte
	peerLoads            []peerLoad   // by controller, at those that add up
	resubscribeAt        float64      // when the list is to be asked for
	listLastHeardAt      float64      // the last word of the list, where it is out of reach; 0: it is not, or nobody tells
	presumedNotifiedAt   []float64    // clocks at which what the list owes counts as told, while it is out of reach
	countedControllers   float64      // controllers that share the executors, where that is heard
	trafficShare         float64      // this controller's share of the traffic
	remoteZones          []remoteZone // places that are not simply near
	startedAt            float64      // when this instance started
	shutdownDeadline     float64      // when this instance stops; far off unless that is planned
}

// New starts an instance with nothing but its settings and its seed.
func New(seed uint64, settings Settings) *Scheduler {
	s := &Scheduler{settings: settings, seed: seed, requests: newRequestTable(), orderKeyBlockedUntil: map[string]float64{}, shutdownDeadline: math.Inf(1)}
	s.updateTrafficShare()
	for _, c := range settings.Classes {
		s.classes = append(s.classes, classState{name: c.Name, effect: c.Effect, dedupScope: c.DedupScope, dedupWindowMS: c.DedupWindowMS,
			softDeadlineMS: c.SoftDeadlineMS, softDeadlineStretch: c.SoftDeadlineStretch, value: c.Value, lateShare: c.LateShare, inOrder: c.InOrder,
			holdsGroup: c.HoldsTableGroup, blockedByHolders: c.BlockedByHolders, threads: c.Threads, kinds: c.Kinds, zones: c.Zones,
			slowdown: 1, memoryFactor: initialMemoryFactor})
	}
	return s
}

// Step takes one event and appends what is to be done about it.
func (s *Scheduler) Step(now float64, ev *Event, out []Action) []Action {
	s.now, s.actions = now, out
	switch ev.Kind {
	case Started:
		s.startedAt = now
		s.emit(Action{Kind: SetTimer, AfterMS: tickMS})
	case EndpointsUpdated:
		s.updateEndpoints(ev)
	case RequestArrived:
		s.admit(ev)
	case ClientLeft:
		if slot, ok := s.requests.find(ev.Request); ok && ev.HalfClosed {
			s.applyToRequest(slot, inputUnservable)
		} else if ok {
			s.applyToRequest(slot, inputFinished)
		}
	case AttemptEnded, ProgressReported, ResponseStarted:
		if slot, a := s.findAttempt(ev); a != nil && ev.Kind == AttemptEnded {
			s.endAttempt(slot, a, ev)
		} else if a != nil && ev.Kind == ProgressReported {
			s.recordProgress(slot, a, ev)
		} else if a != nil {
			s.requests.entries[slot].responseStarted = true
		}
	case HealthChecked:
		s.recordHealthCheck(ev)
	case TimerFired:
		s.tick()
		s.exchangeLoad()
	case PriorityCapped:
		if slot, ok := s.requests.find(ev.Request); ok {
			s.capPriority(slot, ev)
		}
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
	if s.dispatchNeeded && s.dispatchDue() {
		s.dispatch()
	}
	out, s.actions = s.actions, nil
	return out
}

// Policy is what a front calls: every event in the order it happened, with the clock in milliseconds. The
// actions are appended to out, which the caller owns and may reuse. An instance shares nothing with
// another.
type Policy interface {
	Step(now float64, ev *Event, out []Action) []Action
}
