// Package consensus keeps what the fleet agrees on: a replicated record, held by a few voters, of which incarnation of which controller
// is admitted and which is declared lost, and the leases that keep the two apart. It also replicates the placement table, the plan for
// traffic between zones and the operators' orders.
//
// Agreement is Raft's, by a library without I/O. A Group is a state machine around it: it takes events with the time at which they
// happened and returns effects for its caller to carry out. It owns no socket, disk, clock or goroutine.
//
// A controller that acts only while LeaseHeld reports true has stopped, by its own clock, before the group declares its incarnation
// lost, as long as clocks drift apart by no more than maxClockDrift, whatever pauses, fails or is partitioned in between. The holder
// counts its lease from when it asked, the leader from when it granted, which is later. A new leader does not know the grants of the one
// before it and declares nobody lost until all of them have expired.
package consensus

import (
	"fmt"
	"hash/crc32"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Group is one member's end of the consensus group: a voter, or a member that only requests leases. It is not safe for concurrent use.
type Group struct {
	name        string
	incarnation uint64
	folder      string // identity of the data folder; empty: it has none and never votes
	nodeID      uint64 // 0: it has no data folder
	founders    []string
	settings    Settings

	now     float64
	wakeAt  float64
	seed    uint32
	draws   uint64
	tokens  uint64 // the last that was used
	effects []Effect

	// Replication.
	node          *raft.RawNode
	storage       *raft.MemoryStorage
	confState     *raftpb.ConfState
	record        Record
	appliedIndex  uint64
	snapshotIndex uint64
	ready         *raft.Ready // the batch that is being persisted
	persistToken  uint64
	failed        bool
	votersChanged bool              // since the last snapshot
	peerNames     map[uint64]string // voters that sent messages, by their IDs; the record may not have them yet
	tickAt        float64
	hellos        map[string]Hello // of other founders
	helloAt       float64

	// Leadership.
	leaderID       uint64
	isLeader       bool
	rejectedLeader string // the leader by Raft's knowledge, which has denied it
	electionAt     float64
	reviewAt       float64

	// Leases and membership, on the leader.
	noLossUntil   float64 // leases that the leader before may have granted last until then
	grantedUntil  map[string]float64
	unseenSince   map[string]float64 // by name, and by voterKey
	proposedLost  map[string]uint64  // incarnations whose loss is proposed
	leaseRequests []leaseRequest     // that wait for a read index
	pendingReads  map[uint64][]leaseRequest
	observations  map[string]Observation

	// Voter replacement, on the leader.
	learner      Hello  // that is to become a voter
	replacedID   uint64 // the voter whose place it takes
	voterMove    voterMove
	confChangeAt float64

	lease ownLease
}

// New returns a member's end of the group. Folder identifies its data folder; a member without one never votes. Founders are the names
// of the members that form the group. Persisted is what was on the disk, if anything.
func New(now float64, name string, incarnation uint64, folder string, founders []string, persisted PersistedState, settings Settings,
	seed uint32) *Group {
	g := &Group{name: name, incarnation: incarnation, folder: folder, founders: founders, settings: settings, now: now, wakeAt: now, seed: seed,
		record: Record{Members: map[string]Member{}}, peerNames: map[uint64]string{}, hellos: map[string]Hello{},
		grantedUntil: map[string]float64{}, unseenSince: map[string]float64{}, proposedLost: map[string]uint64{},
		pendingReads: map[uint64][]leaseRequest{}, observations: map[string]Observation{}}
	g.tokens = uint64(g.random() * (1 << 32))
	if folder != "" {
		g.nodeID = NodeID(name, folder)
	}
	if persisted.Snapshot != nil {
		g.startNode(persisted)
	}
	return g
}

// random draws a number from [0, 1). Equal seeds give equal sequences.
func (g *Group) random() float64 {
	g.draws++
	return float64(crc32.ChecksumIEEE(fmt.Appendf(nil, "%d/%d", g.seed, g.draws))) / (1 << 32)
}

func (g *Group) nextToken() uint64 {
	g.tokens++
	return g.tokens
}

func (g *Group) emit(e Effect) { g.effects = append(g.effects, e) }

// fail stops this voter for good; the member goes on without voting.
func (g *Group) fail(reason string) {
	if !g.failed {
		g.failed = true
		g.emit(Effect{Kind: VoterFailed, Reason: reason})
	}
}

// failOn stops this voter if the Raft library or its storage returned an error.
func (g *Group) failOn(err error) {
	if err != nil {
		g.fail(err.Error())
	}
}

// Next returns when the group is to be given a Ticked event.
func (g *Group) Next() float64 { return g.wakeAt }

// Hello returns what this member tells of itself.
func (g *Group) Hello() Hello {
	return Hello{Name: g.name, Folder: g.folder, ID: g.nodeID, Founders: g.record.Founders, Voter: g.isVoter()}
}

func (g *Group) isVoter() bool {
	return g.confState != nil && slices.Contains(g.confState.GetVoters(), g.nodeID)
}

func (g *Group) isFounder() bool { return slices.Contains(g.founders, g.name) }

// isRunning reports whether this member takes part in Raft.
func (g *Group) isRunning() bool { return g.node != nil && !g.failed }

// mayForm reports whether this member has a data folder and no group yet.
func (g *Group) mayForm() bool { return g.node == nil && g.nodeID != 0 && !g.failed }

// Observe replaces what the membership view says of all members.
func (g *Group) Observe(list []Observation) {
	clear(g.observations)
	for _, o := range list {
		g.observations[o.Name] = o
	}
}

// Status returns the state of this member's end at a time.
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

// Step handles an event at a time in milliseconds and returns the effects. The slice is valid until the next call.
func (g *Group) Step(now float64, ev *Event) (effects []Effect) {
	g.effects = g.effects[:0]
	g.now = max(now, g.now)
	defer func() { // the library panics where its log contradicts a message; the process goes on without this voter
		if r := recover(); r != nil {
			g.fail(fmt.Sprint(r))
		}
		g.wakeAt = max(g.nextDue(), g.now+1)
		effects = g.effects
	}()
	g.handle(ev)
	g.tick()
	g.processReady()
	return
}

func (g *Group) handle(ev *Event) {
	switch ev.Kind {
	case MessageReceived:
		g.handleMessage(ev.Name, ev.Data)
	case Stored:
		g.handleStored(ev)
	case LeaseRequested:
		g.handleLeaseRequest(ev)
	case LeaseReplied:
		g.handleLeaseReply(ev)
	case HelloReceived:
		g.handleHello(&ev.Hello)
	case IncarnationChanged:
		g.incarnation = ev.Incarnation
		g.lease.until = 0
		g.lease.requestAt = g.now
	case LeaseReturned:
		g.lease.until = 0
		g.lease.token = 0
		g.lease.requestAt = math.Inf(1)
	case VoterMoveRequested:
		g.voterMove = voterMove{from: ev.Name, to: ev.To}
	case ProposalReceived:
		g.handleProposal(ev.Data)
	}
}

// tick does what is due.
func (g *Group) tick() {
	if g.mayForm() {
		g.greetFounders()
	}
	if g.isRunning() {
		g.tickNode()
		if !g.isLeader && g.now >= g.electionAt {
			g.startElection()
		}
		if g.isLeader && g.now >= g.reviewAt {
			g.reviewAt = g.now + reviewMS
			g.reviewMembers()
		}
	}
	g.renewLease()
}

// nextDue returns the earliest time at which something is due.
func (g *Group) nextDue() float64 {
	due := g.lease.nextDue()
	if g.isRunning() {
		due = min(due, g.tickAt)
		if !g.isLeader {
			due = min(due, g.electionAt)
		}
	} else if g.mayForm() && g.isFounder() {
		due = min(due, g.helloAt)
	}
	return due
}
