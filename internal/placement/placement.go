// Package placement assigns the replicas of each partition of the open requests to members, and the requests of lost
// incarnations to the successors that adopt them. The result is a Table that the consensus group replicates: each
// change is a log entry that every member applies. The package uses no clock, I/O or goroutine and ranks members by
// hash, so that the same entries produce the same table on every member.
//
// Any two quorums of a partition share a replica that stores what was written to the earlier quorum, however many
// replicas were replaced between the two. Where this cannot hold, because too many replicas were lost, the later quorum
// cannot be formed.
package placement

import (
	"hash/fnv"
	"slices"
)

// PartitionCount is the number of partitions that the requests are divided into by the hashes of their keys.
const PartitionCount = 32

const (
	maxClaims = 1024 // bounds the size of the table; settled claims are removed from it
	maxCopies = 3
)

// Replica is a member incarnation that stores a partition.
type Replica struct {
	Name        string `json:"Name"`
	Incarnation uint64 `json:"Life"`
	Ready       bool   `json:"Ready,omitempty"` // it has copied what the previous replicas store
}

// Partition lists the replicas of one partition. While Previous is set, a quorum needs a majority of both lists.
type Partition struct {
	Current  []Replica `json:"Now,omitempty"`
	Previous []Replica `json:"Was,omitempty"`
}

// AdoptionClaim grants a successor the right to adopt the requests of a lost incarnation in some partitions.
type AdoptionClaim struct {
	Name                 string `json:"Name"` // the lost member
	Incarnation          uint64 `json:"Life"` // the lost incarnation of that member
	Successor            string `json:"Heir"`
	SuccessorIncarnation uint64 `json:"HeirLife"`
	Partitions           uint32 `json:"Mask"` // bit i stands for partition i
}

// Member describes a member as agreed by the consensus group.
type Member struct {
	Name        string `json:"Name"`
	Incarnation uint64 `json:"Life"`
	Lost        bool   `json:"Lost"`
	Zone        string `json:"Zone"`
}

// Table is the replicated placement table.
type Table struct {
	// Version is incremented whenever replicas are reassigned. An acknowledgement counts only in the version that it
	// was sent for.
	Version uint64 `json:"Version,omitempty"`
	// Step is incremented with every change of the table or of the lost members.
	Step       uint64          `json:"Step,omitempty"`
	Copies     int             `json:"Copies,omitempty"` // copies of a request besides its owner's; 0: replication is off
	Partitions []Partition     `json:"Parts,omitempty"`
	Claims     []AdoptionClaim `json:"Claims,omitempty"`
}

// ReplicaCount returns the number of replicas per partition for a number of copies. Any two majorities share a replica,
// and each majority stores that many copies besides the owner's.
func ReplicaCount(copies int) int { return 2*copies + 1 }

// Quorum returns the size of a majority of a number of replicas.
func Quorum(replicas int) int { return replicas/2 + 1 }

// score ranks a member as a replica of a partition by rendezvous hashing. It is deterministic, so that all members
// agree on the ranking.
func score(partitionID int, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte{byte(partitionID)})
	_, _ = h.Write([]byte(name))
	// FNV mixes the last bytes poorly into the high bits. The finalizer of MurmurHash3 spreads them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// memberIndex maps names to members.
type memberIndex map[string]*Member

func indexMembers(members []Member) memberIndex {
	index := make(memberIndex, len(members))
	for i := range members {
		index[members[i].Name] = &members[i]
	}
	return index
}

// isLive reports whether an incarnation is the current one of a member that is not lost.
func (x memberIndex) isLive(name string, incarnation uint64) bool {
	m := x[name]
	return m != nil && !m.Lost && m.Incarnation == incarnation
}

// isLost reports whether the consensus group has declared an incarnation lost or admitted a later one of the same
// member.
func (x memberIndex) isLost(name string, incarnation uint64) bool {
	m := x[name]
	return m != nil && (m.Incarnation > incarnation || m.Incarnation == incarnation && m.Lost)
}

// isReplicaLive reports whether the incarnation that holds a replica is live.
func (x memberIndex) isReplicaLive(r Replica) bool { return x.isLive(r.Name, r.Incarnation) }

// countLive counts the live replicas.
func (x memberIndex) countLive(replicas []Replica) (n int) {
	for _, r := range replicas {
		if x.isReplicaLive(r) {
			n++
		}
	}
	return n
}

// countReady counts the replicas that are both live and ready.
func (x memberIndex) countReady(replicas []Replica) (n int) {
	for _, r := range replicas {
		if r.Ready && x.isReplicaLive(r) {
			n++
		}
	}
	return n
}

// majorityLive reports whether a majority of the replicas is live.
func (x memberIndex) majorityLive(replicas []Replica) bool {
	return x.countLive(replicas) >= Quorum(len(replicas))
}

// Clone returns a deep copy of the table.
func (t *Table) Clone() Table {
	c := *t
	c.Partitions = slices.Clone(t.Partitions)
	for i := range c.Partitions {
		p := &c.Partitions[i]
		p.Current = slices.Clone(p.Current)
		p.Previous = slices.Clone(p.Previous)
	}
	c.Claims = slices.Clone(t.Claims)
	return c
}
