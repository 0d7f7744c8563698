// Package raftnode runs one member's end of the consensus group: it keeps the Raft log and snapshot in a store of their own and carries
// Raft messages, lease requests and queries between members over the cluster transport. It decides nothing; the rules are in package
// consensus.
//
// The transport's goroutine owns a Node. Methods may be called from it alone unless their comment says otherwise.
package raftnode

import (
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
	observeMS      = 100 // between two reads of the membership view
	releaseTimeout = 400 * time.Millisecond
)

// errStopping answers the requests that are open when the node closes. Its text is sent to peers.
var errStopping = errors.New("this member stops")

// Node is a member's end of the consensus group.
type Node struct {
	// OnEffect is called with the group's notifications that are not handled here. It must not block.
	OnEffect func(now float64, e consensus.Effect)

	// OnConfiguration, if set, is called when the members, the placement table or the members' addresses change.
	OnConfiguration func(Configuration)
	// OnIncarnation, if set, is called when this controller goes on under another incarnation.
	OnIncarnation func(incarnation uint64)

	// OnPlan, if set, is called when the plan or the operators' orders change, as far as this member knows.
	OnPlan func(now float64, p AgreedPlan)
	// OnPlanConfirmed, if set, is called with the number of a plan that was in force after a time.
	OnPlanConfirmed func(now float64, number uint64, at float64)

	group       *consensus.Group
	transport   *clusternet.Transport
	view        *membership.View
	storage     *storage // nil: this member never votes
	log         logrus.FieldLogger
	name        string
	incarnation uint64
	leaseUntil  atomic.Uint64 // a float64's bits, by the transport's clock
	stop        chan struct{}
	streams     map[string]chan []byte // Raft messages, by the voter's address

	lastToken    uint64
	leaseReplies map[uint64]func([]byte, error) // of lease requests that the group has not answered yet

	observeAt, configurationAt, wakeAt float64
	configurationStep                  uint64 // of the placement table that was reported last
	reportedViewHash                   uint64 // of the view, at that time

	Dropped atomic.Uint64 // Raft messages that were not sent
}

// New opens a member's end. Folder holds the Raft log; a member without a folder never votes.
func New(transport *clusternet.Transport, view *membership.View, folder vfs.FS, founders []string, settings consensus.Settings, seed uint32,
	log logrus.FieldLogger) (*Node, error) {
	self := view.Self()
	n := &Node{transport: transport, view: view, log: log, name: self.Name, incarnation: self.Incarnation, stop: make(chan struct{}),
		streams: map[string]chan []byte{}, leaseReplies: map[uint64]func([]byte, error){}, OnEffect: func(float64, consensus.Effect) {}}
	var persisted consensus.PersistedState
	folderID := ""
	if folder != nil {
		s, err := openStorage(folder, n, log)
		if err != nil {
			return nil, err
		}
		n.storage = s
		persisted = s.persisted
		folderID = s.id
	}
	n.group = consensus.New(transport.Now(), self.Name, self.Incarnation, folderID, founders, persisted, settings, seed)
	return n, nil
}

// LeaseHeld reports whether this controller may act on its lease at this moment. It may be called from any goroutine and is to be asked
// at the last step before anything is sent.
func (n *Node) LeaseHeld() bool { return n.transport.Now() < math.Float64frombits(n.leaseUntil.Load()) }

// Status returns the state of this member's end.
func (n *Node) Status(now float64) consensus.Status { return n.group.Status(now) }

// Leader returns the leader as far as this member knows, or "".
func (n *Node) Leader(now float64) string { return n.group.Status(now).Leader }

// otherLeader returns the leader, or "" if it is this member or not known.
func (n *Node) otherLeader(now float64) string {
	leader := n.Leader(now)
	if leader == n.name {
		return ""
	}
	return leader
}

// ReplaceVoter has a voter replaced by another member. It fails where this member does not lead.
func (n *Node) ReplaceVoter(now float64, from, to string) error {
	if leader := n.Leader(now); leader != n.name {
		return fmt.Errorf("this member does not lead the consensus group; %s does", leader)
	}
	n.step(now, consensus.Event{Kind: consensus.VoterMoveRequested, Name: from, To: to})
	return nil
}

// Next returns when Tick is to be called.
func (n *Node) Next() float64 { return n.wakeAt }

// Tick passes the membership view to the group and does what is due.
func (n *Node) Tick(now float64) {
	if now >= n.observeAt {
		n.observeAt = now + observeMS
		n.checkIncarnation(now)
		n.group.Observe(n.observations())
		n.refreshConfiguration(now)
	}
	n.step(now, consensus.Event{Kind: consensus.Ticked})
}

// checkIncarnation tells the group of a new incarnation of this controller.
func (n *Node) checkIncarnation(now float64) {
	incarnation := n.view.Self().Incarnation
	if incarnation == n.incarnation {
		return
	}
	n.incarnation = incarnation
	n.step(now, consensus.Event{Kind: consensus.IncarnationChanged, Incarnation: incarnation})
	if n.OnIncarnation != nil {
		n.OnIncarnation(incarnation)
	}
}

func (n *Node) observations() (list []consensus.Observation) {
	for _, m := range n.view.Members() {
		list = append(list, consensus.Observation{Name: m.Name, Incarnation: m.Incarnation, Alive: m.State.IsLive(),
			LeftGracefully: m.State == membership.Left, Address: m.Address, Zone: m.Zone,
			CanVote: m.Flags&membership.CanVote != 0, Duplicated: m.Flags&membership.Duplicated != 0})
	}
	return list
}

// ReleaseLease gives the lease back before a planned shutdown and waits a short time for the answer. It may be called from any goroutine
// but the transport's.
func (n *Node) ReleaseLease() {
	done := make(chan struct{})
	n.transport.Post(func(now float64) {
		leader := n.Leader(now)
		data, err := json.Marshal(leaseRequest{Name: n.name, Incarnation: n.incarnation, Release: true})
		if err != nil || leader == "" {
			close(done)
			return
		}
		n.step(now, consensus.Event{Kind: consensus.LeaseReturned}) // before the leader learns of it
		n.request(now, leader, append([]byte{messageLeaseRequest}, data...), func(float64, []byte, error) { close(done) })
	})
	select {
	case <-done:
	case <-time.After(releaseTimeout):
	}
}

// Close ends the node. The transport calls it last.
func (n *Node) Close() {
	close(n.stop)
	for _, reply := range n.leaseReplies {
		reply(nil, errStopping)
	}
	if n.storage != nil {
		n.storage.close()
	}
}
