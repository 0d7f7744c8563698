package raftnode

import (
	"encoding/binary"
	"encoding/json"
	"maps"

	"liftshift/internal/consensus"
	"liftshift/internal/placement"
)

// Roll is who is in and who sits where, as agreed, and where all are, as heard.
type Roll struct {
	Places    []placement.Place `json:"Places"`
	Table     placement.Table   `json:"Table"`
	Addresses map[string]string `json:"-"`
}

// roll tells of a change.
func (s *Seat) roll(r Roll) {
	s.rolled, s.viewed = r.Table.Step, s.view.Hash()
	if s.Rolled == nil {
		return
	}
	r.Addresses = map[string]string{}
	for _, m := range s.view.Members() {
		r.Addresses[m.Name] = m.Address
	}
	s.Rolled(r)
}

// look finds out whether what is agreed has changed: a voter hears of it by itself, but may have been replaced without having heard.
func (s *Seat) look(now float64) {
	if s.Rolled == nil || now < s.rollAt {
		return
	}
	s.rollAt = now + rollMS
	if s.view.Hash() != s.viewed && s.rolled > 0 { // somebody may be elsewhere
		if places, table := s.council.Roll(); table.Step >= s.rolled {
			s.roll(Roll{Places: places, Table: table})
		} else {
			s.rolled = 0
		}
	}
	s.askRoll(now)
}

// Refresh has the roll asked for at once. It may be called from any goroutine.
func (s *Seat) Refresh() { go s.carrier.Post(func(now float64) { s.askRoll(now) }) }

func (s *Seat) askRoll(now float64) {
	to := s.council.Status(now).Leader
	if to == "" || to == s.name {
		return
	}
	s.ask(now, to, binary.AppendUvarint([]byte{asksRoll}, s.rolled), func(_ float64, reply []byte, err error) {
		var r Roll
		if err == nil && len(reply) > 0 && json.Unmarshal(reply, &r) == nil && r.Table.Step > s.rolled {
			s.roll(r)
		}
	})
}

// Move has the member that leads propose something. What comes of it shows in the roll. It may be called from any goroutine.
func (s *Seat) Move(motion []byte) {
	go s.carrier.Post(func(now float64) {
		switch to := s.council.Status(now).Leader; to {
		case "":
		case s.name:
			s.step(now, consensus.Event{Kind: consensus.Proposed, Data: motion})
		default:
			s.ask(now, to, append([]byte{moves}, motion...), func(float64, []byte, error) {})
		}
	})
}

// Planned is the plan of zones that is agreed, as it was proposed, and the operators' orders by what they are about.
type Planned struct {
	Number uint64                     `json:"Number"`
	Plan   json.RawMessage            `json:"Plan,omitempty"`
	Orders map[string]json.RawMessage `json:"Orders,omitempty"`
}

func (s *Seat) plan(now float64) Planned {
	r := s.council.Status(now).Record
	return Planned{r.Number, r.Plan, maps.Clone(r.Orders)}
}

// Fetch has the plan brought from the member that leads, if it is later than the one that is known. It is for the carrier's goroutine.
func (s *Seat) Fetch(now float64, known uint64) {
	to := s.council.Status(now).Leader
	if to == "" || to == s.name {
		return
	}
	s.ask(now, to, binary.AppendUvarint([]byte{asksPlan}, known), func(now float64, reply []byte, err error) {
		var p Planned
		if err == nil && len(reply) > 0 && json.Unmarshal(reply, &p) == nil && s.Planned != nil {
			s.Planned(now, p)
		}
	})
}

// Leader is who leads, as this member has it. It is for the carrier's goroutine.
func (s *Seat) Leader(now float64) string { return s.council.Status(now).Leader }
