package clustersim

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"liftshift/internal/membership"
)

// A fleet joins at once, a third of it is killed, it is parted in halves and healed: the views settle each time.
func TestViewsSettle(t *testing.T) {
	for _, n := range []int{2, 30, 150} {
		f := started(t, n, uint64(n))
		for k := range n / 3 {
			f.Kill(3*k + 1)
		}
		settles(t, f, 15_000, "a third killed")
		for k := range n / 3 {
			f.Start(3*k + 1)
		}
		settles(t, f, 10_000, "started again")
		f.Net.Cut = func(a, b int) bool { return a%2 != b%2 }
		f.Run(f.Now + 30_000)
		assert.False(t, f.Settled())
		f.Net.Cut = nil
		settles(t, f, 5000, "halves meet")
	}
}

// Parted in thirds, one from all, one way only, in a ring, and with a third of all messages lost, doubled and late.
func TestPartings(t *testing.T) {
	cuts := map[string]func(a, b int) bool{
		"thirds":   func(a, b int) bool { return a%3 != b%3 },
		"one":      func(a, b int) bool { return a == 4 || b == 4 },
		"one way":  func(a, b int) bool { return a < 6 && b >= 6 },
		"deaf one": func(_, b int) bool { return b == 4 },
		"dumb one": func(a, _ int) bool { return a == 4 },
		"ring":     func(a, b int) bool { return (a%3+1)%3 != b%3 && a%3 != b%3 },
	}
	for name, cut := range cuts {
		f := started(t, 12, 7)
		f.Net.Cut = cut
		f.Run(f.Now + 40_000)
		f.Net.Cut = nil
		settles(t, f, 10_000, name)
	}
	f := started(t, 12, 8)
	f.Net = Net{LeastMS: 1, MostMS: 80, Loss: 0.3, Doubling: 0.2}
	lost := falselyGone(f)
	f.Run(f.Now + 60_000)
	assert.LessOrEqual(t, *lost, 1, "30% loss, doubled and reordered")
	f.Net = Net{LeastMS: 1, MostMS: 2}
	settles(t, f, 10_000, "after loss")
}

// A member that restarts under its name is one life after another: at once, at another address, or with a life lower than the
// fleet knows, because its store is lost and its clock is behind.
func TestRestarts(t *testing.T) {
	f := started(t, 8, 3)
	f.Kill(2)
	f.Run(f.Now + 100) // within a probe interval
	f.Start(2)
	f.Run(f.Now + 1000)
	settles(t, f, 5000, "at once")
	f.Kill(2)
	f.Move(2, "10.9.9.9:7")
	f.Start(2)
	f.Run(f.Now + 1000)
	settles(t, f, 5000, "elsewhere")
	m, _ := f.Nodes[0].View.Find("n2")
	assert.Equal(t, "10.9.9.9:7", m.Address)
	before := m.Incarnation
	f.Kill(2)
	f.life = 10
	f.Start(2)
	f.Run(f.Now + 3000)
	settles(t, f, 15_000, "with an old life")
	m, _ = f.Nodes[0].View.Find("n2")
	assert.Greater(t, m.Incarnation, before, "it took on a later life than the fleet knew")
}

// A member that stood still for 2 s stays; one that stood still for 30 s wakes up believing all alive, and is taken back.
func TestStalls(t *testing.T) {
	for seed := range uint64(30) {
		f := started(t, 20, seed)
		lost := falselyGone(f)
		f.Stall(3, 2000)
		f.Run(f.Now + 10_000)
		assert.Zero(t, *lost, "seed %d", seed)
	}
	f := started(t, 20, 4)
	lost := falselyGone(f)
	f.Stall(3, 30_000)
	f.Run(f.Now + 29_000)
	m, _ := f.Nodes[0].View.Find("n3")
	assert.Equal(t, membership.Dead, m.State)
	f.Run(f.Now + 1000)
	*lost = 0
	settles(t, f, 8000, "awake")
	assert.Zero(t, *lost, "the one that stood still judges nobody by it")
}

// Two processes of one name: both know, both mark themselves as doubled, and the others see the mark. It ends with one of them.
func TestTwins(t *testing.T) {
	f := New(9, 6)
	f.Nodes[8].Name = "n2"
	for k := range f.Nodes {
		f.Start(k)
	}
	f.Run(8000)
	for _, k := range []int{2, 8} {
		assert.NotZero(t, f.Nodes[k].View.Self().Flags&membership.Duplicated, "node %d", k)
	}
	m, _ := f.Nodes[0].View.Find("n2")
	assert.NotZero(t, m.Flags&membership.Duplicated)
	f.Kill(8)
	f.Run(f.Now + 20_000)
	assert.Zero(t, f.Nodes[2].View.Self().Flags&membership.Duplicated)
	m, _ = f.Nodes[0].View.Find("n2")
	assert.Equal(t, membership.Alive, m.State)
	assert.Equal(t, f.Nodes[2].Address, m.Address, "the one that is left")
}

// Without any seed the fleet goes on, and a newcomer joins once one is back. Parted halves meet though all seeds are gone.
func TestSeedsGone(t *testing.T) {
	f := started(t, 12, 9)
	for k := range 3 {
		f.Kill(k)
	}
	settles(t, f, 15_000, "without seeds")
	f.Net.Cut = func(a, b int) bool { return a%2 != b%2 }
	f.Run(f.Now + 30_000)
	f.Net.Cut = nil
	settles(t, f, 8000, "halves without seeds")
	f.Kill(11)
	settles(t, f, 15_000, "one less")
	f.Start(11)
	settles(t, f, 10_000, "the others find one that was gone")
	f.Nodes[11].Name = "newcomer"
	f.Kill(11)
	f.Move(11, "10.8.8.8:7")
	f.Start(11)
	f.Run(f.Now + 5000)
	assert.Zero(t, f.Nodes[11].View.Size(), "nobody it knows is there")
	f.Start(0)
	settles(t, f, 10_000, "a seed is back")
}

// A planned stop is known at once, and nobody is suspected for it.
func TestPlannedStop(t *testing.T) {
	f := started(t, 20, 10)
	suspected := 0
	f.Saw = func(_ int, e *membership.Effect) {
		if e.Kind == membership.MemberChanged && e.Member.State == membership.Suspect {
			suspected++
		}
	}
	f.Tell(5, membership.Event{Kind: membership.LeaveStarted})
	f.Run(f.Now + 1000)
	m, _ := f.Nodes[1].View.Find("n5")
	assert.Equal(t, membership.Leaving, m.State)
	f.Tell(5, membership.Event{Kind: membership.LeaveFinished})
	f.Kill(5)
	settles(t, f, 2000, "left")
	assert.Zero(t, suspected)
}

// Messages of an hour ago change nothing, though they tell of members that have gone since.
func TestOldMessages(t *testing.T) {
	f := New(6, 11)
	for k := range f.Nodes {
		f.Start(k)
	}
	f.Run(5000)
	old := record(f, 0, 3)
	f.Kill(3)
	f.Run(f.Now + 3600e3)
	for _, d := range old {
		f.Tell(0, membership.Event{Kind: membership.DatagramReceived, From: "10.0.0.3:7", Data: d})
	}
	m, _ := f.Nodes[0].View.Find("n3")
	assert.Equal(t, membership.Dead, m.State)
	assert.NotEmpty(t, old)
}

// A broken member that invents names can't make a view larger than its bound, nor keep real ones out.
func TestInventedNames(t *testing.T) {
	f := New(4, 12)
	f.Membership.MaxMembers = 200
	for k := range f.Nodes {
		f.Start(k)
	}
	settles(t, f, 10_000, "start")
	for k := range 2000 { // each is heard by one node alone, as from a broken one
		v := membership.New(f.Now, "sim", membership.Member{Name: fmt.Sprint("invented-", k), Incarnation: 1, Address: fmt.Sprintf("10.99.%d.%d:1", k/250, k%250)},
			[]string{"10.0.0.0:7"}, membership.DefaultSettings(), uint32(k))
		for _, e := range v.Step(f.Now, &membership.Event{Kind: membership.Ticked}) {
			f.Tell(0, membership.Event{Kind: membership.ExchangeRequested, From: v.Self().Address, Data: e.Data})
		}
		if k%100 == 0 {
			f.Run(f.Now + 100)
		}
	}
	for _, nd := range f.Nodes {
		assert.LessOrEqual(t, len(nd.View.Members()), 200)
	}
	assert.Positive(t, f.Nodes[0].View.Counts().RejectedForSpace)
	f.Run(f.Now + 60_000)
	f.Kill(3)
	f.Run(f.Now + 100)
	f.Start(3)
	f.Run(f.Now + 60_000)
	for _, nd := range f.Nodes {
		m, known := nd.View.Find("n3")
		assert.True(t, known && m.State == membership.Alive && m.Incarnation == f.life, "%v", m)
	}
}
