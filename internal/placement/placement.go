// Package placement decides which members store the replicas of each partition of all open requests, and who adopts what a lost incarnation
// left. It is a table that the consensus group agrees on: each change of it is a log entry that all members apply alike. It owns no clock,
// socket or goroutine, and chooses by hash alone, so that the same entries give the same table everywhere.
//
// It guarantees that two owners that each have a quorum of a partition, in whatever order replicas were replaced between them, share a
// replica that knows of the one when it is asked by the other, or that one of the two has no quorum.
package placement

import (
	"hash/fnv"
	"slices"
)

// PartitionCount is the number of partitions of all requests, by the hash of their keys.
const PartitionCount = 32

const (
	maxClaims = 1024 // claims on which nothing is left are settled and go by themselves
	maxCopies = 3
)

// Replica is a member that stores a partition.
type Replica struct {
	Name        string `json:"Name"`
	Incarnation uint64 `json:"Life"`
	Ready       bool   `json:"Ready,omitempty"` // it has all that the replicas before it had
}

// Partition is the replicas of a partition. While Previous is there, a quorum takes a majority of both.
type Partition struct {
	Current  []Replica `json:"Now,omitempty"`
	Previous []Replica `json:"Was,omitempty"`
}

// AdoptionClaim is what of a lost incarnation's requests its successor adopts.
type AdoptionClaim struct {
	Name                 string `json:"Name"` // the lost member
	Incarnation          uint64 `json:"Life"`
	Successor            string `json:"Heir"`
	SuccessorIncarnation uint64 `json:"HeirLife"`
	Partitions           uint32 `json:"Mask"` // as bits
}

// Member is a member as the consensus group has it.
type Member struct {
	Name        string `json:"Name"`
	Incarnation uint64 `json:"Life"`
	Lost        bool   `json:"Lost"`
	Zone        string `json:"Zone"`
}

// Table is the agreed placement.
type Table struct {
	Version    uint64          `json:"Version,omitempty"` // grows whenever replicas change: an acknowledgement counts in one version alone
	Step       uint64          `json:"Step,omitempty"`    // grows with each change, also of who is lost and of claims
	Copies     int             `json:"Copies,omitempty"`
	Partitions []Partition     `json:"Parts,omitempty"`
	Claims     []AdoptionClaim `json:"Claims,omitempty"`
}

// ReplicaCount returns how many replicas a partition has for a number of copies: any two majorities share a replica, and in each of them
// there are so many copies besides the owner's.
func ReplicaCount(copies int) int { return 2*copies + 1 }

// Quorum returns how many of a number of replicas are a majority.
func Quorum(replicas int) int { return replicas/2 + 1 }

// score ranks members for a partition; the same everywhere.
func score(partition int, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte{byte(partition)})
	_, _ = h.Write([]byte(name))
	x := h.Sum64() // its high bits hardly differ for names that end alike
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// memberIndex finds members by name.
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

// isLost reports whether an incarnation is over, as agreed.
func (x memberIndex) isLost(name string, incarnation uint64) bool {
	m := x[name]
	return m != nil && (m.Incarnation > incarnation || m.Incarnation == incarnation && m.Lost)
}

// hasReplica reports whether a replica is live.
func (x memberIndex) hasReplica(r Replica) bool { return x.isLive(r.Name, r.Incarnation) }

// countLive counts the live replicas.
func (x memberIndex) countLive(replicas []Replica) (n int) {
	for _, r := range replicas {
		if x.hasReplica(r) {
			n++
		}
	}
	return n
}

// countReady counts the live replicas that are ready.
func (x memberIndex) countReady(replicas []Replica) (n int) {
	for _, r := range replicas {
		if r.Ready && x.hasReplica(r) {
			n++
		}
	}
	return n
}

// majorityLive reports whether a majority of the replicas is live.
func (x memberIndex) majorityLive(replicas []Replica) bool {
	return x.countLive(replicas) >= Quorum(len(replicas))
}

// Clone returns a copy that later changes leave alone.
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
