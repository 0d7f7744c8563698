package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A datagram that is cut at any byte, or has any byte spoilt, is believed whole or not at all, and never stops the view.
func TestDatagramsCutAndSpoilt(t *testing.T) {
	a, b := pair()
	data := a.pack(&message{kind: gossip, number: 7, target: "b", life: 3}, nil)
	m, err := parse("f", data)
	require.NoError(t, err)
	assert.Equal(t, a.self.Member.Name, m.own.Name)
	before := b.Members()
	for n := range len(data) {
		if _, err := parse("f", data[:n]); err == nil {
			assert.Len(t, m.news, 0, "cut at %d: only whole records were left out", n)
		}
		b.Step(1, &Event{Kind: DatagramReceived, From: "x", Data: data[:n]})
	}
	assert.Len(t, b.Members(), len(before))
	chance := rand.New(rand.NewPCG(1, 2))
	for range 1_000_000 {
		spoilt := append([]byte(nil), data...)
		for range 1 + chance.IntN(4) {
			spoilt[chance.IntN(len(spoilt))] = byte(chance.Uint32())
		}
		b.Step(1, &Event{Kind: EventKind(1 + chance.IntN(3)), From: "x", Data: spoilt[:chance.IntN(len(spoilt)+1)]})
	}
	assert.LessOrEqual(t, len(b.Members()), mostMembers)
}

func FuzzDatagram(f *testing.F) {
	a, b := pair()
	f.Add(a.pack(&message{kind: ping, number: 7, target: "b", life: 3}, nil))
	f.Add(a.fullState())
	f.Fuzz(func(t *testing.T, data []byte) {
		b.Step(1, &Event{Kind: DatagramReceived, From: "x", Data: data})
		b.Step(1, &Event{Kind: ExchangeRequested, From: "x", Data: data})
	})
}

// What is of another fleet, of a later version, or spoilt is counted apart and changes nothing.
func TestForeignAndNewer(t *testing.T) {
	a, b := pair()
	data := a.pack(&message{kind: gossip}, nil)
	newer := append([]byte(nil), data...)
	newer[2] = major + 1
	other := New(0, "another", Member{Name: "a", Address: "1"}, nil, DefaultSettings(), 1).pack(&message{kind: gossip}, nil)
	for _, d := range [][]byte{newer, other, data[:len(data)-1], []byte("hello")} {
		b.Step(1, &Event{Kind: DatagramReceived, Data: d})
	}
	c := b.Counts()
	assert.Equal(t, []uint64{1, 2, 1, 0}, []uint64{c.Newer, c.Foreign, c.Malformed, c.Heard})
	assert.Zero(t, b.Size())
}

// A later minor version adds fields to records: they are skipped, the rest is understood.
func TestOneVersionApart(t *testing.T) {
	a, b := pair()
	data := a.header(&message{kind: gossip})
	own := appendRecord(nil, &a.self.Member)
	head := data[:len(data)-len(own)]
	n, size := binary.Uvarint(own)
	longer := binary.AppendUvarint(append([]byte(nil), head...), n+3)
	longer = append(append(longer, own[size:]...), 1, 2, 3)
	longer[3] = minor + 1
	b.Step(1, &Event{Kind: DatagramReceived, Data: longer})
	m, known := b.Find("a")
	assert.True(t, known)
	assert.Equal(t, a.self.Address, m.Address)
}

// The table: what a member says of itself goes before what is said of it, and an old life never comes back.
func TestTable(t *testing.T) {
	for _, c := range []struct {
		phase       State
		life, inc   uint64
		news        State
		nlife, ninc uint64
		want        State
	}{
		{Alive, 5, 3, Suspect, 5, 2, Alive}, // it has said since that it is here
		{Alive, 5, 3, Suspect, 5, 3, Suspect},
		{Alive, 5, 3, Dead, 5, 3, Suspect}, // it may still speak
		{Suspect, 5, 3, Dead, 5, 3, Dead},
		{Suspect, 5, 3, Alive, 5, 3, Suspect}, // nothing new
		{Suspect, 5, 3, Alive, 5, 4, Alive},
		{Dead, 5, 3, Alive, 5, 3, Dead},
		{Dead, 5, 3, Alive, 5, 4, Alive},
		{Dead, 5, 3, Alive, 4, 99, Dead},
		{Left, 5, 3, Alive, 5, 9, Left},
		{Left, 5, 3, Joining, 6, 1, Joining},
		{Alive, 5, 3, Leaving, 5, 4, Leaving},
		{Leaving, 5, 4, Suspect, 5, 4, Leaving},
		{Leaving, 5, 4, Dead, 5, 4, Left},
		{Dead, 5, 3, Left, 5, 3, Left},
		{Alive, 5, 3, Dead, 4, 99, Alive},
	} {
		v, _ := pair()
		v.merge(&Member{Name: "x", Address: "9", Incarnation: c.life, Refutation: c.inc, State: c.phase}, "b")
		v.merge(&Member{Name: "x", Address: "9", Incarnation: c.nlife, Refutation: c.ninc, State: c.news}, "b")
		m, _ := v.Find("x")
		assert.Equal(t, c.want, m.State, "%+v", c)
	}
}

// A controller that hears that it is thought gone says at once that it is here, and says why in its evidence.
func TestRefutes(t *testing.T) {
	a, b := pair()
	meet(a, b)
	was := b.Self().Refutation
	b.Step(2, &Event{Kind: DatagramReceived, Data: a.pack(&message{kind: gossip, news: []Member{
		{Name: "b", Address: "2", Incarnation: 3, Refutation: was, State: Dead}}}, nil)})
	assert.Equal(t, was+1, b.Self().Refutation)
	assert.Equal(t, uint64(1), b.Counts().Condemned)
	require.NotEmpty(t, b.Explain("b"))
}

// All interleavings of three members to a depth: each link may deliver or lose its oldest message, time may go on, one may die and
// start again. No view ever holds a later incarnation or life than its owner gave out, nor goes back to an older one; none holds
// itself for anything but what it says.
func TestWalk(t *testing.T) {
	const depth = 4
	walks := 0
	var walk func(path []int)
	walk = func(path []int) {
		w := newWalk()
		for _, step := range path {
			if !w.step(step) {
				return // nothing there to do: the same as a shorter path
			}
		}
		walks++
		w.check(t, path)
		if len(path) < depth {
			for choice := range choices {
				walk(append(path[:len(path):len(path)], choice))
			}
		}
	}
	walk(nil)
	assert.Greater(t, walks, 5000)
	t.Logf("%d histories", walks)
	for seed := range uint64(300) { // longer ones, drawn
		chance, path, w := rand.New(rand.NewPCG(seed, 3)), []int{}, newWalk()
		for range 60 {
			path = append(path, chance.IntN(choices))
			w.step(path[len(path)-1])
			w.check(t, path)
		}
	}
}
