// Package scheduler decides what becomes of each request: to which executor its attempts go, at which priority level they run,
// when they are cancelled and what the client is told. It does no I/O, reads no clock and starts no goroutine: a caller
// makes an instance with New, hands it each event through Step with the time, and carries out the actions that Step
// appends. The interface is in events.go, actions.go and settings.go. docs/design.md names the rules that the decisions
// keep, and when each departure from the ordinary path acts.
package scheduler

import "math"

// Scheduler is one instance.
type Scheduler struct {
	settings   Settings
	seed       uint64
	draws      uint32
	now        float64
	out        []Action
	slab       slab
	offerings  []offering
	executors  []executor
	rests      map[string]float64 // order key: rests until
	takes      span
	extras     span
	finished   span // running times of finished requests
	onset      float64
	onsetAt    float64
	target     int  // the executor that the request being placed goes to
	dirty      bool // something changed that may let a waiting request go
	seq        uint64
	waiting    []int
	held       []holding // as of this pass
	seen       []holding // told by notes
	placedAt   float64
	beatAt     float64
	full       bool    // no executor has room, as of this pass
	asks       float64 // probes for load reports that may still be sent
	reportedAt float64
	tellAt     float64
	mail       []byte
	levels     []byte
	told       []telling // by controller, at those that add up
	askAt      float64   // when the list is to be asked for
	unheard    float64   // the last word of the list, where it is out of reach; 0: it is not, or nobody tells
	deemed     []float64 // clocks at which what the list owes counts as told, while it is out of reach
	present    float64   // controllers that share the executors, where that is heard
	traffic    float64   // this controller's share of the traffic
	reaches    []reached // places that are not simply near
	began      float64   // when this instance started
	closing    float64   // when this instance stops; far off unless that is planned
}

// New starts an instance with nothing but its settings and its seed.
func New(seed uint64, settings Settings) *Scheduler {
	g := &Scheduler{settings: settings, seed: seed, slab: newSlab(), rests: map[string]float64{}, closing: math.Inf(1)}
	g.reckonShare()
	for _, c := range settings.Classes {
		g.offerings = append(g.offerings, offering{name: c.Name, effect: c.Effect, scope: c.DedupScope, window: c.DedupWindowMS,
			due: c.SoftDeadlineMS, stretch: c.SoftDeadlineStretch, gain: c.Value, late: c.LateShare, inOrder: c.InOrder,
			holds: c.HoldsTableGroup, behind: c.BlockedByHolders, threads: c.Threads, kinds: c.Kinds, places: c.Zones,
			slow: 1, memory: memoryStart})
	}
	return g
}

// Step takes one event and appends what is to be done about it.
func (g *Scheduler) Step(now float64, ev *Event, out []Action) []Action {
	g.now, g.out = now, out
	switch ev.Kind {
	case Started:
		g.began = now
		g.do(Action{Kind: SetTimer, AfterMS: beatMS})
	case EndpointsUpdated:
		g.list(ev)
	case RequestArrived:
		g.take(ev)
	case ClientLeft:
		if i, ok := g.slab.find(ev.Request); ok && ev.HalfClosed {
			g.request(i, hopeless)
		} else if ok {
			g.request(i, finished)
		}
	case AttemptEnded, ProgressReported, ResponseStarted:
		if i, h := g.attemptOf(ev); h != nil && ev.Kind == AttemptEnded {
			g.ended(i, h, ev)
		} else if h != nil && ev.Kind == ProgressReported {
			g.note(i, h, ev)
		} else if h != nil {
			g.slab.places[i].bound = true
		}
	case HealthChecked:
		g.probed(ev)
	case TimerFired:
		g.beat()
		g.tell()
	case PriorityCapped:
		if i, ok := g.slab.find(ev.Request); ok {
			g.press(i, ev)
		}
	case StateRestored:
		g.recall(ev)
	case ShutdownStarted:
		g.stop(ev.Deadline)
	case ControllersCounted:
		g.present = ev.Value
		g.reckonShare()
	case ReachabilityChanged:
		g.reach(ev.Reaches)
	case PeerMessage:
		g.heard(ev.FromPeer, ev.Payload)
	}
	if g.dirty && g.placeNow() {
		g.place()
	}
	out, g.out = g.out, nil
	return out
}

// Policy is what a front calls: every event in the order it happened, with the clock in milliseconds. The
// actions are appended to out, which the caller owns and may reuse. An instance shares nothing with
// another.
type Policy interface {
	Step(now float64, ev *Event, out []Action) []Action
}
