// Package raftnode connects a consensus.Group to the disk and the network: it persists the Raft log and snapshot in a
// store and carries Raft messages, lease requests and queries between members over the cluster transport. The rules of
// the protocol are in package consensus.
//
// A Node belongs to the transport's goroutine. Its methods may be called from that goroutine only, unless their comment
// says otherwise.
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
	observeIntervalMS = 100                    // time between two reads of the membership view
	releaseTimeout    = 400 * time.Millisecond // longest wait of ReleaseLease for the leader's answer
)

// errStopping is the reply to lease requests that are unanswered when the node closes. Its text is sent to peers.
var errStopping = errors.New("this member stops")

// Node runs a member's part of the consensus group.
type Node struct {
	// OnEffect is called with the effects of the group that Node does not handle itself. It must not block.
	OnEffect func(now float64, e consensus.Effect)

	// OnConfiguration, if set, is called when the members, the placement table or the members' addresses change.
	OnConfiguration func(Configuration)
	// OnIncarnation, if set, is called when this controller continues under another incarnation.
	OnIncarnation func(incarnation uint64)

	// OnPlan, if set, is called when this member learns of a change of the plan or of the operators' orders.
	OnPlan func(now float64, p AgreedPlan)
	// OnPlanConfirmed, if set, is called when the leader has confirmed that the plan with this number was in force at
	// some time later than after.
	OnPlanConfirmed func(now float64, number uint64, after float64)

	group       *consensus.Group
	transport   *clusternet.Transport
	view        *membership.View
	storage     *storage // nil: this member has no data folder and never votes
	log         logrus.FieldLogger
	name        string
	incarnation uint64
	leaseUntil  atomic.Uint64 // end of the lease by the transport's clock, as the bits of a float64
	stop        chan struct{}
	streams     map[string]chan []byte // queues of Raft messages, by the recipient's address

	lastToken    uint64
	leaseReplies map[uint64]func([]byte, error) // reply functions of unanswered lease requests, by token

	nextObserveAt, nextConfigurationCheckAt, wakeAt float64
	configurationStep                               uint64 // step of the placement table reported last
	reportedViewHash                                uint64 // hash of the membership view at the last report

	// Dropped counts the Raft messages that were not delivered to the recipient's transport.
	Dropped atomic.Uint64
}

// New returns a member's node and opens its storage. Folder holds the Raft state; a member without a folder never
// votes. Founders are the names of the members that form the group.
func New(transport *clusternet.Transport, view *membership.View, folder vfs.FS, founders []string,
	settings consensus.Settings, seed uint32, log logrus.FieldLogger) (*Node, error) {
	self := view.Self()
	n := &Node{transport: transport, view: view, log: log, name: self.Name, incarnation: self.Incarnation,
		stop: make(chan struct{}), streams: map[string]chan []byte{}, leaseReplies: map[uint64]func([]byte, error){},
		OnEffect: func(float64, consensus.Effect) {}}
	var persisted consensus.PersistedState
	folderID := ""
	if folder != nil {
		s, err := openStorage(folder, n, log)
		if err != nil {
			return nil, err
		}
		n.storage = s
		persisted = s.persisted
		folderID = s.folderID
	}
	n.group = consensus.New(transport.Now(), self.Name, self.Incarnation, folderID, founders, persisted, settings, seed)
	return n, nil
}

// LeaseHeld reports whether this controller holds its lease now. Check it immediately before sending anything that
// requires the lease. It may be called from any goroutine.
func (n *Node) LeaseHeld() bool { return n.transport.Now() < math.Float64frombits(n.leaseUntil.Load()) }

// Status returns this member's state in the group.
func (n *Node) Status(now float64) consensus.Status { return n.group.Status(now) }

// Leader returns the name of the leader as far as this member knows, or "".
func (n *Node) Leader(now float64) string { return n.group.Status(now).Leader }

// otherLeader returns the name of the leader, or "" if the leader is this member or is not known.
func (n *Node) otherLeader(now float64) string {
	leader := n.Leader(now)
	if leader == n.name {
		return ""
	}
	return leader
}

// ReplaceVoter starts the replacement of the voter from by the member to. It fails if this member is not the leader.
func (n *Node) ReplaceVoter(now float64, from, to string) error {
	if leader := n.Leader(now); leader != n.name {
		return fmt.Errorf("this member does not lead the consensus group; %s does", leader)
	}
	n.step(now, consensus.Event{Kind: consensus.VoterReplacementRequested, Name: from, To: to})
	return nil
}

// Next returns the time at which Tick is to be called.
func (n *Node) Next() float64 { return n.wakeAt }

// Tick passes the membership view to the group at intervals of observeIntervalMS and runs the work of the group that is
// due.
func (n *Node) Tick(now float64) {
	if now >= n.nextObserveAt {
		n.nextObserveAt = now + observeIntervalMS
		n.checkIncarnation(now)
		n.group.Observe(n.observations())
		n.refreshConfiguration(now)
	}
	n.step(now, consensus.Event{Kind: consensus.Ticked})
}

// checkIncarnation notifies the group and OnIncarnation if the membership view has raised this controller's
// incarnation.
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

// observations converts the membership view for the group.
func (n *Node) observations() (list []consensus.Observation) {
	for _, m := range n.view.Members() {
		list = append(list, consensus.Observation{Name: m.Name, Incarnation: m.Incarnation, Alive: m.State.IsLive(),
			LeftGracefully: m.State == membership.Left, Address: m.Address, Zone: m.Zone,
			CanVote: m.Flags&membership.CanVote != 0, Duplicated: m.Flags&membership.Duplicated != 0})
	}
	return list
}

// ReleaseLease releases the lease before a graceful shutdown and waits up to releaseTimeout for the answer. It may be
// called from any goroutine but the transport's.
func (n *Node) ReleaseLease() {
	done := make(chan struct{})
	n.transport.Post(func(now float64) {
		leader := n.Leader(now)
		data, err := json.Marshal(leaseRequest{Name: n.name, Incarnation: n.incarnation, Release: true})
		if err != nil || leader == "" {
			close(done)
			return
		}
		n.step(now, consensus.Event{Kind: consensus.LeaseReleased}) // this controller stops acting on the lease first
		n.request(now, leader, append([]byte{messageLeaseRequest}, data...), func(float64, []byte, error) { close(done) })
	})
	select {
	case <-done:
	case <-time.After(releaseTimeout):
	}
}

// Close stops the node and closes its storage. It is the last call that the transport makes.
func (n *Node) Close() {
	close(n.stop)
	for _, reply := range n.leaseReplies {
		reply(nil, errStopping)
	}
	if n.storage != nil {
		n.storage.close()
	}
}
