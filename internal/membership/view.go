package membership

import (
	"hash/crc32"
	"math"
	"slices"
)

// joinAloneMS is how long a controller waits for an answer of its seeds before it starts a fleet of its own.
const joinAloneMS = 3000

// member is a Member with the bookkeeping of this view.
type member struct {
	Member
	transmitsLeft int // how often its record is still to be gossiped
	queued        bool
	accusers      []string
	suspectedAt   float64
	suspectUntil  float64 // while it is Suspect
	expedited     bool    // its suspicion has the least length, as another member's has expired already
	hash          uint64
	evidence      []Evidence
}

// View is one controller's view of the fleet. It is not safe for concurrent use.
type View struct {
	fleet   string
	now     float64
	self    *member
	seeds   []string
	byName  map[string]*member
	names   []string  // all names, sorted: effects do not depend on the order of a map
	ring    []*member // in the order in which members are probed
	ringPos int
	live    int       // other members that are live
	suspect []*member // all that are Suspect, and some that were
	hash    uint64
	effects []Effect
	counts  Counts

	settings Settings
	seed     uint32
	draws    uint64

	// Probing.
	probes         []probe
	indirectProbes map[uint64]indirectProbe // on behalf of others, by this view's sequence number
	sequence       uint64                   // the last that was used
	localHealth    int                      // 0 is healthy; each step makes this controller wait longer

	// Dissemination.
	gossipQueue    []*member // the next record first
	equalViews     int       // messages in a row whose view was equal to this one
	rapidExchanges int       // exchanges still to follow at short intervals

	// Partition detection and duplicate names.
	deathsInWindow int
	duplicate      Member // another process with this controller's name, if there is one

	// Times at which something is due.
	probeAt, gossipAt, exchangeAt, reconnectAt, compareAt, pruneAt float64
	wakeAt, joinDeadline, trustSelfAt                              float64
	partitionWindowAt, duplicateCheckAt                            float64
}

// New returns the view of a controller that has just started and knows only its seeds.
func New(now float64, fleet string, self Member, seeds []string, settings Settings, seed uint32) *View {
	self.State = Joining
	self.Since = now
	self.Refutation = max(1, self.Refutation)
	v := &View{fleet: fleet, now: now, byName: map[string]*member{}, indirectProbes: map[uint64]indirectProbe{}, seed: seed,
		settings: settings}
	for _, s := range seeds {
		if s != self.Address && !slices.Contains(v.seeds, s) {
			v.seeds = append(v.seeds, s)
		}
	}
	v.self = &member{Member: self}
	v.byName[self.Name] = v.self
	v.names = []string{self.Name}
	v.sequence = uint64(v.random() * (1 << 40)) // so that answers to an earlier incarnation match no probe
	v.rehash(v.self)
	v.probeAt = now + v.random()*settings.ProbeMS
	v.gossipAt = now
	v.exchangeAt = now + settings.ExchangeMS*v.random()
	v.reconnectAt = now
	v.joinDeadline = now + joinAloneMS
	v.pruneAt = now + pruneMS
	v.wakeAt = now
	return v
}

// random draws a number from [0, 1). Equal seeds give equal sequences.
func (v *View) random() float64 {
	var b [12]byte
	v.draws++
	for k := range 8 {
		b[k] = byte(v.draws >> (8 * k))
	}
	for k := range 4 {
		b[8+k] = byte(v.seed >> (8 * k))
	}
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// nextSequence returns an unused sequence number.
func (v *View) nextSequence() uint64 {
	v.sequence++
	return v.sequence
}

func (v *View) emit(e Effect) { v.effects = append(v.effects, e) }

// Next returns when the view is to be given a Ticked event.
func (v *View) Next() float64 { return v.wakeAt }

// Self returns this controller's own record.
func (v *View) Self() Member { return v.self.Member }

// Size returns the number of other members that are live.
func (v *View) Size() int { return v.live }

// Present returns the number of controllers, this one included, by which shared limits are divided. A controller that sees less than
// half of the members that have not left takes itself to be cut off and returns the number of all of them.
func (v *View) Present() float64 {
	known := 0
	for _, m := range v.byName {
		known += boolToInt(m.State != Left && m.State != Unknown)
	}
	if present := v.live + 1; 2*present > known {
		return float64(present)
	}
	return float64(known)
}

// Hash returns a hash that is equal for equal views.
func (v *View) Hash() uint64 { return v.hash }

// Counts returns the counters.
func (v *View) Counts() Counts { return v.counts }

// Health returns how slow this controller takes itself to be; 0 is healthy.
func (v *View) Health() int { return v.localHealth }

// Members returns all members by name, the controller itself included.
func (v *View) Members() []Member {
	list := make([]Member, 0, len(v.names))
	for _, name := range v.names {
		list = append(list, v.byName[name].Member)
	}
	return list
}

// Find returns a member by its name.
func (v *View) Find(name string) (Member, bool) {
	if m := v.byName[name]; m != nil {
		return m.Member, true
	}
	return Member{}, false
}

// Explain returns the latest evidence about a member, the oldest first.
func (v *View) Explain(name string) []Evidence {
	if m := v.byName[name]; m != nil {
		return slices.Clone(m.evidence)
	}
	return nil
}

// Step handles an event at a time in milliseconds and returns the effects. The slice is valid until the next call.
func (v *View) Step(now float64, ev *Event) []Effect {
	v.effects = v.effects[:0]
	late := now - max(v.wakeAt, v.now)
	v.now = max(now, v.now)
	if late > stallMS {
		v.handleStall(late)
	}
	switch ev.Kind {
	case DatagramReceived:
		v.handleDatagram(ev)
	case ExchangeRequested:
		v.handleExchange(ev, true)
	case ExchangeAnswered:
		v.handleExchange(ev, false)
	case ExchangeFailed:
	case FlagsChanged:
		const ownFlags = Duplicated | Stalled // set by the view itself
		v.setFlags(ev.Flags&^ownFlags | v.self.Flags&ownFlags)
	case IncarnationRaised:
		v.raiseIncarnation(v.self.Incarnation + 1)
	case LeaveStarted:
		v.announce(Leaving)
	case LeaveFinished:
		v.announce(Left)
		v.sendFarewell()
	}
	v.tick()
	return v.effects
}

// tick does what is due.
func (v *View) tick() {
	if v.self.State == Left {
		v.wakeAt = math.Inf(1)
		return
	}
	if v.self.State == Joining && v.live == 0 && v.now >= v.joinDeadline {
		v.announce(Alive) // the first member of the fleet
	}
	v.updateProbes()
	if v.now >= v.probeAt {
		v.probeNext()
	}
	v.expireSuspicions()
	v.expireIndirectProbes()
	if v.now >= v.gossipAt {
		v.gossipAt = v.now + gossipMS
		v.sendGossip()
		v.verifySuspects()
	}
	if v.now >= v.reconnectAt {
		v.reconnectAt = v.now + reconnectMS*(0.5+v.random())
		v.checkDuplicate()
		v.reconnect()
	}
	if v.now >= v.exchangeAt {
		v.exchangeWithAny()
	}
	if v.now >= v.pruneAt {
		v.prune()
	}
	v.wakeAt = max(v.nextDue(), v.now)
}

// nextDue returns the earliest time at which something is due.
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
	for _, m := range v.suspect {
		if m.State == Suspect {
			due = min(due, max(m.suspectUntil, v.trustSelfAt))
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

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
