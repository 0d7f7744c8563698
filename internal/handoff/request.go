package handoff

import "slices"

// requestPhase is where a request stands with the controller that owns it, or wants to.
type requestPhase uint8

const (
	phaseRegistering requestPhase = iota // replicas are asked to register it
	phaseAdopting                        // replicas are asked to let it be adopted
	phaseActive                          // the decision module has it
	phaseClosing                         // it has ended, and replicas are being notified
	phaseDone
)

var requestPhaseNames = [...]string{"registering", "adopting", "active", "closing", "done"}

// String returns the name of the phase.
func (p requestPhase) String() string { return requestPhaseNames[p] }

// ownedRequest is a request that this controller owns, or wants to.
type ownedRequest struct {
	Copy
	key               Key
	phase             requestPhase
	adopted           bool
	previousOwner     Member // of an adopted one
	startedAt         float64
	sentAt            float64
	sends             int
	acks              []Member // replicas that stored the latest message
	refusals          []Member
	known             *Copy // the most recent of what refusing replicas have
	earlier           Item  // the strongest reply on attempts under an earlier registration of the key
	uncertainAttempts int   // attempts that may have run, or are in flight
	attemptsInFlight  uint8 // by attempt number
	heldAttempts      []heldAttempt
	withheld          *withheldAnswer
	unreplicated      bool // no replica knows of it
	bestEffort        bool // nothing waits for its copies
	listed            bool // among the unacknowledged
}

// maxTrackedAttempts is how many attempts of a request attemptsInFlight has room for.
const maxTrackedAttempts = 8

// snapshot returns a copy of the request as it is now, which later changes within the same step leave alone.
func (r *ownedRequest) snapshot() *Copy {
	c := r.Copy
	return &c
}

// mayBeReplacedBy reports whether a request that closes gives way to the adoption of a stored copy of its key.
func (m *Manager) mayBeReplacedBy(req *ownedRequest, stored *storedCopy) bool {
	if req.phase != phaseClosing || req.withheld != nil {
		return false
	}
	return req.Owner != m.self || req.Sequence < stored.Sequence || m.hasQuorum(req.key.Partition(), req.acks)
}

func (m *Manager) addOwned(req *ownedRequest) {
	m.owned[req.key] = req
	m.ownedByID[req.ID] = req
}

// removeOwned ends a request here, without a message.
func (m *Manager) removeOwned(req *ownedRequest) {
	req.phase = phaseDone
	if m.owned[req.key] == req {
		delete(m.owned, req.key)
	}
	if m.ownedByID[req.ID] == req {
		delete(m.ownedByID, req.ID)
	}
}

// abandonOwned ends what this controller does for a request that is another's, or over.
func (m *Manager) abandonOwned(req *ownedRequest) {
	if req.phase == phaseAdopting && m.hasPlacement() {
		m.withdraw(req) // replicas that let it be adopted must not take it for this controller's
	}
	if req.adopted {
		m.adoptionsInFlight--
		if req.phase == phaseActive {
			m.emit(Effect{Kind: CancelLocal, ID: req.ID})
		}
	}
	m.removeOwned(req)
}

// currentItem returns the latest message of a request.
func (m *Manager) currentItem(req *ownedRequest) Item {
	it := Item{Key: req.key, Sequence: req.Sequence, From: req.Owner}
	it.setAttempt(req.attempt())
	switch req.phase {
	case phaseRegistering:
		it.Op, it.Copy = OpRegister, req.snapshot()
	case phaseAdopting:
		it.Op, it.Copy, it.From = OpAdopt, req.snapshot(), req.previousOwner
	case phaseActive:
		it.Op = OpAttempt
		if req.bestEffort && req.sends == 0 {
			it.Op, it.Copy = OpRegister, req.snapshot()
		}
	default:
		it.Op, it.Outcome, it.Answer = OpClose, req.Outcome, req.Answer
		if req.Owner != m.self {
			it.Copy = req.snapshot() // a successor may have ended it meanwhile with what it had to assume
		}
	}
	return it
}

// currentItemWithCopy returns the latest message of a request with its copy, which follows later changes within the same step.
func (m *Manager) currentItemWithCopy(req *ownedRequest) Item {
	it := m.currentItem(req)
	it.Copy = &req.Copy
	return it
}

// replicate sends the state of a request to its replicas and expects new acknowledgements.
func (m *Manager) replicate(req *ownedRequest) {
	req.acks = req.acks[:0]
	req.refusals = req.refusals[:0]
	req.known = nil
	req.sentAt = m.now
	req.sends++
	if !req.listed {
		req.listed = true
		m.unacknowledged = append(m.unacknowledged, req)
	}
	m.sendForRequest(req, m.currentItem(req))
}

func (m *Manager) sendForRequest(req *ownedRequest, it Item) {
	names := m.replicaNames(req.key.Partition())
	if req.bestEffort { // as many others as there are to be copies
		names = slices.DeleteFunc(names, func(name string) bool { return name == m.self.Name })
		names = names[:min(len(names), max(1, m.table.Copies))]
	}
	for _, name := range names {
		m.send(name, it)
	}
}
