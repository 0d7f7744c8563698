package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func members(n int) (list []Member) {
	for k := range n {
		list = append(list, Member{Name: fmt.Sprint("n", k), Incarnation: 1, Zone: fmt.Sprint("z", k%3)})
	}
	return list
}

func TestTable_SpreadsReplicasOverZones(t *testing.T) {
	var table Table
	table.Reassign(members(4), 2)
	assert.Empty(t, table.Partitions, "too few for two copies")
	require.True(t, table.Reassign(members(9), 0))
	perMember := map[string]int{}
	for _, p := range table.Partitions {
		zones := map[string]int{}
		for _, c := range p.Current {
			assert.True(t, c.Ready)
			perMember[c.Name]++
			zones[fmt.Sprint("z", int(c.Name[1]-'0')%3)]++
		}
		assert.Len(t, p.Current, 5)
		for _, n := range zones {
			assert.LessOrEqual(t, n, 2)
		}
	}
	for name, n := range perMember {
		assert.InDelta(t, PartitionCount*5.0/9, n, 9, name)
	}
	small := table.Clone()
	for k := range small.Partitions {
		small.Partitions[k].Current[0].Name = "x"
	}
	assert.NotEqual(t, "x", table.Partitions[0].Current[0].Name)
}

// Whoever is lost, comes back or catches up, in any order: a later message's quorum shares a replica with an earlier one's that still knows
// of it, as long as no partition lost a majority of those that counted.
func TestTable_LaterQuorumsShareReadyReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agreed := members(rapid.IntRange(5, 9).Draw(t, "members"))
		var table Table
		table.Reassign(agreed, rapid.IntRange(1, 2).Draw(t, "copies"))
		partition := rapid.IntRange(0, PartitionCount-1).Draw(t, "part")
		knows := map[Replica]bool{} // incarnations that store the message
		identity := func(c Replica) Replica { c.Ready = false; return c }
		index := func() memberIndex { return indexMembers(agreed) }
		sent := false
		quorum := func(label string) (who []Replica, ok bool) {
			p := &table.Partitions[partition]
			for _, list := range [][]Replica{p.Current, p.Previous} {
				var live []Replica
				for _, c := range list {
					if index().hasReplica(c) {
						live = append(live, identity(c))
					}
				}
				if len(list) > 0 && len(live) < Quorum(len(list)) {
					return nil, false
				}
				for len(live) > Quorum(len(list)) && len(list) > 0 {
					k := rapid.IntRange(0, len(live)-1).Draw(t, label)
					live = slices.Delete(live, k, k+1)
				}
				who = append(who, live...)
			}
			return who, true
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // one is lost
				living := 0
				for k := range agreed {
					if !agreed[k].Lost {
						living++
					}
				}
				k := rapid.IntRange(0, len(agreed)-1).Draw(t, "lost")
				agreed[k].Lost = agreed[k].Lost || living > 3
				table.Reassign(agreed, 0)
			case 1: // one comes back, and knows nothing
				k := rapid.IntRange(0, len(agreed)-1).Draw(t, "back")
				if agreed[k].Lost {
					agreed[k].Lost, agreed[k].Incarnation = false, agreed[k].Incarnation+1
					table.Reassign(agreed, 0)
				}
			case 2: // a replica catches up from a quorum of the previous ones
				p := &table.Partitions[partition]
				for _, c := range p.Current {
					if c.Ready || !index().hasReplica(c) || p.Previous == nil {
						continue
					}
					n, any := 0, false
					for _, o := range p.Previous {
						if index().hasReplica(o) {
							n++
							any = any || knows[identity(o)]
						}
					}
					if n >= Quorum(len(p.Previous)) {
						if any {
							knows[identity(c)] = true
						}
						table.MarkReady(agreed, c.Name, c.Incarnation, 1<<partition, table.Version)
					}
					break
				}
			case 3:
				who, ok := quorum("who")
				if !ok {
					continue
				}
				if !sent {
					sent = true
					for _, c := range who {
						knows[c] = true
					}
					continue
				}
				if !slices.ContainsFunc(who, func(c Replica) bool { return knows[c] }) {
					t.Fatalf("a quorum of %v that knows nothing; those that know: %v; partition %+v", who, knows, table.Partitions[partition])
				}
			}
		}
	})
}

func TestTable_Claims(t *testing.T) {
	agreed := members(5)
	var table Table
	table.Reassign(agreed, 1)
	claim := AdoptionClaim{Name: "n0", Incarnation: 1, Successor: "n1", SuccessorIncarnation: 1, Partitions: 0b110}
	assert.False(t, table.Claim(agreed, claim), "it is not lost")
	agreed[0].Lost = true
	table.Reassign(agreed, 0)
	assert.True(t, table.Claim(agreed, claim))
	assert.False(t, table.Claim(agreed, claim), "a repeat changes nothing")
	other := AdoptionClaim{Name: "n0", Incarnation: 1, Successor: "n2", SuccessorIncarnation: 1, Partitions: 0b111}
	assert.True(t, table.Claim(agreed, other), "what is left")
	who, _, _ := table.SuccessorOf("n0", 1, 2)
	assert.Equal(t, "n1", who)
	who, _, _ = table.SuccessorOf("n0", 1, 0)
	assert.Equal(t, "n2", who)
	agreed[1].Lost = true
	table.Reassign(agreed, 0)
	_, _, claimed := table.SuccessorOf("n0", 1, 2)
	assert.False(t, claimed, "the successor is lost, too")
	assert.True(t, table.Claim(agreed, other))
	assert.True(t, table.Settle(AdoptionClaim{Name: "n0", Incarnation: 1, Successor: "n2", SuccessorIncarnation: 1, Partitions: 0b011}))
	_, _, claimed = table.SuccessorOf("n0", 1, 1)
	assert.False(t, claimed)
	assert.False(t, table.Claim(agreed, AdoptionClaim{Name: "n0", Incarnation: 1, Successor: "n1", SuccessorIncarnation: 1, Partitions: 1}), "a lost member claims nothing")
}

// A partition that lost its quorum begins anew only when that is agreed, and once enough replicas are live.
func TestTable_ReinitializesAfterQuorumLoss(t *testing.T) {
	agreed := members(5)
	var table Table
	table.Reassign(agreed, 2)
	for k := range 3 {
		agreed[k].Lost = true
	}
	table.Reassign(agreed, 0)
	assert.False(t, table.Reinitialize(agreed, 1), "too few are live")
	for k := range 3 {
		agreed[k].Lost, agreed[k].Incarnation = false, 2
	}
	table.Reassign(agreed, 0)
	require.NotNil(t, table.Partitions[0].Previous)
	assert.True(t, table.Reinitialize(agreed, 1))
	assert.Nil(t, table.Partitions[0].Previous)
	assert.NotNil(t, table.Partitions[1].Previous)
	assert.False(t, table.Reinitialize(agreed, 1), "its quorum is live")
}
