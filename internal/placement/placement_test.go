package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// newMembers returns live members n0, n1, ... in their first incarnation, spread over three zones.
func newMembers(n int) (list []Member) {
	for i := range n {
		list = append(list, Member{Name: fmt.Sprint("n", i), Incarnation: 1, Zone: fmt.Sprint("z", i%3)})
	}
	return list
}

func TestTable_SpreadsReplicasOverZones(t *testing.T) {
	var table Table
	table.Reassign(newMembers(4), 2)
	assert.Empty(t, table.Partitions, "four members are too few for two copies")
	require.True(t, table.Reassign(newMembers(9), 0))
	replicasPerMember := map[string]int{}
	for _, partition := range table.Partitions {
		replicasPerZone := map[string]int{}
		for _, replica := range partition.Current {
			assert.True(t, replica.Ready, "replica on %s is not ready", replica.Name)
			replicasPerMember[replica.Name]++
			replicasPerZone[fmt.Sprint("z", int(replica.Name[1]-'0')%3)]++
		}
		assert.Len(t, partition.Current, 5)
		for zone, n := range replicasPerZone {
			assert.LessOrEqual(t, n, 2, "replicas of one partition in zone %s", zone)
		}
	}
	for name, n := range replicasPerMember {
		assert.InDelta(t, PartitionCount*5.0/9, n, 9, "replicas on member %s", name)
	}
	clone := table.Clone()
	for i := range clone.Partitions {
		clone.Partitions[i].Current[0].Name = "x"
	}
	assert.NotEqual(t, "x", table.Partitions[0].Current[0].Name, "a change of the clone reached the original")
}

// For any order of losses, returns and catch-ups, guards against a later quorum that shares no informed replica with an
// earlier one, as long as the partition never lost the majority of the replicas that hold its data.
func TestTable_LaterQuorumsShareReadyReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := newMembers(rapid.IntRange(5, 9).Draw(t, "members"))
		var table Table
		table.Reassign(members, rapid.IntRange(1, 2).Draw(t, "copies"))
		partitionID := rapid.IntRange(0, PartitionCount-1).Draw(t, "partition")
		informed := map[Replica]bool{} // replicas that store the message, with Ready unset
		identity := func(r Replica) Replica { r.Ready = false; return r }
		index := func() memberIndex { return indexMembers(members) }
		sent := false
		drawQuorum := func(label string) (quorum []Replica, ok bool) {
			partition := &table.Partitions[partitionID]
			for _, replicas := range [][]Replica{partition.Current, partition.Previous} {
				var live []Replica
				for _, r := range replicas {
					if index().isReplicaLive(r) {
						live = append(live, identity(r))
					}
				}
				if len(replicas) > 0 && len(live) < Quorum(len(replicas)) {
					return nil, false
				}
				for len(live) > Quorum(len(replicas)) && len(replicas) > 0 {
					i := rapid.IntRange(0, len(live)-1).Draw(t, label)
					live = slices.Delete(live, i, i+1)
				}
				quorum = append(quorum, live...)
			}
			return quorum, true
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step kind") {
			case 0: // a member is lost, unless too few are left
				live := 0
				for i := range members {
					if !members[i].Lost {
						live++
					}
				}
				i := rapid.IntRange(0, len(members)-1).Draw(t, "lost member")
				members[i].Lost = members[i].Lost || live > 3
				table.Reassign(members, 0)
			case 1: // a lost member returns as a new incarnation that stores nothing
				i := rapid.IntRange(0, len(members)-1).Draw(t, "returning member")
				if members[i].Lost {
					members[i].Lost, members[i].Incarnation = false, members[i].Incarnation+1
					table.Reassign(members, 0)
				}
			case 2: // a new replica catches up from a quorum of the previous ones
				partition := &table.Partitions[partitionID]
				for _, r := range partition.Current {
					if r.Ready || !index().isReplicaLive(r) || partition.Previous == nil {
						continue
					}
					sources, anyInformed := 0, false
					for _, source := range partition.Previous {
						if index().isReplicaLive(source) {
							sources++
							anyInformed = anyInformed || informed[identity(source)]
						}
					}
					if sources >= Quorum(len(partition.Previous)) {
						if anyInformed {
							informed[identity(r)] = true
						}
						table.MarkReady(members, r.Name, r.Incarnation, 1<<partitionID, table.Version)
					}
					break
				}
			case 3: // the first quorum stores the message; each later one must find it
				quorum, ok := drawQuorum("left out of quorum")
				if !ok {
					continue
				}
				if !sent {
					sent = true
					for _, r := range quorum {
						informed[r] = true
					}
					continue
				}
				if !slices.ContainsFunc(quorum, func(r Replica) bool { return informed[r] }) {
					t.Fatalf("no replica of quorum %v stores the message; replicas that store it: %v; partition %+v",
						quorum, informed, table.Partitions[partitionID])
				}
			}
		}
	})
}

func TestTable_GrantsEachPartitionToOneSuccessor(t *testing.T) {
	members := newMembers(5)
	var table Table
	table.Reassign(members, 1)
	claim := AdoptionClaim{Name: "n0", Incarnation: 1, Successor: "n1", SuccessorIncarnation: 1, Partitions: 0b110}
	assert.False(t, table.Claim(members, claim), "the owner is not lost")
	members[0].Lost = true
	table.Reassign(members, 0)
	assert.True(t, table.Claim(members, claim))
	assert.False(t, table.Claim(members, claim), "a repeated claim changes nothing")
	second := AdoptionClaim{Name: "n0", Incarnation: 1, Successor: "n2", SuccessorIncarnation: 1, Partitions: 0b111}
	assert.True(t, table.Claim(members, second), "the partitions that are left are granted")
	successor, _, _ := table.SuccessorOf("n0", 1, 2)
	assert.Equal(t, "n1", successor)
	successor, _, _ = table.SuccessorOf("n0", 1, 0)
	assert.Equal(t, "n2", successor)
	members[1].Lost = true
	table.Reassign(members, 0)
	_, _, claimed := table.SuccessorOf("n0", 1, 2)
	assert.False(t, claimed, "the successor n1 is lost, too")
	assert.True(t, table.Claim(members, second))
	settled := AdoptionClaim{Name: "n0", Incarnation: 1, Successor: "n2", SuccessorIncarnation: 1, Partitions: 0b011}
	assert.True(t, table.Settle(settled))
	_, _, claimed = table.SuccessorOf("n0", 1, 1)
	assert.False(t, claimed, "partition 1 is settled")
	byLost := AdoptionClaim{Name: "n0", Incarnation: 1, Successor: "n1", SuccessorIncarnation: 1, Partitions: 1}
	assert.False(t, table.Claim(members, byLost), "a lost member claims nothing")
}

// Guards against reinitializing a partition that has its quorum, or before a majority of its replicas is live again.
func TestTable_ReinitializesAfterQuorumLoss(t *testing.T) {
	members := newMembers(5)
	var table Table
	table.Reassign(members, 2)
	for i := range 3 {
		members[i].Lost = true
	}
	table.Reassign(members, 0)
	assert.False(t, table.Reinitialize(members, 1), "too few replicas are live")
	for i := range 3 {
		members[i].Lost, members[i].Incarnation = false, 2
	}
	table.Reassign(members, 0)
	require.NotNil(t, table.Partitions[0].Previous)
	assert.True(t, table.Reinitialize(members, 1))
	assert.Nil(t, table.Partitions[0].Previous)
	assert.NotNil(t, table.Partitions[1].Previous, "partition 1 is not in the mask")
	assert.False(t, table.Reinitialize(members, 1), "partition 0 has its quorum")
}
