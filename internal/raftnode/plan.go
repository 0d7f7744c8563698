package raftnode

import (
	"encoding/binary"
	"encoding/json"
	"maps"
)

// AgreedPlan is the replicated plan for traffic between zones, as it was proposed, and the operators' orders by
// subject.
type AgreedPlan struct {
	Number uint64                     `json:"Number"`
	Plan   json.RawMessage            `json:"Plan,omitempty"`
	Orders map[string]json.RawMessage `json:"Orders,omitempty"`
}

// agreedPlan returns the plan and the orders in this member's copy of the record.
func (n *Node) agreedPlan(now float64) AgreedPlan {
	r := n.group.Status(now).Record
	return AgreedPlan{Number: r.PlanNumber, Plan: r.Plan, Orders: maps.Clone(r.Orders)}
}

// FetchPlan asks the leader for a plan newer than the known number and passes it to OnPlan.
func (n *Node) FetchPlan(now float64, known uint64) {
	leader := n.otherLeader(now)
	if leader == "" {
		return
	}
	n.request(now, leader, binary.AppendUvarint([]byte{messagePlan}, known), func(now float64, reply []byte, err error) {
		var plan AgreedPlan
		if err != nil || len(reply) == 0 || json.Unmarshal(reply, &plan) != nil {
			return
		}
		if n.OnPlan != nil {
			n.OnPlan(now, plan)
		}
	})
}
