package raftnode

import (
	"encoding/json"
	"math"
	"slices"

	"liftshift/internal/consensus"
)

// step passes an event to the group and carries out the effects.
func (n *Node) step(now float64, ev consensus.Event) {
	for _, e := range slices.Clone(n.group.Step(now, &ev)) { // an effect may lead to a further step
		n.execute(now, e)
	}
	n.leaseUntil.Store(math.Float64bits(n.group.LeaseUntil()))
	n.wakeAt = min(n.group.Next(), n.observeAt)
}

func (n *Node) execute(now float64, e consensus.Effect) {
	switch e.Kind {
	case consensus.Persist:
		if n.storage != nil {
			n.storage.persist(&e)
		}
	case consensus.SendMessage:
		n.sendMessage(e.To, e.Data)
	case consensus.RequestLease:
		n.requestLease(now, &e)
	case consensus.ReplyLease:
		if reply := n.leaseReplies[e.Token]; reply != nil {
			delete(n.leaseReplies, e.Token)
			reply(json.Marshal(e.Reply))
		}
	case consensus.SendHello:
		n.requestHello(now, e.To)
	case consensus.PlacementChanged:
		if members, table := n.group.Configuration(); table.Step > n.configurationStep {
			n.reportConfiguration(Configuration{Members: members, Table: table})
		}
	case consensus.PlanChanged:
		if n.OnPlan != nil {
			n.OnPlan(now, n.agreedPlan(now))
		}
	case consensus.PlanConfirmed:
		if n.OnPlanConfirmed != nil {
			n.OnPlanConfirmed(now, e.Number, e.At)
		}
	default:
		n.OnEffect(now, e)
	}
}

func (n *Node) requestLease(now float64, e *consensus.Effect) {
	data, err := json.Marshal(leaseRequest{Name: e.Name, Incarnation: e.Incarnation})
	if err != nil {
		return
	}
	token := e.Token
	n.request(now, e.To, append([]byte{messageLeaseRequest}, data...), func(now float64, reply []byte, err error) {
		ev := consensus.Event{Kind: consensus.LeaseReplied, Token: token}
		ev.Failed = err != nil || json.Unmarshal(reply, &ev.Reply) != nil
		n.step(now, ev)
	})
}

func (n *Node) requestHello(now float64, to string) {
	n.request(now, to, []byte{messageHello}, func(now float64, reply []byte, err error) {
		var hello consensus.Hello
		if err == nil && json.Unmarshal(reply, &hello) == nil {
			n.step(now, consensus.Event{Kind: consensus.HelloReceived, Hello: hello})
		}
	})
}
