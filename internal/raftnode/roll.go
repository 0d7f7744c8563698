package raftnode

import (
	"encoding/binary"
	"encoding/json"
	"maps"

	"liftshift/internal/consensus"
	"liftshift/internal/placement"
)

// Configuration is who is in and who sits where, as agreed, and where all are, as heard.
type Configuration struct {
	Members   []placement.Member `json:"Places"`
	Table     placement.Table    `json:"Table"`
	Addresses map[string]string  `json:"-"`
}

// roll tells of a change.
func (s *Node) roll(r Configuration) {
	s.rolled, s.viewed = r.Table.Step, s.view.Hash()
	if s.OnConfiguration == nil {
		return
	}
	r.Addresses = map[string]string{}
	for _, m := range s.view.Members() {
		r.Addresses[m.Name] = m.Address
	}
	s.OnConfiguration(r)
}

// look finds out whether what is agreed has changed: a voter hears of it by itself, but may have been replaced without having heard.
func (s *Node) look(now float64) {
	if s.OnConfiguration == nil || now < s.rollAt {
		return
	}
	s.rollAt = now + rollMS
	if s.view.Hash() != s.viewed && s.rolled > 0 { // somebody may be elsewhere
		if places, table := s.council.Configuration(); table.Step >= s.rolled {
			s.roll(Configuration{Members: places, Table: table})
		} else {
			s.rolled = 0
		}
	}
	s.askRoll(now)
}

// RefreshConfiguration has the roll asked for at once. It may be called from any goroutine.
func (s *Node) RefreshConfiguration() { go s.carrier.Post(func(now float64) { s.askRoll(now) }) }

func (s *Node) askRoll(now float64) {
	to := s.council.Status(now).Leader
	if to == "" || to == s.name {
		return
	}
	s.ask(now, to, binary.AppendUvarint([]byte{asksRoll}, s.rolled), func(_ float64, reply []byte, err error) {
		var r Configuration
		if err == nil && len(reply) > 0 && json.Unmarshal(reply, &r) == nil && r.Table.Step > s.rolled {
			s.roll(r)
		}
	})
}

// Propose has the member that leads propose something. What comes of it shows in the roll. It may be called from any goroutine.
func (s *Node) Propose(motion []byte) {
	go s.carrier.Post(func(now float64) {
		switch to := s.council.Status(now).Leader; to {
		case "":
		case s.name:
			s.step(now, consensus.Event{Kind: consensus.ProposalReceived, Data: motion})
		default:
			s.ask(now, to, append([]byte{moves}, motion...), func(float64, []byte, error) {})
		}
	})
}

// AgreedPlan is the plan of zones that is agreed, as it was proposed, and the operators' orders by what they are about.
type AgreedPlan struct {
	Number uint64                     `json:"Number"`
	Plan   json.RawMessage            `json:"Plan,omitempty"`
	Orders map[string]json.RawMessage `json:"Orders,omitempty"`
}

func (s *Node) plan(now float64) AgreedPlan {
	r := s.council.Status(now).Record
	return AgreedPlan{r.PlanNumber, r.Plan, maps.Clone(r.Orders)}
}

// FetchPlan has the plan brought from the member that leads, if it is later than the one that is known. It is for the carrier's goroutine.
func (s *Node) FetchPlan(now float64, known uint64) {
	to := s.council.Status(now).Leader
	if to == "" || to == s.name {
		return
	}
	s.ask(now, to, binary.AppendUvarint([]byte{asksPlan}, known), func(now float64, reply []byte, err error) {
		var p AgreedPlan
		if err == nil && len(reply) > 0 && json.Unmarshal(reply, &p) == nil && s.OnPlan != nil {
			s.OnPlan(now, p)
		}
	})
}

// Leader is who leads, as this member has it. It is for the carrier's goroutine.
func (s *Node) Leader(now float64) string { return s.council.Status(now).Leader }
