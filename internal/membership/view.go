package membership

import (
	"hash/crc32"
	"math"
	"slices"
)

// joinTimeoutMS is how long a joining controller waits for its seeds before it starts a new fleet.
const joinTimeoutMS = 3000

// member is a Member with the bookkeeping of this view.
type member struct {
	Member
	transmitsLeft int      // how often its record is still to be gossiped
	queued        bool     // whether it is in View.gossipQueue
	accusers      []string // distinct members that reported it as Suspect
	suspectedAt   float64
	suspectUntil  float64    // when the suspicion expires; valid while the state is Suspect
	expedited     bool       // its suspicion has the minimum length, as another member's suspicion has expired already
	hash          uint64     // contribution to View.hash
	evidence      []Evidence // oldest first
}

// View is one controller's view of the fleet. It is not safe for concurrent use.
type View struct {
	fleet     string
	now       float64
	self      *member
	seeds     []string
	byName    map[string]*member
	names     []string  // all names, sorted, so that effects do not depend on the iteration order of a map
	ring      []*member // other members, in the order in which they are probed
	ringPos   int       // index in ring of the next member to probe
	livePeers int       // number of other members that are live
	suspects  []*member // all members that are Suspect, and some that no longer are
	hash      uint64
	effects   []Effect
	counts    Counts

	settings    Settings
	randomSeed  uint32
	randomDraws uint64

	// Failure detection.
	probes         []probe
	indirectProbes map[uint64]indirectProbe // probes on behalf of others, by this view's sequence number
	sequence       uint64                   // last sequence number that was used
	localHealth    int                      // local health score of Lifeguard: 0 is healthy, more lengthens timeouts

	// Dissemination.
	gossipQueue    []*member // records to gossip, the next one first
	equalViews     int       // consecutive messages whose view hash was equal to this view's
	rapidExchanges int       // number of exchanges still to be made at short intervals

	// Partition detection and duplicate names.
	deathsInWindow int    // members that became Dead since partitionWindowStart
	duplicate      Member // another process with this controller's name; the zero value if there is none

	// Times in milliseconds: when work is due, and the start or end of periods.
	probeAt, gossipAt, exchangeAt, reconnectAt, compareViewsAt, pruneAt float64
	wakeAt, joinDeadline, expiryPausedUntil                             float64
	partitionWindowStart, duplicateCheckAt                              float64
}

// New returns the view of a controller that has just started. It knows only the addresses of its seeds, the members
// through which it joins the fleet. Equal values of randomSeed make a view deterministic.
func New(now float64, fleet string, self Member, seeds []string, settings Settings, randomSeed uint32) *View {
	self.State = Joining
	self.Since = now
	self.Refutation = max(1, self.Refutation)
	v := &View{fleet: fleet, now: now, byName: map[string]*member{}, indirectProbes: map[uint64]indirectProbe{},
		randomSeed: randomSeed, settings: settings}
	for _, address := range seeds {
		if address != self.Address && !slices.Contains(v.seeds, address) {
			v.seeds = append(v.seeds, address)
		}
	}
	v.self = &member{Member: self}
	v.byName[self.Name] = v.self
	v.names = []string{self.Name}
	v.sequence = uint64(v.random() * (1 << 40)) // an answer to a previous incarnation must not match a probe
	v.rehash(v.self)
	v.probeAt = now + v.random()*settings.ProbeMS
	v.gossipAt = now
	v.exchangeAt = now + settings.ExchangeMS*v.random()
	v.reconnectAt = now
	v.joinDeadline = now + joinTimeoutMS
	v.pruneAt = now + pruneIntervalMS
	v.wakeAt = now
	return v
}

// random returns a pseudo-random number in [0, 1). Equal seeds give equal sequences.
func (v *View) random() float64 {
	var buffer [12]byte
	v.randomDraws++
	for k := range 8 {
		buffer[k] = byte(v.randomDraws >> (8 * k))
	}
	for k := range 4 {
		buffer[8+k] = byte(v.randomSeed >> (8 * k))
	}
	return float64(crc32.ChecksumIEEE(buffer[:])) / (1 << 32)
}

// nextSequence returns an unused sequence number.
func (v *View) nextSequence() uint64 {
	v.sequence++
	return v.sequence
}

// emit appends an effect to those that Step returns.
func (v *View) emit(e Effect) { v.effects = append(v.effects, e) }

// Next returns the time at which the caller must pass a Ticked event to Step.
func (v *View) Next() float64 { return v.wakeAt }

// Self returns this controller's own record.
func (v *View) Self() Member { return v.self.Member }

// LivePeers returns the number of other members that are live.
func (v *View) LivePeers() int { return v.livePeers }

// ControllerCount returns the number of controllers, this one included, by which shared limits are divided. A
// controller that has no majority of the members that have not left assumes that it is partitioned and returns the
// number of all of them, so that its share does not grow.
func (v *View) ControllerCount() float64 {
	known := 0
	for _, m := range v.byName {
		known += boolToInt(m.State != Left && m.State != Unknown)
	}
	if present := v.livePeers + 1; 2*present > known {
		return float64(present)
	}
	return float64(known)
}

// Hash returns a hash of the live members' records, which is equal for equal views.
func (v *View) Hash() uint64 { return v.hash }

// Counts returns the counters since the start of the view.
func (v *View) Counts() Counts { return v.counts }

// LocalHealthScore returns Lifeguard's local health score: 0 is healthy, a higher value means that this controller is
// slower.
func (v *View) LocalHealthScore() int { return v.localHealth }

// Members returns all members, this controller included, sorted by name.
func (v *View) Members() []Member {
	list := make([]Member, 0, len(v.names))
	for _, name := range v.names {
		list = append(list, v.byName[name].Member)
	}
	return list
}

// Find returns the member of the given name and whether it is known.
func (v *View) Find(name string) (Member, bool) {
	if m := v.byName[name]; m != nil {
		return m.Member, true
	}
	return Member{}, false
}

// Explain returns the latest evidence about a member, oldest first.
func (v *View) Explain(name string) []Evidence {
	if m := v.byName[name]; m != nil {
		return slices.Clone(m.evidence)
	}
	return nil
}

// Step handles an event that happened at the time now, in milliseconds, and returns the effects. The slice is valid
// until the next call.
func (v *View) Step(now float64, event *Event) []Effect {
	v.effects = v.effects[:0]
	late := now - max(v.wakeAt, v.now)
	v.now = max(now, v.now)
	if late > stallThresholdMS {
		v.handleStall(late)
	}
	switch event.Kind {
	case DatagramReceived:
		v.handleDatagram(event)
	case ExchangeRequested:
		v.handleExchange(event, true)
	case ExchangeAnswered:
		v.handleExchange(event, false)
	case ExchangeFailed:
	case FlagsChanged:
		const ownFlags = Duplicated | Stalled // set by the view itself, not by the caller
		v.setFlags(event.Flags&^ownFlags | v.self.Flags&ownFlags)
	case IncarnationRaised:
		v.raiseIncarnation(v.self.Incarnation + 1)
	case LeaveStarted:
		v.announce(Leaving)
	case LeaveFinished:
		v.announce(Left)
		v.sendLeaveMessages()
	}
	v.tick()
	return v.effects
}

// tick carries out all work whose deadline has passed and computes wakeAt.
func (v *View) tick() {
	if v.self.State == Left {
		v.wakeAt = math.Inf(1)
		return
	}
	if v.self.State == Joining && v.livePeers == 0 && v.now >= v.joinDeadline {
		v.announce(Alive) // this controller is the first member of the fleet
	}
	v.updateProbes()
	if v.now >= v.probeAt {
		v.probeNext()
	}
	v.expireSuspicions()
	v.expireIndirectProbes()
	if v.now >= v.gossipAt {
		v.gossipAt = v.now + gossipIntervalMS
		v.sendGossip()
		v.verifySuspects()
	}
	if v.now >= v.reconnectAt {
		v.reconnectAt = v.now + reconnectIntervalMS*(0.5+v.random())
		v.checkDuplicate()
		v.reconnect()
	}
	if v.now >= v.exchangeAt {
		v.startPeriodicExchange()
	}
	if v.now >= v.pruneAt {
		v.prune()
	}
	v.wakeAt = max(v.nextDue(), v.now)
}

// nextDue returns the earliest deadline.
func (v *View) nextDue() float64 {
	due := min(v.probeAt, v.reconnectAt, v.exchangeAt, v.pruneAt)
	if len(v.gossipQueue) > 0 || v.suspectCount() > 0 {
		due = min(due, v.gossipAt)
	}
	for k := range v.probes {
		due = min(due, v.probes[k].deadline)
		if !v.probes[k].indirect {
			due = min(due, v.probes[k].indirectAt)
		}
	}
	for _, m := range v.suspects {
		if m.State == Suspect {
			due = min(due, max(m.suspectUntil, v.expiryPausedUntil))
		}
	}
	for _, p := range v.indirectProbes {
		due = min(due, p.expiresAt)
		if p.nackAt > 0 {
			due = min(due, p.nackAt)
		}
	}
	return due
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
