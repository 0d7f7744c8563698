package raftnode

import (
	"encoding/json"
	"math"
	"slices"

	"liftshift/internal/consensus"
)

// step passes an event to the group and carries out the resulting effects.
func (n *Node) step(now float64, event consensus.Event) {
	for _, e := range slices.Clone(n.group.Step(now, &event)) { // cloned, as applying an effect may step the group again
		n.applyEffect(now, e)
	}
	n.leaseUntil.Store(math.Float64bits(n.group.LeaseUntil()))
	n.wakeAt = min(n.group.Next(), n.nextObserveAt)
}

// applyEffect carries out an effect, or passes it to OnEffect if it is not handled here.
func (n *Node) applyEffect(now float64, e consensus.Effect) {
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
	case consensus.RequestHello:
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
			n.OnPlanConfirmed(now, e.PlanNumber, e.InForceAfter)
		}
	default:
		n.OnEffect(now, e)
	}
}

// requestLease sends the request of a RequestLease effect and passes the reply, or the failure, to the group.
func (n *Node) requestLease(now float64, e *consensus.Effect) {
	data, err := json.Marshal(leaseRequest{Name: e.Name, Incarnation: e.Incarnation})
	if err != nil {
		return
	}
	token := e.Token
	n.request(now, e.To, append([]byte{messageLeaseRequest}, data...), func(now float64, reply []byte, err error) {
		event := consensus.Event{Kind: consensus.LeaseReplied, Token: token}
		event.Failed = err != nil || json.Unmarshal(reply, &event.Reply) != nil
		n.step(now, event)
	})
}

// requestHello asks a member for its Hello and passes the answer to the group. A failure is ignored: the group asks
// again.
func (n *Node) requestHello(now float64, to string) {
	n.request(now, to, []byte{messageHello}, func(now float64, reply []byte, err error) {
		var hello consensus.Hello
		if err == nil && json.Unmarshal(reply, &hello) == nil {
			n.step(now, consensus.Event{Kind: consensus.HelloReceived, Hello: hello})
		}
	})
}
