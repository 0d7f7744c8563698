package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func members(n int) (list []Place) {
	for k := range n {
		list = append(list, Place{Name: fmt.Sprint("n", k), Life: 1, Zone: fmt.Sprint("z", k%3)})
	}
	return list
}

func TestChairsSpreadOverZones(t *testing.T) {
	var table Table
	table.Reseat(members(4), 2)
	assert.Empty(t, table.Parts, "too few for two copies")
	require.True(t, table.Reseat(members(9), 0))
	sits := map[string]int{}
	for _, p := range table.Parts {
		zones := map[string]int{}
		for _, c := range p.Now {
			assert.True(t, c.Ready)
			sits[c.Name]++
			zones[fmt.Sprint("z", int(c.Name[1]-'0')%3)]++
		}
		assert.Len(t, p.Now, 5)
		for _, n := range zones {
			assert.LessOrEqual(t, n, 2)
		}
	}
	for name, n := range sits {
		assert.InDelta(t, Parts*5.0/9, n, 9, name)
	}
	small := table.Clone()
	for k := range small.Parts {
		small.Parts[k].Now[0].Name = "x"
	}
	assert.NotEqual(t, "x", table.Parts[0].Now[0].Name)
}

// Whoever is lost, comes back or learns, in any order: a later word's quorum shares a chair with an earlier one's, a chair that still
// knows, as long as no part lost a majority of those that counted.
func TestLaterQuorumsShareAChairWithEarlierOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := members(rapid.IntRange(5, 9).Draw(t, "members"))
		var table Table
		table.Reseat(places, rapid.IntRange(1, 2).Draw(t, "copies"))
		part := rapid.IntRange(0, Parts-1).Draw(t, "part")
		know := map[Chair]bool{} // lives that know of the word, as they keep it
		plain := func(c Chair) Chair { c.Ready = false; return c }
		by := func() map[string]*Place { return index(places) }
		spoken := false
		quorum := func(label string) (who []Chair, ok bool) {
			p := &table.Parts[part]
			for _, list := range [][]Chair{p.Now, p.Was} {
				var sit []Chair
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
				table.Reseat(places, 0)
			case 1: // one comes back, and knows nothing
				k := rapid.IntRange(0, len(places)-1).Draw(t, "back")
				if places[k].Lost {
					places[k].Lost, places[k].Life = false, places[k].Life+1
					table.Reseat(places, 0)
				}
			case 2: // one that sits learns from a quorum of those before
				p := &table.Parts[part]
				for _, c := range p.Now {
					if c.Ready || !c.sits(by()) || p.Was == nil {
						continue
					}
					n, any := 0, false
					for _, o := range p.Was {
						if o.sits(by()) {
							n++
							any = any || know[plain(o)]
						}
					}
					if n >= Quorum(len(p.Was)) {
						if any {
							know[plain(c)] = true
						}
						table.Ready(places, c.Name, c.Life, 1<<part, table.Version)
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
				if !slices.ContainsFunc(who, func(c Chair) bool { return know[c] }) {
					t.Fatalf("a quorum of %v that knows nothing; those that know: %v; part %+v", who, know, table.Parts[part])
				}
			}
		}
	})
}

func TestClaims(t *testing.T) {
	places := members(5)
	var table Table
	table.Reseat(places, 1)
	claim := Claim{Name: "n0", Life: 1, Heir: "n1", HeirLife: 1, Mask: 0b110}
	assert.False(t, table.Claim(places, claim), "it is not lost")
	places[0].Lost = true
	table.Reseat(places, 0)
	assert.True(t, table.Claim(places, claim))
	assert.False(t, table.Claim(places, claim), "twice is once")
	other := Claim{Name: "n0", Life: 1, Heir: "n2", HeirLife: 1, Mask: 0b111}
	assert.True(t, table.Claim(places, other), "what is left")
	who, _, _ := table.HeirOf("n0", 1, 2)
	assert.Equal(t, "n1", who)
	who, _, _ = table.HeirOf("n0", 1, 0)
	assert.Equal(t, "n2", who)
	places[1].Lost = true
	table.Reseat(places, 0)
	_, _, claimed := table.HeirOf("n0", 1, 2)
	assert.False(t, claimed, "the heir is lost, too")
	assert.True(t, table.Claim(places, other))
	assert.True(t, table.Settled(Claim{Name: "n0", Life: 1, Heir: "n2", HeirLife: 1, Mask: 0b011}))
	_, _, claimed = table.HeirOf("n0", 1, 1)
	assert.False(t, claimed)
	assert.False(t, table.Claim(places, Claim{Name: "n0", Life: 1, Heir: "n1", HeirLife: 1, Mask: 1}), "a lost one claims nothing")
}

// A part that has lost its chairs beyond a quorum begins anew only when it is said so, and once enough sit.
func TestAnew(t *testing.T) {
	places := members(5)
	var table Table
	table.Reseat(places, 2)
	for k := range 3 {
		places[k].Lost = true
	}
	table.Reseat(places, 0)
	assert.False(t, table.Anew(places, 1), "too few sit")
	for k := range 3 {
		places[k].Lost, places[k].Life = false, 2
	}
	table.Reseat(places, 0)
	require.NotNil(t, table.Parts[0].Was)
	assert.True(t, table.Anew(places, 1))
	assert.Nil(t, table.Parts[0].Was)
	assert.NotNil(t, table.Parts[1].Was)
	assert.False(t, table.Anew(places, 1), "it is whole")
}
