package handoff

import "slices"

// requestPhase is the stage of a request on the controller that owns it, or tries to.
type requestPhase uint8

// The phases of a request.
const (
	phaseRegistering requestPhase = iota // replicas are asked to register the request
	phaseAdopting                        // replicas are asked to accept the adoption
	phaseActive                          // the request is dispatched
	phaseClosing                         // the request has ended, and replicas are being notified
	phaseDone                            // the request has been removed from Manager.owned
)

var requestPhaseNames = [...]string{"registering", "adopting", "active", "closing", "done"}

// String returns the name of the phase.
func (p requestPhase) String() string { return requestPhaseNames[p] }

// ownedRequest is a request that this controller owns, or asks its replicas to register or let it adopt.
type ownedRequest struct {
	Copy
	key                Key
	phase              requestPhase
	adopted            bool
	previousOwner      Member   // the lost owner of an adopted request
	baseSequence       uint64   // of the lost owner's copy that was adopted
	arrivalIncarnation uint64   // of this controller when the request arrived; 0 if it was adopted
	startedAt          float64  // when the registration or adoption began
	sentAt             float64  // when the latest message was last sent
	sends              int      // sends of messages so far; reset when the request starts to close
	acks               []Member // replicas that stored the latest message
	refusals           []Member // replicas that refused the latest message
	reportedCopy       *Copy    // the most recent copy that refusing replicas reported
	earlierAttempt     Item     // the reply with the most certain, then the oldest attempt under an earlier registration
	uncertainAttempts  int      // attempts that may have run, or are in flight and known to replicas
	attemptsInFlight   uint8    // a bit per attempt number; only attempts that replicas know of
	heldAttempts       []heldAttempt
	recordUntil        float64 // when the last of the attempts that wait for replicas fails; 0: none waits
	withheld           *withheldAnswer
	unreplicated       bool // admitted without registration, so no replica stores it
	bestEffort         bool // copies are sent without retries, and nothing waits for acknowledgements
	inUnacknowledged   bool // listed in Manager.unacknowledged
}

// maxTrackedAttempts is the number of bits in ownedRequest.attemptsInFlight. Later attempts are not tracked.
const maxTrackedAttempts = 8

// snapshot returns a copy of the request's state, which later changes within the same step do not affect.
func (r *ownedRequest) snapshot() *Copy {
	c := r.Copy
	return &c
}

// mayBeReplacedBy reports whether a closing request may be removed so that this controller can adopt the request of a
// stored copy with the same key.
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

// removeOwned removes a request without notifying replicas.
func (m *Manager) removeOwned(req *ownedRequest) {
	req.phase = phaseDone
	if m.owned[req.key] == req {
		delete(m.owned, req.key)
	}
	if m.ownedByID[req.ID] == req {
		delete(m.ownedByID, req.ID)
	}
}

// abandonOwned stops all work on a request that another controller owns, a successor will continue, or that has ended.
func (m *Manager) abandonOwned(req *ownedRequest) {
	if req.phase == phaseAdopting && m.hasPlacement() {
		m.withdraw(req) // replicas that accepted the adoption must restore the previous owner
	}
	if req.adopted {
		m.adoptionsInFlight--
		if req.phase == phaseActive {
			m.emit(Effect{Kind: CancelLocal, ID: req.ID})
		}
	}
	m.removeOwned(req)
}

// currentItem returns the latest message of a request, which depends on its phase.
func (m *Manager) currentItem(req *ownedRequest) Item {
	item := Item{Key: req.key, Sequence: req.Sequence, From: req.Owner}
	item.setAttempt(req.attempt())
	switch req.phase {
	case phaseRegistering:
		item.Op, item.Copy = OpRegister, req.snapshot()
	case phaseAdopting:
		item.Op, item.Copy, item.From = OpAdopt, req.snapshot(), req.previousOwner
		item.BaseSequence = req.baseSequence
	case phaseActive:
		item.Op = OpAttempt
		if req.bestEffort && req.sends == 0 {
			item.Op, item.Copy = OpRegister, req.snapshot()
		}
	default:
		item.Op, item.Outcome, item.Answer = OpClose, req.Outcome, req.Answer
		if req.Owner != m.self {
			item.Copy = req.snapshot() // a successor may have recorded an assumed failure, which this copy corrects
		}
	}
	return item
}

// currentItemWithCopy returns the latest message of a request with a pointer to its copy. Later changes within the same
// step show in that copy.
func (m *Manager) currentItemWithCopy(req *ownedRequest) Item {
	item := m.currentItem(req)
	item.Copy = &req.Copy
	return item
}

// replicate sends the current state of a request to its replicas and discards the replies to earlier messages.
func (m *Manager) replicate(req *ownedRequest) {
	req.acks = req.acks[:0]
	req.refusals = req.refusals[:0]
	req.reportedCopy = nil
	req.sentAt = m.now
	req.sends++
	if !req.inUnacknowledged {
		req.inUnacknowledged = true
		m.unacknowledged = append(m.unacknowledged, req)
	}
	m.sendForRequest(req, m.currentItem(req))
}

// sendForRequest sends an item to the replicas of a request. Best-effort copies go to as many other controllers as the
// table asks for, at least one.
func (m *Manager) sendForRequest(req *ownedRequest, item Item) {
	names := m.replicaNames(req.key.Partition())
	if req.bestEffort {
		names = slices.DeleteFunc(names, func(name string) bool { return name == m.self.Name })
		names = names[:min(len(names), max(1, m.table.Copies))]
	}
	for _, name := range names {
		m.sendToReplica(req, name, item)
	}
}
