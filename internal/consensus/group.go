// Package consensus replicates the state that the controllers of a fleet agree on. A few voters hold a record of the
// incarnation of each controller that is admitted or declared lost, and the leader grants leases to admitted
// incarnations. The record also includes the placement table, the plan for traffic between zones and the operators'
// orders.
//
// Replication uses the etcd Raft library, which does no I/O. A Group is a state machine around it: it takes events with
// the time at which they happened and returns effects for its caller to carry out. It owns no socket, disk, clock or
// goroutine.
//
// Leases guarantee that a controller that acts only while LeaseHeld reports true has stopped before the group declares
// its incarnation lost, whatever pauses, fails or is partitioned, as long as clocks drift apart by no more than
// maxClockDrift. The holder counts its lease from when it sent the request, the leader from when it granted the lease,
// which is later. A new leader does not know the leases granted by the previous one and declares no member lost until
// all of them have expired.
package consensus

import (
	"fmt"
	"hash/crc32"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Group is one member's part of the consensus group: that of a voter, or of a member that only requests leases. It is
// not safe for concurrent use.
type Group struct {
	name        string
	incarnation uint64
	folder      string // ID of the data folder; empty: the member has none and never votes
	nodeID      uint64 // Raft ID; 0: the member has no data folder
	founders    []string
	settings    Settings

	now         float64 // time of the current event
	wakeAt      float64 // when the next Ticked event is due
	seed        uint32
	randomDraws uint64 // random numbers drawn so far
	lastToken   uint64
	effects     []Effect // of the current event

	// Replication.
	node          *raft.RawNode
	storage       *raft.MemoryStorage
	confState     *raftpb.ConfState
	record        Record
	appliedIndex  uint64
	appliedTerm   uint64 // of the last entry that was applied
	snapshotIndex uint64
	queuedWrites  []*raftWrite      // writes that wait for the one in flight
	writing       *raftWrite        // the write in flight; nil: none
	writeToken    uint64            // token of the Persist effect of that write
	writingSince  float64           // when that effect was emitted
	failed        bool              // this member has stopped voting for good
	votersChanged bool              // since the last snapshot
	peerNames     map[uint64]string // names of Raft message senders, by ID; the record may lack them
	nextTickAt    float64
	hellos        map[string]Hello // received from other members that know of no group, by name
	groupKnown    bool             // another member has shown that a group exists
	nextHelloAt   float64

	// Leadership.
	leaderID       uint64
	isLeader       bool
	rejectedLeader string // the leader known from Raft, if it has replied that it does not lead
	electionDueAt  float64
	nextReviewAt   float64

	// Leases and membership, on the leader.
	noLossUntil   float64                   // by then, the leases granted by previous leaders have expired
	grantedUntil  map[string]float64        // end of the last lease granted, by member name
	unseenSince   map[string]float64        // since when a member, or a voter by its voterKey, has been unreachable
	proposedLost  map[string]uint64         // incarnations proposed to be declared lost, by member name
	leaseRequests []leaseRequest            // requests that wait for the next read index
	pendingReads  map[uint64][]leaseRequest // requests that wait for a read index in flight, by its token

	// confirmedReads are read indexes that a quorum has confirmed, but whose entries are not all applied yet.
	confirmedReads []raft.ReadState

	observations map[string]Observation // the membership view, by member name

	// Voter replacement, on the leader.
	learner              Hello            // the member that is to become a voter
	replacedID           uint64           // ID of the voter that the learner replaces; 0: none
	requestedReplacement voterReplacement // requested by an operator
	confChangeProposedAt float64          // 0: no configuration change is pending

	lease ownLease
}

// New returns a member's part of the group. Folder is the ID of its data folder; a member without one never votes.
// Founders are the names of the members that form the group. Persisted is the state recovered from the disk, if any.
func New(now float64, name string, incarnation uint64, folder string, founders []string, persisted PersistedState,
	settings Settings, seed uint32) *Group {
	g := &Group{name: name, incarnation: incarnation, folder: folder, founders: founders, settings: settings,
		now: now, wakeAt: now, seed: seed,
		record: Record{Members: map[string]Member{}}, peerNames: map[uint64]string{}, hellos: map[string]Hello{},
		grantedUntil: map[string]float64{}, unseenSince: map[string]float64{}, proposedLost: map[string]uint64{},
		pendingReads: map[uint64][]leaseRequest{}, observations: map[string]Observation{}}
	g.lastToken = uint64(g.random() * (1 << 32))
	if folder != "" {
		g.nodeID = NodeID(name, folder)
	}
	if persisted.Snapshot != nil {
		g.startNode(persisted)
	}
	return g
}

// random returns a pseudorandom number in [0, 1). Equal seeds give equal sequences.
func (g *Group) random() float64 {
	g.randomDraws++
	return float64(crc32.ChecksumIEEE(fmt.Appendf(nil, "%d/%d", g.seed, g.randomDraws))) / (1 << 32)
}

func (g *Group) nextToken() uint64 {
	g.lastToken++
	return g.lastToken
}

func (g *Group) emit(e Effect) { g.effects = append(g.effects, e) }

// fail stops this voter for good. The member continues without voting.
func (g *Group) fail(reason string) {
	if !g.failed {
		g.failed = true
		g.emit(Effect{Kind: VoterFailed, Reason: reason})
		g.forgetLeader()
	}
}

// failOn stops this voter if the Raft library or its storage returned an error.
func (g *Group) failOn(err error) {
	if err != nil {
		g.fail(err.Error())
	}
}

// Next returns the time at which Step is to be called with a Ticked event, unless another event comes first.
func (g *Group) Next() float64 { return g.wakeAt }

// Hello returns this member's answer to a Hello request.
func (g *Group) Hello() Hello {
	return Hello{Name: g.name, Folder: g.folder, ID: g.nodeID, Founders: g.record.Founders, Voter: g.isVoter(),
		GroupKnown: g.groupKnown}
}

func (g *Group) isVoter() bool {
	return g.confState != nil && slices.Contains(g.confState.GetVoters(), g.nodeID)
}

func (g *Group) isFounder() bool { return slices.Contains(g.founders, g.name) }

// isRunning reports whether this member takes part in Raft.
func (g *Group) isRunning() bool { return g.node != nil && !g.failed }

// canFormGroup reports whether this member could become a voter but has not joined a group yet.
func (g *Group) canFormGroup() bool { return g.node == nil && g.nodeID != 0 && !g.failed }

// Observe replaces the observations of all members by those of the membership view.
func (g *Group) Observe(list []Observation) {
	clear(g.observations)
	for _, o := range list {
		g.observations[o.Name] = o
	}
}

// Status returns this member's state in the group at the given time.
func (g *Group) Status(now float64) Status {
	s := Status{Formed: g.confState != nil || len(g.record.Founders) > 0, Failed: g.failed, Leader: g.presumedLeader(),
		Applied: g.appliedIndex, LeaseHeld: g.LeaseHeld(now), LeaseLeftMS: max(0, g.lease.until-now), Record: g.record}
	if g.node != nil {
		basic := g.node.BasicStatus()
		s.Term = basic.GetTerm()
		s.Commit = basic.GetCommit()
		s.Voter = g.isVoter()
		first, _ := g.storage.FirstIndex()
		last, _ := g.storage.LastIndex()
		s.LogEntries = last + 1 - first
	}
	return s
}

// Step handles an event at a time in milliseconds and returns the effects. The returned slice is valid until the next
// call.
func (g *Group) Step(now float64, event *Event) (effects []Effect) {
	g.effects = g.effects[:0]
	g.now = max(now, g.now)
	defer func() { // the Raft library panics if a message contradicts its log; only this voter stops, not the process
		if r := recover(); r != nil {
			g.fail(fmt.Sprint(r))
		}
		g.wakeAt = max(g.nextDue(), g.now+1)
		effects = g.effects
	}()
	g.handle(event)
	g.tick()
	g.processReady()
	return
}

func (g *Group) handle(event *Event) {
	switch event.Kind {
	case MessageReceived:
		g.handleMessage(event.Name, event.Data)
	case Stored:
		g.handleStored(event)
	case LeaseRequested:
		g.handleLeaseRequest(event)
	case LeaseReplied:
		g.handleLeaseReply(event)
	case HelloReceived:
		g.handleHello(&event.Hello)
	case IncarnationChanged:
		g.incarnation = event.Incarnation
		g.lease.until = 0
		g.lease.nextRequestAt = g.now
	case LeaseReleased:
		g.lease.until = 0
		g.lease.token = 0
		g.lease.nextRequestAt = math.Inf(1)
	case VoterReplacementRequested:
		g.requestedReplacement = voterReplacement{from: event.Name, to: event.To}
	case ProposalReceived:
		g.handleProposal(event.Data)
	}
}

// tick runs the periodic work that is due.
func (g *Group) tick() {
	if g.canFormGroup() {
		g.requestHellos()
	}
	if g.isRunning() {
		g.tickNode()
		if !g.isLeader && g.now >= g.electionDueAt {
			g.startElection()
		}
		if g.isLeader && g.now >= g.nextReviewAt {
			g.nextReviewAt = g.now + reviewIntervalMS
			g.reviewMembers()
		}
	}
	g.renewLease()
}

// nextDue returns the earliest time at which tick has work.
func (g *Group) nextDue() float64 {
	due := g.lease.nextDue()
	if g.isRunning() {
		due = min(due, g.nextTickAt)
		if !g.isLeader {
			due = min(due, g.electionDueAt)
		}
	} else if g.canFormGroup() && g.isFounder() {
		due = min(due, g.nextHelloAt)
	}
	return due
}
