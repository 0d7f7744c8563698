// Package raftnode carries one member's end of the council: its log and snapshot to a store of their own, what voters say to one another
// and the askings for leases over the fleet's carriage. It decides nothing.
package raftnode

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"liftshift/internal/clusternet"
	"liftshift/internal/consensus"
	"liftshift/internal/membership"
	"liftshift/internal/vfs"
)

const (
	seeMS    = 100 // between two looks at the view
	lineRoom = 64  // messages that wait for one voter; past it they are dropped, as the library bears
	mostLine = 16  // voters that there is a line to
	goodbye  = 400 * time.Millisecond
)

// The kinds of what is said.
const (
	voterSays   = 'v'
	asksLease   = 'a'
	saysHello   = 'h'
	asksRecord  = 'r'
	asksRoll    = 'l' // behind it the step that is known
	moves       = 'p'
	asksPlan    = 'z' // behind it the number that is known
	rollMS      = 250 // between two looks at whether what is agreed has changed
	mostNameLen = 64
)

// wish is an asking for a lease, as it goes over the wire.
type wish struct {
	Name    string `json:"Name"`
	Life    uint64 `json:"Life"`
	Release bool   `json:"Release,omitempty"`
}

// Node is a member's end of the council. Its methods are called by the carrier's goroutine unless they say otherwise.
type Node struct {
	// OnEffect is told of what the council says besides what is carried here. It must not wait.
	OnEffect func(now float64, e consensus.Effect)

	// OnConfiguration, if set, is told who is in and who sits where whenever that changes, and where all are; Relived of this controller's life.
	OnConfiguration func(Configuration)
	OnIncarnation   func(life uint64)

	// Planned, if set, is told the plan of zones and the operators' orders whenever either changes, as far as this member knows; Confirmed
	// which plan was in force after a time.
	OnPlan          func(now float64, p AgreedPlan)
	OnPlanConfirmed func(now float64, number uint64, at float64)

	council *consensus.Group
	carrier *clusternet.Transport
	view    *membership.View
	disk    *disk // nil: it never votes
	log     logrus.FieldLogger
	name    string
	life    uint64
	tokens  uint64
	answers map[uint64]func([]byte, error)
	lines   map[string]chan []byte
	stop    chan struct{}
	seeAt   float64
	rollAt  float64
	rolled  uint64 // step of the table that was told last
	viewed  uint64 // hash of the view, then
	wakeAt  float64
	until   atomic.Uint64 // of the lease, by the carrier's clock

	Dropped atomic.Uint64
}

// New opens a member's end. Folder is where it votes from; nil: it has no disk and only asks.
func New(carrier *clusternet.Transport, view *membership.View, folder vfs.FS, founders []string, settings consensus.Settings, seed uint32,
	log logrus.FieldLogger) (*Node, error) {
	self := view.Self()
	s := &Node{carrier: carrier, view: view, log: log, name: self.Name, life: self.Incarnation, answers: map[uint64]func([]byte, error){},
		lines: map[string]chan []byte{}, stop: make(chan struct{}), OnEffect: func(float64, consensus.Effect) {}}
	var kept consensus.PersistedState
	id := ""
	if folder != nil {
		d, err := openDisk(folder, s, log)
		if err != nil {
			return nil, err
		}
		s.disk, kept, id = d, d.kept, d.id
	}
	s.council = consensus.New(carrier.Now(), self.Name, self.Incarnation, id, founders, kept, settings, seed)
	return s, nil
}

// LeaseHeld tells whether this controller may act on its lease at this moment. It may be called from any goroutine, and is to be asked at
// the last step before anything leaves.
func (s *Node) LeaseHeld() bool { return s.carrier.Now() < math.Float64frombits(s.until.Load()) }

// Status tells how things stand.
func (s *Node) Status(now float64) consensus.Status { return s.council.Status(now) }

// ReplaceVoter has a voter replaced by another, where this member leads.
func (s *Node) ReplaceVoter(now float64, from, to string) error {
	if st := s.council.Status(now); st.Leader != s.name {
		return fmt.Errorf("this member does not lead the council; %s does", st.Leader)
	}
	s.step(now, consensus.Event{Kind: consensus.VoterMoveRequested, Name: from, To: to})
	return nil
}

// Next is when the seat wants its Tick.
func (s *Node) Next() float64 { return s.wakeAt }

// Tick lets the council see who is there, and gives it its time.
func (s *Node) Tick(now float64) {
	if now >= s.seeAt {
		s.seeAt = now + seeMS
		if l := s.view.Self().Incarnation; l != s.life {
			s.life = l
			s.step(now, consensus.Event{Kind: consensus.IncarnationChanged, Incarnation: l})
			if s.OnIncarnation != nil {
				s.OnIncarnation(l)
			}
		}
		var list []consensus.Observation
		for _, m := range s.view.Members() {
			list = append(list, consensus.Observation{Name: m.Name, Incarnation: m.Incarnation, Alive: m.State.IsLive(), LeftGracefully: m.State == membership.Left, Address: m.Address,
				Zone: m.Zone, CanVote: m.Flags&membership.CanVote != 0, Duplicated: m.Flags&membership.Duplicated != 0})
		}
		s.council.Observe(list)
		s.look(now)
	}
	s.step(now, consensus.Event{Kind: consensus.Ticked})
}

// Handle takes what another member says or asks.
func (s *Node) Handle(now float64, data []byte, reply func([]byte, error)) {
	if len(data) == 0 {
		reply(nil, errors.New("nothing is said"))
		return
	}
	switch kind, rest := data[0], data[1:]; kind {
	case voterSays:
		if len(rest) > 0 && int(rest[0]) <= mostNameLen && len(rest) > int(rest[0]) {
			n := int(rest[0])
			s.step(now, consensus.Event{Kind: consensus.MessageReceived, Name: string(rest[1 : 1+n]), Data: rest[1+n:]})
		}
		reply(nil, nil)
	case asksLease:
		var w wish
		if json.Unmarshal(rest, &w) != nil || w.Name == "" {
			reply(nil, errors.New("an asking that can't be read"))
			return
		}
		s.tokens++
		s.answers[s.tokens] = reply
		s.step(now, consensus.Event{Kind: consensus.LeaseRequested, Token: s.tokens, Name: w.Name, Incarnation: w.Life, Release: w.Release})
	case asksRoll:
		known, _ := binary.Uvarint(rest)
		places, table := s.council.Configuration()
		if s.council.Status(now).Leader != s.name || table.Step <= known {
			reply(nil, nil)
			return
		}
		reply(json.Marshal(Configuration{Members: places, Table: table}))
	case asksPlan:
		known, _ := binary.Uvarint(rest)
		p := s.plan(now)
		if s.council.Status(now).Leader != s.name || p.Number <= known {
			reply(nil, nil)
			return
		}
		reply(json.Marshal(p))
	case moves:
		s.step(now, consensus.Event{Kind: consensus.ProposalReceived, Data: rest})
		reply(nil, nil)
	case saysHello:
		data, err := json.Marshal(s.council.Hello())
		reply(data, err)
	case asksRecord:
		reply(json.Marshal(s.council.Status(now).Record))
	default:
		reply(nil, fmt.Errorf("what is said is of a kind %q that is not known here", kind))
	}
}

// Record gives what is agreed, from the member that leads where this one does not vote. It may be called from any goroutine but the
// carrier's, and waits for the answer.
func (s *Node) Record() (r consensus.Record, err error) {
	at := ""
	s.carrier.Do(func(now float64, _ *membership.View) {
		st := s.council.Status(now)
		if r = st.Record; !st.Voter && st.Leader != s.name {
			at = s.address(st.Leader)
		}
	})
	if at == "" {
		return r, nil
	}
	data, err := s.carrier.CallNow(at, clusternet.ConsensusMethod, []byte{asksRecord})
	if err == nil {
		err = json.Unmarshal(data, &r)
	}
	return r, err
}

// Close ends the seat; the carrier calls it last.
func (s *Node) Close() {
	close(s.stop)
	for _, reply := range s.answers {
		reply(nil, errors.New("this member stops"))
	}
	if s.disk != nil {
		s.disk.close()
	}
}

// ReleaseLease gives the lease back before a planned end and waits a little for that to be heard. It may be called from any goroutine but
// the carrier's.
func (s *Node) ReleaseLease() {
	done := make(chan struct{})
	s.carrier.Post(func(now float64) {
		to := s.council.Status(now).Leader
		data, err := json.Marshal(wish{Name: s.name, Life: s.life, Release: true})
		if err != nil || to == "" {
			close(done)
			return
		}
		s.step(now, consensus.Event{Kind: consensus.LeaseReturned}) // before the council hears of it
		s.ask(now, to, append([]byte{asksLease}, data...), func(float64, []byte, error) { close(done) })
	})
	select {
	case <-done:
	case <-time.After(goodbye):
	}
}

// address gives where a member is, or "".
func (s *Node) address(name string) string {
	m, _ := s.view.Find(name)
	return m.Address
}

// ask asks a member, this one itself too, and hands on what comes back.
func (s *Node) ask(now float64, to string, data []byte, back func(now float64, reply []byte, err error)) {
	bring := func(reply []byte, err error) { s.carrier.Post(func(now float64) { back(now, reply, err) }) }
	if to == s.name {
		s.Handle(now, data, func(reply []byte, err error) { go bring(reply, err) })
		return
	}
	if at := s.address(to); at != "" {
		s.carrier.Call(at, clusternet.ConsensusMethod, data, bring)
		return
	}
	go bring(nil, errors.New("it is not known where that member is"))
}

// step plays an event to the council and carries what follows.
func (s *Node) step(now float64, ev consensus.Event) {
	effects := s.council.Step(now, &ev)
	for _, e := range append([]consensus.Effect(nil), effects...) {
		switch e.Kind {
		case consensus.Persist:
			if s.disk != nil {
				s.disk.keep(&e)
			}
		case consensus.SendMessage:
			s.say(e.To, e.Data)
		case consensus.RequestLease:
			data, err := json.Marshal(wish{Name: e.Name, Life: e.Incarnation})
			if err != nil {
				continue
			}
			s.ask(now, e.To, append([]byte{asksLease}, data...), func(now float64, reply []byte, err error) {
				got := consensus.Event{Kind: consensus.LeaseReplied, Token: e.Token}
				got.Failed = err != nil || json.Unmarshal(reply, &got.Reply) != nil
				s.step(now, got)
			})
		case consensus.ReplyLease:
			if reply := s.answers[e.Token]; reply != nil {
				delete(s.answers, e.Token)
				reply(json.Marshal(e.Reply))
			}
		case consensus.SendHello:
			s.ask(now, e.To, []byte{saysHello}, func(now float64, reply []byte, err error) {
				var h consensus.Hello
				if err == nil && json.Unmarshal(reply, &h) == nil {
					s.step(now, consensus.Event{Kind: consensus.HelloReceived, Hello: h})
				}
			})
		case consensus.PlacementChanged:
			if places, table := s.council.Configuration(); table.Step > s.rolled {
				s.roll(Configuration{Members: places, Table: table})
			}
		case consensus.PlanChanged:
			if s.OnPlan != nil {
				s.OnPlan(now, s.plan(now))
			}
		case consensus.PlanConfirmed:
			if s.OnPlanConfirmed != nil {
				s.OnPlanConfirmed(now, e.Number, e.At)
			}
		default:
			s.OnEffect(now, e)
		}
	}
	until := s.council.LeaseUntil()
	s.until.Store(math.Float64bits(until))
	s.wakeAt = min(s.council.Next(), s.seeAt)
}

// say lines up a message for a voter. Each line is carried in order by a goroutine of its own, so that a voter that does not answer
// holds up nobody else.
func (s *Node) say(to string, data []byte) {
	at := s.address(to)
	if at == "" || to == s.name {
		s.Dropped.Add(1)
		return
	}
	line := s.lines[at]
	if line == nil {
		if len(s.lines) >= mostLine {
			for old, l := range s.lines { // voters that were
				close(l)
				delete(s.lines, old)
				break
			}
		}
		line = make(chan []byte, lineRoom)
		s.lines[at] = line
		go s.carry(at, line)
	}
	head := append([]byte{voterSays, byte(len(s.name))}, s.name...)
	select {
	case line <- append(head, data...):
	default:
		s.Dropped.Add(1)
	}
}

func (s *Node) carry(at string, line chan []byte) {
	for {
		select {
		case data, open := <-line:
			if !open {
				return
			}
			if _, err := s.carrier.CallNow(at, clusternet.ConsensusMethod, data); err != nil {
				s.Dropped.Add(1)
			}
		case <-s.stop:
			return
		}
	}
}
