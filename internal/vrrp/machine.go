package vrrp

import "net/netip"

// State is where a virtual router stands here.
type State uint8

// The states.
const (
	Initialize State = iota
	Backup
	Active
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"initialize", "backup", "active"}[s] }

// input is what happens.
type input uint8

const (
	startOwner  input = iota // it starts, and owns the addresses
	start                    // it starts
	stop                     // it stops as planned
	silence                  // nothing was heard for as long as an active one may be silent
	turn                     // an advertisement is due
	heardStop                // an active one stops
	heardBetter              // one that goes before this one is active
	heardWorse               // one that this one goes before
)

// Effect is what is to be done.
type Effect uint8

// The effects.
const (
	Send    Effect = iota // advertise, at the present priority
	Resign                // advertise that it stops
	Take                  // the addresses are here now
	Release               // they are no more
)

// table is the state machine: at an input, the next state, what is to be done, and the timer that is set anew.
var table = []struct {
	state   State
	input   input
	next    State
	effects []Effect
	timer   timer
}{
	{Initialize, startOwner, Active, []Effect{Send, Take}, adverTimer},
	{Initialize, start, Backup, nil, downTimer},
	{Backup, stop, Initialize, nil, noTimer},
	{Backup, silence, Active, []Effect{Send, Take}, adverTimer},
	{Backup, heardStop, Backup, nil, skewTimer},
	{Backup, heardBetter, Backup, nil, downTimer},
	{Backup, heardWorse, Backup, nil, keepTimer}, // its silence is waited for, then it is taken over from
	{Active, stop, Initialize, []Effect{Resign, Release}, noTimer},
	{Active, turn, Active, []Effect{Send}, adverTimer},
	{Active, heardStop, Active, []Effect{Send}, adverTimer},
	{Active, heardBetter, Backup, []Effect{Release}, downTimer},
	{Active, heardWorse, Active, []Effect{Send}, adverTimer}, // told at once who is active
}

// timer is which time is set at a row.
type timer uint8

const (
	keepTimer  timer = iota // as it was
	noTimer                 // none
	adverTimer              // an interval of this one
	downTimer               // three intervals of the active one, and the skew
	skewTimer               // the skew alone
)

const (
	intervalsDown = 3   // of silence
	levels        = 256 // of priority, in the skew: who goes before waits less
)

// Router is one virtual router as it is set here.
type Router struct {
	ID           uint8
	Priority     uint8 // 1 to 254; Owner where it owns the addresses
	Addresses    []netip.Addr
	IntervalMS   float64
	Preempt      bool    // it takes over from one that it goes before
	PreemptAfter float64 // ms since its start until it does
}

// Machine is the state of one virtual router here. Not safe for use by several goroutines.
type Machine struct {
	set      Router
	local    netip.Addr // that advertisements come from: it decides between equals
	state    State
	priority uint8
	interval float64 // of the active one, as learnt
	due      float64 // of the one timer; 0: none
	timer    timer
	began    float64
	since    float64 // of the state
	peer     netip.Addr
	out      []Effect
	counts   Counts
}

// Counts are what a machine counts, since its start.
type Counts struct{ Sent, Heard, Foreign, BecameActive, BecameBackup, Stopped uint64 }

// New gives a machine that has not begun.
func New(set Router, local netip.Addr) (*Machine, error) {
	probe := Packet{Router: set.ID, Priority: set.Priority, IntervalMS: set.IntervalMS, Addresses: set.Addresses}
	if _, err := probe.Append(nil, local, local); err != nil {
		return nil, err
	}
	if set.Priority == Stopping {
		return nil, wrong("priority 0 is that of who stops")
	}
	return &Machine{set: set, local: local, priority: set.Priority, interval: set.IntervalMS}, nil
}

// State returns the present state.
func (m *Machine) State() State { return m.state }

// Since returns the time at which the present state began.
func (m *Machine) Since() float64 { return m.since }

// Peer returns the address of the router that was heard last.
func (m *Machine) Peer() netip.Addr { return m.peer }

// Priority returns the priority that this router sends.
func (m *Machine) Priority() uint8 { return m.priority }

// Counts returns what the machine has counted.
func (m *Machine) Counts() Counts { return m.counts }

// Interval returns the interval between advertisements that is in force, in milliseconds.
func (m *Machine) Interval() float64 { return m.interval }

// Due is when Tick is to be called; 0: not at all.
func (m *Machine) Due() float64 { return m.due }

// Advert is the advertisement that Send stands for, or with resign that of Resign.
func (m *Machine) Advert(resign bool) Packet {
	p := Packet{Router: m.set.ID, Priority: m.priority, IntervalMS: m.set.IntervalMS, Addresses: m.set.Addresses}
	if resign {
		p.Priority = Stopping
	}
	return p
}

func (m *Machine) skew() float64 { return float64(levels-int(m.priority)) * m.interval / levels }
func (m *Machine) down() float64 { return intervalsDown*m.interval + m.skew() }

// play plays an input by the table. The effects hold until the next call.
func (m *Machine) play(now float64, in input) []Effect {
	m.out = m.out[:0]
	for k := range table {
		r := &table[k]
		if r.state != m.state || r.input != in {
			continue
		}
		if r.next != m.state {
			m.since = now
			switch r.next {
			case Active:
				m.counts.BecameActive++
				m.interval = m.set.IntervalMS
			case Backup:
				m.counts.BecameBackup++
			}
		}
		m.state = r.next
		if r.timer != keepTimer {
			m.timer = r.timer
		}
		switch r.timer {
		case noTimer:
			m.due = 0
		case adverTimer:
			m.due = now + m.set.IntervalMS
		case downTimer:
			m.due = now + m.down()
		case skewTimer:
			m.due = now + m.skew()
		}
		m.out = append(m.out, r.effects...)
		for _, e := range r.effects {
			if e == Send || e == Resign {
				m.counts.Sent++
			}
		}
		break
	}
	return m.out
}

// Start begins it.
func (m *Machine) Start(now float64) []Effect {
	m.began = now
	if m.priority == Owner {
		return m.play(now, startOwner)
	}
	return m.play(now, start)
}

// Stop ends it as planned: who is active tells the others to take over at once.
func (m *Machine) Stop(now float64) []Effect {
	m.counts.Stopped++
	return m.play(now, stop)
}

// Tick is called when a timer is due.
func (m *Machine) Tick(now float64) []Effect {
	if m.due == 0 || now < m.due {
		return nil
	}
	if m.state == Active {
		return m.play(now, turn)
	}
	return m.play(now, silence)
}

// Reprice gives it another priority, as its health changes. An owner keeps its own; 0 is for stopping alone.
func (m *Machine) Reprice(now float64, priority uint8) {
	if m.set.Priority == Owner || priority == Stopping || priority == Owner {
		return
	}
	before := m.skew()
	m.priority = priority
	if m.state == Backup && m.due > 0 && m.timer != keepTimer { // the skew is part of what runs
		m.due = max(now, m.due+m.skew()-before)
	}
}

// Heard takes an advertisement that came from an address.
func (m *Machine) Heard(now float64, from netip.Addr, p Packet) []Effect {
	if p.Router != m.set.ID || from == m.local || m.state == Initialize {
		m.counts.Foreign++
		return nil
	}
	m.counts.Heard++
	m.peer = from
	in := heardWorse
	switch {
	case p.Priority == Stopping:
		in = heardStop
	case m.state == Backup && (p.Priority >= m.priority || !m.mayPreempt(now)):
		in = heardBetter
		m.interval = p.IntervalMS
	case m.state == Active && (p.Priority > m.priority || p.Priority == m.priority && m.local.Less(from)):
		in = heardBetter
		m.interval = p.IntervalMS
	}
	return m.play(now, in)
}

// mayPreempt tells whether it may take over from an active one that it goes before.
func (m *Machine) mayPreempt(now float64) bool {
	return m.set.Preempt && now >= m.began+m.set.PreemptAfter
}
