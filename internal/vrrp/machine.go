package vrrp

import "net/netip"

// State is the state of a virtual router on this host.
type State uint8

// States.
const (
	Initialize State = iota
	Backup
	Active
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"initialize", "backup", "active"}[s] }

// input is what moves a Machine from one state to another.
type input uint8

const (
	inputStartOwner       input = iota // it starts and owns the addresses
	inputStart                         // it starts
	inputStop                          // it stops as planned
	inputActiveTimeout                 // the active router was silent for too long
	inputAdvertisementDue              // an advertisement is due
	inputActiveStopping                // the active router resigns
	inputHigherPriority                // an advertisement of a router that takes precedence
	inputLowerPriority                 // an advertisement of a router that does not
)

// Effect is an action for the caller.
type Effect uint8

// Effects.
const (
	SendAdvertisement Effect = iota // send Advertisement(false)
	SendResignation                 // send Advertisement(true)
	AcquireAddresses                // the addresses belong to this host from now on
	ReleaseAddresses                // they do not any more
)

// timerKind is how a transition sets the one timer.
type timerKind uint8

const (
	timerUnchanged     timerKind = iota
	timerNone                    // stop it
	timerAdvertisement           // this router's interval
	timerActiveDown              // three intervals of the active router, and the skew
	timerSkew                    // the skew alone
)

// transitions gives for a state and an input the next state, the effects and the timer. Inputs without a row change nothing.
var transitions = []struct {
	state   State
	input   input
	next    State
	effects []Effect
	timer   timerKind
}{
	{Initialize, inputStartOwner, Active, []Effect{SendAdvertisement, AcquireAddresses}, timerAdvertisement},
	{Initialize, inputStart, Backup, nil, timerActiveDown},
	{Backup, inputStop, Initialize, nil, timerNone},
	{Backup, inputActiveTimeout, Active, []Effect{SendAdvertisement, AcquireAddresses}, timerAdvertisement},
	{Backup, inputActiveStopping, Backup, nil, timerSkew},
	{Backup, inputHigherPriority, Backup, nil, timerActiveDown},
	{Backup, inputLowerPriority, Backup, nil, timerUnchanged}, // it takes over once the timer ends
	{Active, inputStop, Initialize, []Effect{SendResignation, ReleaseAddresses}, timerNone},
	{Active, inputAdvertisementDue, Active, []Effect{SendAdvertisement}, timerAdvertisement},
	{Active, inputActiveStopping, Active, []Effect{SendAdvertisement}, timerAdvertisement},
	{Active, inputHigherPriority, Backup, []Effect{ReleaseAddresses}, timerActiveDown},
	{Active, inputLowerPriority, Active, []Effect{SendAdvertisement}, timerAdvertisement}, // the other one learns at once who is active
}

const (
	activeDownIntervals = 3
	priorityLevels      = 256 // in the skew, by which a higher priority waits less
)

// Router configures a virtual router on this host. Times are milliseconds.
type Router struct {
	ID             uint8
	Priority       uint8 // 1 to 254, or PriorityOwner
	Addresses      []netip.Addr
	IntervalMS     float64 // between advertisements
	Preempt        bool    // it takes over from an active router of lower priority
	PreemptDelayMS float64 // from its start until it may do so
}

// Machine is the state machine of a virtual router. It is not safe for concurrent use.
type Machine struct {
	router     Router
	localAddr  netip.Addr // the source of advertisements; decides between equal priorities
	state      State
	priority   uint8
	intervalMS float64 // of the active router, as its advertisements tell
	dueAt      float64 // of the timer; 0: it is stopped
	timer      timerKind
	startedAt  float64
	since      float64 // when the state began
	peer       netip.Addr
	effects    []Effect
	counts     Counts
}

// Counts are the counters of a Machine since its start.
type Counts struct{ Sent, Received, Foreign, BecameActive, BecameBackup, Stopped uint64 }

// New returns a machine in state Initialize.
func New(router Router, localAddr netip.Addr) (*Machine, error) {
	p := Packet{RouterID: router.ID, Priority: router.Priority, IntervalMS: router.IntervalMS, Addresses: router.Addresses}
	if _, err := p.Append(nil, localAddr, localAddr); err != nil {
		return nil, err
	}
	if router.Priority == PriorityStop {
		return nil, packetError("priority 0 is reserved for a router that stops")
	}
	return &Machine{router: router, localAddr: localAddr, priority: router.Priority, intervalMS: router.IntervalMS}, nil
}

// State returns the present state.
func (m *Machine) State() State { return m.state }

// Since returns the time at which the present state began.
func (m *Machine) Since() float64 { return m.since }

// Peer returns the address of the router whose advertisement was received last.
func (m *Machine) Peer() netip.Addr { return m.peer }

// Priority returns the priority that this router sends.
func (m *Machine) Priority() uint8 { return m.priority }

// Counts returns the counters.
func (m *Machine) Counts() Counts { return m.counts }

// Interval returns the interval between advertisements that is in force, in milliseconds.
func (m *Machine) Interval() float64 { return m.intervalMS }

// Next returns when Tick is to be called; 0: not at all.
func (m *Machine) Next() float64 { return m.dueAt }

// Advertisement returns the packet for SendAdvertisement, or that for SendResignation.
func (m *Machine) Advertisement(resign bool) Packet {
	p := Packet{RouterID: m.router.ID, Priority: m.priority, IntervalMS: m.router.IntervalMS, Addresses: m.router.Addresses}
	if resign {
		p.Priority = PriorityStop
	}
	return p
}

func (m *Machine) skewMS() float64 {
	return float64(priorityLevels-int(m.priority)) * m.intervalMS / priorityLevels
}

func (m *Machine) activeDownMS() float64 { return activeDownIntervals*m.intervalMS + m.skewMS() }

// handleInput moves the machine by the transition table. The effects are valid until the next call.
func (m *Machine) handleInput(now float64, in input) []Effect {
	m.effects = m.effects[:0]
	for k := range transitions {
		t := &transitions[k]
		if t.state != m.state || t.input != in {
			continue
		}
		m.enter(now, t.next)
		m.setTimer(now, t.timer)
		m.effects = append(m.effects, t.effects...)
		for _, e := range t.effects {
			if e == SendAdvertisement || e == SendResignation {
				m.counts.Sent++
			}
		}
		break
	}
	return m.effects
}

func (m *Machine) enter(now float64, next State) {
	if next == m.state {
		return
	}
	m.state = next
	m.since = now
	switch next {
	case Active:
		m.counts.BecameActive++
		m.intervalMS = m.router.IntervalMS
	case Backup:
		m.counts.BecameBackup++
	}
}

func (m *Machine) setTimer(now float64, kind timerKind) {
	if kind == timerUnchanged {
		return
	}
	m.timer = kind
	switch kind {
	case timerNone:
		m.dueAt = 0
	case timerAdvertisement:
		m.dueAt = now + m.router.IntervalMS
	case timerActiveDown:
		m.dueAt = now + m.activeDownMS()
	case timerSkew:
		m.dueAt = now + m.skewMS()
	}
}

// Start starts the virtual router.
func (m *Machine) Start(now float64) []Effect {
	m.startedAt = now
	if m.priority == PriorityOwner {
		return m.handleInput(now, inputStartOwner)
	}
	return m.handleInput(now, inputStart)
}

// Stop stops the virtual router as planned. An active one resigns, so that another takes over at once.
func (m *Machine) Stop(now float64) []Effect {
	m.counts.Stopped++
	return m.handleInput(now, inputStop)
}

// Tick is to be called when the time that Next returned has come.
func (m *Machine) Tick(now float64) []Effect {
	if m.dueAt == 0 || now < m.dueAt {
		return nil
	}
	if m.state == Active {
		return m.handleInput(now, inputAdvertisementDue)
	}
	return m.handleInput(now, inputActiveTimeout)
}

// SetPriority changes the priority, as this host's health changes. An owner's priority does not change, and the reserved priorities are
// ignored.
func (m *Machine) SetPriority(now float64, priority uint8) {
	if m.router.Priority == PriorityOwner || priority == PriorityStop || priority == PriorityOwner {
		return
	}
	skewBefore := m.skewMS()
	m.priority = priority
	if m.state == Backup && m.dueAt > 0 && m.timer != timerUnchanged { // the skew is a part of the timer
		m.dueAt = max(now, m.dueAt+m.skewMS()-skewBefore)
	}
}

// HandlePacket takes an advertisement.
func (m *Machine) HandlePacket(now float64, from netip.Addr, p Packet) []Effect {
	if p.RouterID != m.router.ID || from == m.localAddr || m.state == Initialize {
		m.counts.Foreign++
		return nil
	}
	m.counts.Received++
	m.peer = from
	if p.Priority == PriorityStop {
		return m.handleInput(now, inputActiveStopping)
	}
	if !m.takesPrecedence(now, from, p.Priority) {
		return m.handleInput(now, inputLowerPriority)
	}
	m.intervalMS = p.IntervalMS
	return m.handleInput(now, inputHigherPriority)
}

// takesPrecedence reports whether this router is to be, or to stay, backup to the sender of an advertisement.
func (m *Machine) takesPrecedence(now float64, from netip.Addr, priority uint8) bool {
	if m.state == Active {
		return priority > m.priority || priority == m.priority && m.localAddr.Less(from)
	}
	return priority >= m.priority || !m.mayPreempt(now)
}

// mayPreempt reports whether this router may take over from an active one of lower priority.
func (m *Machine) mayPreempt(now float64) bool {
	return m.router.Preempt && now >= m.startedAt+m.router.PreemptDelayMS
}
