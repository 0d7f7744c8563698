// Package locality plans cross-zone traffic for a fleet in several zones: which controllers may send requests to which
// zone's executors, and for how many threads, while a zone is degraded, lost, evacuated or recovering.
//
// The observations of the controllers are aggregated on their way to the leader of the consensus group. The leader
// computes a plan from the observations and the operators' orders, the group agrees on the plan, and each controller
// passes its share of the plan to its scheduler. A Monitor is a state machine: it takes events with a time and returns
// effects. The package uses no socket, disk, clock or goroutine, and it chooses no executor for a request.
//
// Observations may be wrong, late, duplicated or forged. Safety does not depend on them, only on the agreed plan: a
// controller may use a share only until the lease ends that confirmed the share, and a revoked share is granted to
// another controller only after the lease duration. So the shares that are in use never exceed the cap of their zone,
// whichever controllers are partitioned.
package locality

import "slices"

// State is the state of a zone in the agreed plan.
type State uint8

// States. The numbers are part of the plan's format.
const (
	Healthy    State = 0
	Degraded   State = 1 // a large part of its executors is unreachable
	Suspected  State = 2 // the observers disagree on whether its executors are reachable
	Lost       State = 3 // its executors are unreachable
	Evacuated  State = 4 // it gets no new requests, by an operator's order
	Recovering State = 5 // it gets requests again, in stages of growing capacity
	stateCount State = 6
)

// stateNames are the names of the states in replies of the administrative socket and in log lines.
var stateNames = [stateCount]string{"whole", "thinned", "doubtful", "lost", "evacuated", "returning"}

// String returns the name that operators see.
func (s State) String() string { return stateNames[s] }

// Observation counts the verdicts of one or more observers on the executors of a zone. An observer is a controller; one
// without evidence of the executors gives no verdict.
type Observation struct {
	Zone        string  `json:"Zone"`
	Healthy     int     `json:"Fine"` // observers that reach nearly all executors
	Degraded    int     `json:"Thin"` // observers that reach a part of the executors
	Unreachable int     `json:"Gone"` // observers that reach almost no executor
	InFlight    float64 `json:"Out"`  // threads of the observers' attempts in the zone
}

// verdicts returns the number of observers that gave a verdict.
func (o *Observation) verdicts() int { return o.Healthy + o.Degraded + o.Unreachable }

// Report is the sum of the observations of controllers of one zone.
type Report struct {
	Zone                 string        `json:"Zone"`   // zone of the observers
	Observers            int           `json:"Voices"` // number of controllers in the sum
	ObserversWithoutList int           `json:"Deaf"`   // observers whose endpoint list is unavailable
	DemandThreads        float64       `json:"Wants"`  // threads that the observers' running and waiting requests need
	Observations         []Observation `json:"Sights"`
}

// Share is the part of a cap that one controller may use.
type Share struct {
	Name    string  `json:"Name"`    // of the controller
	Threads float64 `json:"Threads"` // that the controller may have in flight
}

// ZonePair caps the threads that the controllers of one zone may have in flight on the executors of another zone. The
// two zones are the same while a zone is not fully open to its own controllers.
type ZonePair struct {
	From   string  `json:"From"` // zone of the controllers
	To     string  `json:"To"`   // zone of the executors
	Cap    float64 `json:"Cap"`  // threads, of all controllers together
	Shares []Share `json:"Parts,omitempty"`
}

// RevokedShare is a share that was taken from a controller, which may still use the share until its lease ends.
type RevokedShare struct {
	From    string  `json:"From"`
	To      string  `json:"To"`
	Name    string  `json:"Name"` // of the controller
	Threads float64 `json:"Threads"`
	LeftMS  float64 `json:"LeftMS"` // for which the share may still be in use, as of the plan
}

// Zone is the state of a zone in a plan.
type Zone struct {
	Name      string   `json:"Name"`
	Region    string   `json:"Region,omitempty"`
	State     State    `json:"State"`
	Stage     int      `json:"Stage,omitempty"`   // index in recoveryStages while the state is Recovering
	Flaps     int      `json:"Flaps,omitempty"`   // losses that followed soon after an earlier one
	Cores     float64  `json:"Cores"`             // of its listed executors when the zone was last Healthy
	Kinds     []string `json:"Kinds,omitempty"`   // of its listed executors when the zone was last Healthy
	Reason    string   `json:"Why,omitempty"`     // for the last change of its state or stage, for operators
	InStateMS float64  `json:"ForMS,omitempty"`   // since the zone entered its state; not set by the planner
	Members   int      `json:"Members,omitempty"` // live controllers
}

// Plan is the value on which the consensus group agrees.
type Plan struct {
	Number  uint64         `json:"Number"`
	Zones   []Zone         `json:"Zones"`
	Pairs   []ZonePair     `json:"Pairs,omitempty"`
	Revoked []RevokedShare `json:"Held,omitempty"` // shares that may still be in use
}

// OrderKind is the command of an operator's order. Its values are stored and sent.
type OrderKind string

// Kinds of orders.
const (
	// Evacuate stops new requests to a zone.
	Evacuate OrderKind = "evacuate"
	// Hold keeps a recovering zone from reaching its next stage, and a lost one from starting to recover.
	Hold OrderKind = "hold"
	// Return ends an evacuation or a hold, and lets a lost zone that is reachable recover without the usual wait.
	Return OrderKind = "return"
)

// Order is an operator's order for a zone.
type Order struct {
	Kind   OrderKind `json:"Kind"`
	Zone   string    `json:"Zone"`
	Author string    `json:"Author"`
	Reason string    `json:"Why,omitempty"`
	Until  int64     `json:"Until"`            // Unix time in ms at which the order ends; 0: it lasts until revoked
	SpanMS float64   `json:"SpanMS,omitempty"` // duration from when the group agreed on the order; 0: Until applies
}

// Member is a controller in the membership view of the fleet.
type Member struct {
	Name, Zone, Region string
	Live               bool
}

// Executor is the state of an executor according to this controller's endpoint list and scheduler.
type Executor struct {
	Zone, Kind  string
	Cores       float64
	Listed      bool // active in the endpoint list
	HasEvidence bool // there is recent evidence of whether it is reachable
	Ejected     bool // the scheduler sends it no requests, because attempts failed
	WarmingUp   bool
	InFlight    float64 // threads of this controller's attempts
}

// findZone returns the zone with the given name, or nil.
func (p *Plan) findZone(name string) *Zone {
	for k := range p.Zones {
		if p.Zones[k].Name == name {
			return &p.Zones[k]
		}
	}
	return nil
}

// Pair returns the pair for the controllers of one zone and the executors of another, or nil if the plan has none.
func (p *Plan) Pair(from, to string) *ZonePair {
	for k := range p.Pairs {
		if p.Pairs[k].From == from && p.Pairs[k].To == to {
			return &p.Pairs[k]
		}
	}
	return nil
}

// threadsOf returns the threads of a controller's share, 0 if the controller has no share. The pair may be nil.
func (p *ZonePair) threadsOf(name string) float64 {
	if p == nil {
		return 0
	}
	if k := slices.IndexFunc(p.Shares, func(s Share) bool { return s.Name == name }); k >= 0 {
		return p.Shares[k].Threads
	}
	return 0
}
