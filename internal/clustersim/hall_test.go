package clustersim

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/consensus"
)

func opened(t *testing.T, n, founders int, seed uint64) *Hall {
	h := NewHall(n, founders, seed)
	for k := range n {
		h.Open(k)
	}
	h.Run(h.Now + 8000)
	require.NotEmpty(t, h.Leader, "seed %d", seed)
	for k := range n {
		require.True(t, h.Seats[k].Council.LeaseHeld(h.Local(k)), "seed %d: %d holds its lease: %+v", seed, k, h.Seats[k].Council.Status(h.Local(k)))
	}
	return h
}

func TestCouncil(t *testing.T) {
	h := opened(t, 7, 3, 1)
	t.Logf("led by %s since %.0f", h.Leader, h.LedAt)
	h.Kill(5)
	h.Run(h.Now + 20_000)
	assert.Equal(t, 1, h.Declared)
	k := h.named(h.Leader)
	was := h.Leader
	at := h.Now
	h.Kill(k)
	h.Run(h.Now + 5000)
	assert.NotEqual(t, was, h.Leader)
	t.Logf("new leader %s after %.0f ms", h.Leader, h.LedAt-at)
	h.Run(h.Now + 40_000)
	assert.Equal(t, 2, h.Declared)
	for k, nd := range h.Nodes {
		if nd.Up {
			s := h.Seats[k].Council.Status(h.Local(k))
			t.Logf("%s voter %v leader %s term %d commit %d held %v voters %v", nd.Name, s.Voter, s.Leader, s.Term, s.Commit, s.LeaseHeld, s.Record.Voters)
		}
	}
	assert.Empty(t, h.Broken)
}

// Histories with kills, lost and full disks, stalls of seconds, cuts and loss: no life acts on a lease once it is declared lost, and
// what was claimed makes sense in some order.
func TestHistories(t *testing.T) {
	claims, declared := 0, 0
	for seed := range uint64(25) {
		o := Play(seed, nil)
		claims, declared = claims+o.Claims, declared+o.Declared
		if len(o.Broken) > 0 {
			small := Smaller(o)
			require.Empty(t, small.Broken, "seed %d, faults %v", seed, small.Faults)
		}
	}
	assert.Greater(t, declared, 20)
	t.Logf("%d claims, %d lives declared lost", claims, declared)
}

// The checks refuse what must be refused.
func TestChecksRefuse(t *testing.T) {
	good := []Claim{{0, "granted", "a", 1, 0, 10}, {1, "declared", "a", 1, 5, 20}, {0, "refused", "a", 1, 21, 22}}
	assert.True(t, Linearizable(good, nil))
	assert.False(t, Linearizable(append(good, Claim{0, "granted", "a", 1, 21, 30}), nil), "granted after it was lost")
	assert.False(t, Linearizable([]Claim{{0, "refused", "a", 1, 0, 1}, {1, "declared", "a", 1, 2, 3}}, nil), "refused before")
	assert.True(t, Linearizable([]Claim{{0, "refused", "a", 1, 5, 6}}, map[string]Claim{"a/1": {1, "declared", "a", 1, 2, 0}}))
	h := opened(t, 4, 3, 5)
	h.declared(&consensus.Effect{Name: "n3", Incarnation: h.Seats[3].life})
	assert.NotEmpty(t, h.Broken, "one that holds its lease is declared lost")
}

// A voter is lost for good, and another while its place is being taken; then all that can be is agreed again. A voter whose disk was
// wiped comes as a newcomer and is no voter by its old number.
func TestVotersLostWhileOneIsReplaced(t *testing.T) {
	h := opened(t, 9, 5, 21)
	h.Kill(1)
	h.Run(h.Now + 16_500) // the newcomer is about to learn
	h.Kill(2)
	h.Run(h.Now + 60_000)
	voters := func() (names []string) {
		for _, v := range h.Seats[h.named(h.Leader)].Council.Status(h.Now).Record.Voters {
			names = append(names, v.Name)
		}
		return names
	}
	assert.NotContains(t, voters(), "n1")
	assert.NotContains(t, voters(), "n2")
	assert.Len(t, voters(), 5)
	h.Wipe(1)
	h.Open(1)
	h.Run(h.Now + 10_000)
	assert.False(t, h.Seats[1].Council.Hello().Voter)
	assert.True(t, h.Seats[1].Council.LeaseHeld(h.Local(1)), "it is let in all the same")
	for k := range h.Nodes {
		assert.Equal(t, h.Nodes[k].Up, h.Seats[k].Council.LeaseHeld(h.Local(k)), "node %d", k)
	}
	assert.Empty(t, h.Broken)
}

// One that starts while all its seeds are gone joins by those that found it. The history is one that a search of 2,000 seeds broke.
func TestJoinsByThoseThatFoundIt(t *testing.T) {
	assert.Empty(t, Play(487, nil).Broken)
}
