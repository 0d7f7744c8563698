package vrrp

import "net/netip"

// State is the state of a virtual router on this host.
type State uint8

// States.
const (
	Initialize State = iota // not started, or stopped
	Backup                  // waits for the active router to fail or to resign
	Active                  // holds the addresses and sends advertisements
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"initialize", "backup", "active"}[s] }

// input is an event to which a Machine reacts by the transition table.
type input uint8

const (
	inputStartOwner       input = iota // this router starts and owns the addresses
	inputStart                         // this router starts and does not own the addresses
	inputStop                          // this router is stopped as planned
	inputActiveTimeout                 // the active router has not advertised in time
	inputAdvertisementDue              // the next advertisement of this router is due
	inputActiveResigned                // an advertisement of an active router that stops
	inputHigherPriority                // an advertisement of a router that takes precedence
	inputLowerPriority                 // an advertisement of a router that does not take precedence
)

// Effect is an action that the caller is to execute.
type Effect uint8

// Effects.
const (
	SendAdvertisement Effect = iota // send the packet that Advertisement(false) returns
	SendResignation                 // send the packet that Advertisement(true) returns
	AcquireAddresses                // add the addresses of the virtual router to this host
	ReleaseAddresses                // remove the addresses of the virtual router from this host
)

// timerKind tells how a transition sets the only timer of a Machine.
type timerKind uint8

const (
	timerUnchanged     timerKind = iota
	timerNone                    // the timer is stopped
	timerAdvertisement           // this router's advertisement interval
	timerActiveDown              // activeDownIntervals intervals of the active router, and the skew time
	timerSkew                    // the skew time alone
)

// transitions lists the next state, the effects and the timer for a state and an input. An input without a row for the
// current state changes nothing.
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
	{Backup, inputActiveResigned, Backup, nil, timerSkew},
	{Backup, inputHigherPriority, Backup, nil, timerActiveDown},
	// The timer runs on, so that this router takes over when it expires.
	{Backup, inputLowerPriority, Backup, nil, timerUnchanged},
	{Active, inputStop, Initialize, []Effect{SendResignation, ReleaseAddresses}, timerNone},
	{Active, inputAdvertisementDue, Active, []Effect{SendAdvertisement}, timerAdvertisement},
	{Active, inputActiveResigned, Active, []Effect{SendAdvertisement}, timerAdvertisement},
	{Active, inputHigherPriority, Backup, []Effect{ReleaseAddresses}, timerActiveDown},
	// The advertisement tells the other router at once that this one is active.
	{Active, inputLowerPriority, Active, []Effect{SendAdvertisement}, timerAdvertisement},
}

const (
	activeDownIntervals = 3   // intervals without an advertisement after which the active router counts as failed
	priorityLevels      = 256 // the skew time is (priorityLevels - priority) / priorityLevels intervals
)

// Config configures a virtual router on this host.
type Config struct {
	RouterID       uint8 // of the virtual router, from 1 to 255
	Priority       uint8 // 1 to 254, or PriorityOwner
	Addresses      []netip.Addr
	IntervalMS     float64 // time between advertisements
	Preempt        bool    // whether this router takes over from an active router of lower priority
	PreemptDelayMS float64 // time from the start during which this router does not preempt
}

// Machine is the state machine of a virtual router. The effects that a method returns are valid until the next call. A
// Machine is not safe for concurrent use.
type Machine struct {
	config     Config
	localAddr  netip.Addr // source address of advertisements; decides between equal priorities
	state      State
	priority   uint8
	intervalMS float64 // advertisement interval of the active router, which may be this one
	timerAt    float64 // when the timer expires; 0 if it is stopped
	timer      timerKind
	startedAt  float64
	stateSince float64    // when the current state was entered
	lastSender netip.Addr // source of the last advertisement
	effects    []Effect   // reused by each input
	counts     Counts
}

// Counts are the counters of a Machine since its creation.
type Counts struct {
	Sent         uint64 // advertisements to be sent, resignations included
	Received     uint64 // advertisements that were handled
	Ignored      uint64 // advertisements for another virtual router, of this router itself, or received while stopped
	BecameActive uint64 // transitions to Active
	BecameBackup uint64 // transitions to Backup
	Stops        uint64 // calls of Stop
}

// New returns a machine in state Initialize. Its errors wrap ErrInvalidPacket, because the configuration is checked by
// encoding an advertisement.
func New(config Config, localAddr netip.Addr) (*Machine, error) {
	p := Packet{RouterID: config.RouterID, Priority: config.Priority, IntervalMS: config.IntervalMS,
		Addresses: config.Addresses}
	if _, err := p.Append(nil, localAddr, localAddr); err != nil {
		return nil, err
	}
	if config.Priority == PriorityResign {
		return nil, packetError("priority %d is reserved for a router that stops, expected 1 to %d",
			PriorityResign, PriorityOwner)
	}
	return &Machine{config: config, localAddr: localAddr, priority: config.Priority, intervalMS: config.IntervalMS}, nil
}

// State returns the current state.
func (m *Machine) State() State { return m.state }

// StateSince returns the time at which the current state was entered.
func (m *Machine) StateSince() float64 { return m.stateSince }

// LastSender returns the address of the router that sent the last advertisement that was handled.
func (m *Machine) LastSender() netip.Addr { return m.lastSender }

// Priority returns the priority that this router advertises.
func (m *Machine) Priority() uint8 { return m.priority }

// Counts returns the counters.
func (m *Machine) Counts() Counts { return m.counts }

// IntervalMS returns the advertisement interval that is in force, which is that of the active router, in milliseconds.
func (m *Machine) IntervalMS() float64 { return m.intervalMS }

// Deadline returns the time at which Tick is to be called next, or 0 if no call is needed.
func (m *Machine) Deadline() float64 { return m.timerAt }

// Advertisement returns the packet for the effect SendAdvertisement or, if resign is set, for SendResignation.
func (m *Machine) Advertisement(resign bool) Packet {
	p := Packet{RouterID: m.config.RouterID, Priority: m.priority, IntervalMS: m.config.IntervalMS,
		Addresses: m.config.Addresses}
	if resign {
		p.Priority = PriorityResign
	}
	return p
}

// skewMS returns the skew time, by which a backup router of higher priority takes over earlier than one of lower
// priority.
func (m *Machine) skewMS() float64 {
	return float64(priorityLevels-int(m.priority)) * m.intervalMS / priorityLevels
}

// activeDownMS returns the time without an advertisement after which a backup router takes over.
func (m *Machine) activeDownMS() float64 { return activeDownIntervals*m.intervalMS + m.skewMS() }

// handleInput applies the transition for the current state and an input and returns its effects.
func (m *Machine) handleInput(now float64, in input) []Effect {
	m.effects = m.effects[:0]
	for k := range transitions {
		t := &transitions[k]
		if t.state != m.state || t.input != in {
			continue
		}
		m.enterState(now, t.next)
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

func (m *Machine) enterState(now float64, next State) {
	if next == m.state {
		return
	}
	m.state = next
	m.stateSince = now
	switch next {
	case Active:
		m.counts.BecameActive++
		m.intervalMS = m.config.IntervalMS
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
		m.timerAt = 0
	case timerAdvertisement:
		m.timerAt = now + m.config.IntervalMS
	case timerActiveDown:
		m.timerAt = now + m.activeDownMS()
	case timerSkew:
		m.timerAt = now + m.skewMS()
	}
}

// Start starts the virtual router: as active if this router owns the addresses, as backup otherwise.
func (m *Machine) Start(now float64) []Effect {
	m.startedAt = now
	if m.priority == PriorityOwner {
		return m.handleInput(now, inputStartOwner)
	}
	return m.handleInput(now, inputStart)
}

// Stop stops the virtual router as planned. An active one resigns, so that another takes over at once.
func (m *Machine) Stop(now float64) []Effect {
	m.counts.Stops++
	return m.handleInput(now, inputStop)
}

// Tick handles the expiry of the timer. It is to be called at the time that Deadline returns and does nothing before.
func (m *Machine) Tick(now float64) []Effect {
	if m.timerAt == 0 || now < m.timerAt {
		return nil
	}
	if m.state == Active {
		return m.handleInput(now, inputAdvertisementDue)
	}
	return m.handleInput(now, inputActiveTimeout)
}

// SetPriority changes the priority, for instance with this host's health. The priority of an owner does not change, and
// the reserved priorities are ignored. On a backup router, the timer follows the new skew time.
func (m *Machine) SetPriority(now float64, priority uint8) {
	if m.config.Priority == PriorityOwner || priority == PriorityResign || priority == PriorityOwner {
		return
	}
	skewBefore := m.skewMS()
	m.priority = priority
	if m.state == Backup && m.timerAt > 0 && m.timer != timerUnchanged {
		m.timerAt = max(now, m.timerAt+m.skewMS()-skewBefore)
	}
}

// HandlePacket handles an advertisement that was received from source.
func (m *Machine) HandlePacket(now float64, source netip.Addr, p Packet) []Effect {
	if p.RouterID != m.config.RouterID || source == m.localAddr || m.state == Initialize {
		m.counts.Ignored++
		return nil
	}
	m.counts.Received++
	m.lastSender = source
	if p.Priority == PriorityResign {
		return m.handleInput(now, inputActiveResigned)
	}
	if !m.takesPrecedence(now, source, p.Priority) {
		return m.handleInput(now, inputLowerPriority)
	}
	m.intervalMS = p.IntervalMS
	return m.handleInput(now, inputHigherPriority)
}

// takesPrecedence reports whether the sender of an advertisement takes precedence, so that this router is to become or
// to stay its backup.
func (m *Machine) takesPrecedence(now float64, source netip.Addr, priority uint8) bool {
	if m.state == Active {
		return priority > m.priority || priority == m.priority && m.localAddr.Less(source)
	}
	return priority >= m.priority || !m.mayPreempt(now)
}

// mayPreempt reports whether this router may take over from an active router of lower priority.
func (m *Machine) mayPreempt(now float64) bool {
	return m.config.Preempt && now >= m.startedAt+m.config.PreemptDelayMS
}
