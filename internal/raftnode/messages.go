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

// Kinds of messages between members. A message is its kind in one byte and its content. The values are part of the wire format.
const (
	messageRaft          = 'v' // the sender's name with its length in one byte ahead, and a Raft message
	messageLeaseRequest  = 'a' // a leaseRequest in JSON
	messageHello         = 'h'
	messageRecord        = 'r'
	messageConfiguration = 'l' // the step of the known placement table, a uvarint
	messageProposal      = 'p' // an entry
	messagePlan          = 'z' // the number of the known plan, a uvarint
)

// maxNameBytes is the longest name of a member in a Raft message.
const maxNameBytes = 64

// leaseRequest is the content of a messageLeaseRequest.
type leaseRequest struct {
	Name        string `json:"Name"`
	Incarnation uint64 `json:"Life"`
	Release     bool   `json:"Release,omitempty"`
}

// Handle takes a message from another member. Reply is called once, now or later.
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

func (n *Node) handleRaftMessage(now float64, content []byte) {
	if len(content) == 0 {
		return
	}
	size := int(content[0])
	if size > maxNameBytes || len(content) <= size {
		return
	}
	n.step(now, consensus.Event{Kind: consensus.MessageReceived, Name: string(content[1 : 1+size]), Data: content[1+size:]})
}

func (n *Node) handleLeaseRequest(now float64, content []byte, reply func([]byte, error)) {
	var request leaseRequest
	if json.Unmarshal(content, &request) != nil || request.Name == "" {
		reply(nil, errors.New("an asking that can't be read"))
		return
	}
	n.lastToken++
	n.leaseReplies[n.lastToken] = reply
	n.step(now, consensus.Event{Kind: consensus.LeaseRequested, Token: n.lastToken, Name: request.Name, Incarnation: request.Incarnation,
		Release: request.Release})
}

// handleConfigurationRequest answers with the configuration if this member leads and has a later one than is known, or with nothing.
func (n *Node) handleConfigurationRequest(now float64, content []byte, reply func([]byte, error)) {
	known, _ := binary.Uvarint(content)
	members, table := n.group.Configuration()
	if n.Leader(now) != n.name || table.Step <= known {
		reply(nil, nil)
		return
	}
	reply(json.Marshal(Configuration{Members: members, Table: table}))
}

// handlePlanRequest answers with the plan if this member leads and has a later one than is known, or with nothing.
func (n *Node) handlePlanRequest(now float64, content []byte, reply func([]byte, error)) {
	known, _ := binary.Uvarint(content)
	plan := n.agreedPlan(now)
	if n.Leader(now) != n.name || plan.Number <= known {
		reply(nil, nil)
		return
	}
	reply(json.Marshal(plan))
}

// address returns a member's address, or "".
func (n *Node) address(name string) string {
	m, _ := n.view.Find(name)
	return m.Address
}

// request sends a message to a member, which may be this one, and calls back with the reply on the transport's goroutine.
func (n *Node) request(now float64, to string, data []byte, callback func(now float64, reply []byte, err error)) {
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
	go deliver(nil, errors.New("it is not known where that member is"))
}

// Record returns the replicated record, from the leader where this member is no voter. It may be called from any goroutine but the
// transport's, and blocks until the answer is there.
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

// Propose has the leader propose an entry. The result shows in the configuration or the plan. It may be called from any goroutine.
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
