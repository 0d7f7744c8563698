package raftnode

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"liftshift/internal/clusternet"
	"liftshift/internal/consensus"
	"liftshift/internal/membership"
)

// Kinds of messages between members. A message is one byte with its kind, followed by its content. The values are part
// of the wire format.
const (
	messageRaft          = 'v' // the length of the sender's name in one byte, the name, and a Raft message
	messageLeaseRequest  = 'a' // a leaseRequest in JSON; answered by a consensus.LeaseReply
	messageHello         = 'h' // empty; answered by a consensus.Hello
	messageRecord        = 'r' // empty; answered by a consensus.Record
	messageConfiguration = 'l' // uvarint: the step of the known placement table; answered by a newer Configuration
	messageProposal      = 'p' // an encoded log entry, to be proposed by the leader
	messagePlan          = 'z' // uvarint: the number of the known plan; answered by a newer AgreedPlan
)

// maxNameBytes is the largest length of the sender's name in a messageRaft.
const maxNameBytes = 64

// leaseRequest is the content of a messageLeaseRequest: a request for a lease, or the release of one.
type leaseRequest struct {
	Name        string `json:"Name"`
	Incarnation uint64 `json:"Life"`
	Release     bool   `json:"Release,omitempty"`
}

// Handle processes a message from another member. It calls reply once, at once or later.
func (n *Node) Handle(now float64, data []byte, reply func([]byte, error)) {
	if len(data) == 0 {
		reply(nil, errors.New("nothing is said"))
		return
	}
	kind := data[0]
	content := data[1:]
	switch kind {
	case messageRaft:
		n.handleRaftMessage(now, content)
		reply(nil, nil)
	case messageLeaseRequest:
		n.handleLeaseRequest(now, content, reply)
	case messageConfiguration:
		n.handleConfigurationRequest(now, content, reply)
	case messagePlan:
		n.handlePlanRequest(now, content, reply)
	case messageProposal:
		n.step(now, consensus.Event{Kind: consensus.ProposalReceived, Data: content})
		reply(nil, nil)
	case messageHello:
		reply(json.Marshal(n.group.Hello()))
	case messageRecord:
		reply(json.Marshal(n.group.Status(now).Record))
	default:
		reply(nil, fmt.Errorf("what is said is of a kind %q that is not known here", kind))
	}
}

// handleRaftMessage passes the content of a messageRaft to the group. Malformed content is ignored.
func (n *Node) handleRaftMessage(now float64, content []byte) {
	if len(content) == 0 {
		return
	}
	size := int(content[0])
	if size > maxNameBytes || len(content) <= size {
		return
	}
	name := string(content[1 : 1+size])
	n.step(now, consensus.Event{Kind: consensus.MessageReceived, Name: name, Data: content[1+size:]})
}

// handleLeaseRequest passes a lease request to the group. Its ReplyLease effect answers it.
func (n *Node) handleLeaseRequest(now float64, content []byte, reply func([]byte, error)) {
	var request leaseRequest
	if json.Unmarshal(content, &request) != nil || request.Name == "" {
		reply(nil, errors.New("an asking that can't be read"))
		return
	}
	n.lastToken++
	n.leaseReplies[n.lastToken] = reply
	n.step(now, consensus.Event{Kind: consensus.LeaseRequested, Token: n.lastToken, Name: request.Name,
		Incarnation: request.Incarnation, Release: request.Release})
}

// handleConfigurationRequest answers with the configuration if this member leads and has a newer one than the
// requester; otherwise the answer is empty.
func (n *Node) handleConfigurationRequest(now float64, content []byte, reply func([]byte, error)) {
	known, _ := binary.Uvarint(content)
	members, table := n.group.Configuration()
	if n.Leader(now) != n.name || table.Step <= known {
		reply(nil, nil)
		return
	}
	reply(json.Marshal(Configuration{Members: members, Table: table}))
}

// handlePlanRequest answers with the plan if this member leads and has a newer one than the requester; otherwise the
// answer is empty.
func (n *Node) handlePlanRequest(now float64, content []byte, reply func([]byte, error)) {
	known, _ := binary.Uvarint(content)
	plan := n.agreedPlan(now)
	if n.Leader(now) != n.name || plan.Number <= known {
		reply(nil, nil)
		return
	}
	reply(json.Marshal(plan))
}

// address returns a member's address, or "" if the membership view does not know it.
func (n *Node) address(name string) string {
	m, _ := n.view.Find(name)
	return m.Address
}

// request sends a message to a member, which may be this one, and passes the reply to callback on the transport's
// goroutine.
func (n *Node) request(now float64, to string, data []byte,
	callback func(now float64, reply []byte, err error)) {
	deliver := func(reply []byte, err error) {
		n.transport.Post(func(now float64) { callback(now, reply, err) })
	}
	if to == n.name {
		n.Handle(now, data, func(reply []byte, err error) { go deliver(reply, err) })
		return
	}
	if address := n.address(to); address != "" {
		n.transport.Call(address, clusternet.ConsensusMethod, data, deliver)
		return
	}
	go deliver(nil, fmt.Errorf("the address of member %q is not known", to))
}

// Record returns the replicated record. A member that is not a voter gets it from the leader. Record blocks until the
// leader has answered and may be called from any goroutine but the transport's.
func (n *Node) Record() (r consensus.Record, err error) {
	leaderAddress := ""
	n.transport.Do(func(now float64, _ *membership.View) {
		status := n.group.Status(now)
		r = status.Record
		if !status.Voter && status.Leader != n.name {
			leaderAddress = n.address(status.Leader)
		}
	})
	if leaderAddress == "" {
		return r, nil
	}
	data, err := n.transport.CallSync(leaderAddress, clusternet.ConsensusMethod, []byte{messageRecord})
	if err == nil {
		err = json.Unmarshal(data, &r)
	}
	return r, err
}

// Propose sends an encoded log entry to the leader, which proposes it. There is no confirmation: a committed entry
// shows in the configuration or the plan. Propose may be called from any goroutine.
func (n *Node) Propose(entry []byte) {
	go n.transport.Post(func(now float64) {
		switch leader := n.Leader(now); leader {
		case "":
		case n.name:
			n.step(now, consensus.Event{Kind: consensus.ProposalReceived, Data: entry})
		default:
			n.request(now, leader, append([]byte{messageProposal}, entry...), func(float64, []byte, error) {})
		}
	})
}
