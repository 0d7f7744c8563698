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

func TestChairsSpreadOverZones(t *testing.T) {
	var table Table
	table.Reassign(members(4), 2)
	assert.Empty(t, table.Partitions, "too few for two copies")
	require.True(t, table.Reassign(members(9), 0))
	sits := map[string]int{}
	for _, p := range table.Partitions {
		zones := map[string]int{}
		for _, c := range p.Current {
			assert.True(t, c.Ready)
			sits[c.Name]++
			zones[fmt.Sprint("z", int(c.Name[1]-'0')%3)]++
		}
		assert.Len(t, p.Current, 5)
		for _, n := range zones {
			assert.LessOrEqual(t, n, 2)
		}
	}
	for name, n := range sits {
		assert.InDelta(t, PartitionCount*5.0/9, n, 9, name)
	}
	small := table.Clone()
	for k := range small.Partitions {
		small.Partitions[k].Current[0].Name = "x"
	}
	assert.NotEqual(t, "x", table.Partitions[0].Current[0].Name)
}

// Whoever is lost, comes back or learns, in any order: a later word's quorum shares a chair with an earlier one's, a chair that still
// knows, as long as no part lost a majority of those that counted.
func TestLaterQuorumsShareAChairWithEarlierOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := members(rapid.IntRange(5, 9).Draw(t, "members"))
		var table Table
		table.Reassign(places, rapid.IntRange(1, 2).Draw(t, "copies"))
		part := rapid.IntRange(0, PartitionCount-1).Draw(t, "part")
		know := map[Replica]bool{} // lives that know of the word, as they keep it
		plain := func(c Replica) Replica { c.Ready = false; return c }
		by := func() map[string]*Member { return index(places) }
		spoken := false
		quorum := func(label string) (who []Replica, ok bool) {
			p := &table.Partitions[part]
			for _, list := range [][]Replica{p.Current, p.Previous} {
				var sit []Replica
				for _, c := range list {
					if c.sits(by()) {
						sit = append(sit, plain(c))
					}
				}
				if len(list) > 0 && len(sit) < Quorum(len(list)) {
					return nil, false
				}
				for len(sit) > Quorum(len(list)) && len(list) > 0 {
					k := rapid.IntRange(0, len(sit)-1).Draw(t, label)
					sit = slices.Delete(sit, k, k+1)
				}
				who = append(who, sit...)
			}
			return who, true
		}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // one is lost
				living := 0
				for k := range places {
					if !places[k].Lost {
						living++
					}
				}
				k := rapid.IntRange(0, len(places)-1).Draw(t, "lost")
				places[k].Lost = places[k].Lost || living > 3
				table.Reassign(places, 0)
			case 1: // one comes back, and knows nothing
				k := rapid.IntRange(0, len(places)-1).Draw(t, "back")
				if places[k].Lost {
					places[k].Lost, places[k].Incarnation = false, places[k].Incarnation+1
					table.Reassign(places, 0)
				}
			case 2: // one that sits learns from a quorum of those before
				p := &table.Partitions[part]
				for _, c := range p.Current {
					if c.Ready || !c.sits(by()) || p.Previous == nil {
						continue
					}
					n, any := 0, false
					for _, o := range p.Previous {
						if o.sits(by()) {
							n++
							any = any || know[plain(o)]
						}
					}
					if n >= Quorum(len(p.Previous)) {
						if any {
							know[plain(c)] = true
						}
						table.MarkReady(places, c.Name, c.Incarnation, 1<<part, table.Version)
					}
					break
				}
			case 3:
				who, ok := quorum("who")
				if !ok {
					continue
				}
				if !spoken {
					spoken = true
					for _, c := range who {
						know[c] = true
					}
					continue
				}
				if !slices.ContainsFunc(who, func(c Replica) bool { return know[c] }) {
					t.Fatalf("a quorum of %v that knows nothing; those that know: %v; part %+v", who, know, table.Partitions[part])
				}
			}
		}
	})
}

func TestClaims(t *testing.T) {
	places := members(5)
	var table Table
	table.Reassign(places, 1)
	claim := AdoptionClaim{Name: "n0", Incarnation: 1, Successor: "n1", SuccessorIncarnation: 1, Partitions: 0b110}
	assert.False(t, table.Claim(places, claim), "it is not lost")
	places[0].Lost = true
	table.Reassign(places, 0)
	assert.True(t, table.Claim(places, claim))
	assert.False(t, table.Claim(places, claim), "twice is once")
	other := AdoptionClaim{Name: "n0", Incarnation: 1, Successor: "n2", SuccessorIncarnation: 1, Partitions: 0b111}
	assert.True(t, table.Claim(places, other), "what is left")
	who, _, _ := table.SuccessorOf("n0", 1, 2)
	assert.Equal(t, "n1", who)
	who, _, _ = table.SuccessorOf("n0", 1, 0)
	assert.Equal(t, "n2", who)
	places[1].Lost = true
	table.Reassign(places, 0)
	_, _, claimed := table.SuccessorOf("n0", 1, 2)
	assert.False(t, claimed, "the heir is lost, too")
	assert.True(t, table.Claim(places, other))
	assert.True(t, table.Settle(AdoptionClaim{Name: "n0", Incarnation: 1, Successor: "n2", SuccessorIncarnation: 1, Partitions: 0b011}))
	_, _, claimed = table.SuccessorOf("n0", 1, 1)
	assert.False(t, claimed)
	assert.False(t, table.Claim(places, AdoptionClaim{Name: "n0", Incarnation: 1, Successor: "n1", SuccessorIncarnation: 1, Partitions: 1}), "a lost one claims nothing")
}

// A part that has lost its chairs beyond a quorum begins anew only when it is said so, and once enough sit.
func TestAnew(t *testing.T) {
	places := members(5)
	var table Table
	table.Reassign(places, 2)
	for k := range 3 {
		places[k].Lost = true
	}
	table.Reassign(places, 0)
	assert.False(t, table.Reinitialize(places, 1), "too few sit")
	for k := range 3 {
		places[k].Lost, places[k].Incarnation = false, 2
	}
	table.Reassign(places, 0)
	require.NotNil(t, table.Partitions[0].Previous)
	assert.True(t, table.Reinitialize(places, 1))
	assert.Nil(t, table.Partitions[0].Previous)
	assert.NotNil(t, table.Partitions[1].Previous)
	assert.False(t, table.Reinitialize(places, 1), "it is whole")
}
