package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A datagram that is truncated at any byte, or has any byte corrupted, is accepted as a whole or rejected, and never stops the view.
func TestView_RejectsTruncatedAndCorruptedDatagrams(t *testing.T) {
	a, b := newPair()
	data := a.encodeMessage(&message{kind: kindGossip, sequence: 7, target: "b", incarnation: 3}, nil)
	m, err := parseMessage("f", data)
	require.NoError(t, err)
	assert.Equal(t, a.self.Member.Name, m.sender.Name)
	before := b.Members()
	for n := range len(data) {
		if _, err := parseMessage("f", data[:n]); err == nil {
			assert.Len(t, m.members, 0, "truncated at %d: only whole records were left out", n)
		}
		b.Step(1, &Event{Kind: DatagramReceived, From: "x", Data: data[:n]})
	}
	assert.Len(t, b.Members(), len(before))
	random := rand.New(rand.NewPCG(1, 2))
	for range 1_000_000 {
		corrupted := append([]byte(nil), data...)
		for range 1 + random.IntN(4) {
			corrupted[random.IntN(len(corrupted))] = byte(random.Uint32())
		}
		b.Step(1, &Event{Kind: EventKind(1 + random.IntN(3)), From: "x", Data: corrupted[:random.IntN(len(corrupted)+1)]})
	}
	assert.LessOrEqual(t, len(b.Members()), defaultMaxMembers)
}

func FuzzView_Datagram(f *testing.F) {
	a, b := newPair()
	f.Add(a.encodeMessage(&message{kind: kindPing, sequence: 7, target: "b", incarnation: 3}, nil))
	f.Add(a.encodeFullState())
	f.Fuzz(func(t *testing.T, data []byte) {
		b.Step(1, &Event{Kind: DatagramReceived, From: "x", Data: data})
		b.Step(1, &Event{Kind: ExchangeRequested, From: "x", Data: data})
	})
}

// Messages of another fleet, of a later version, or malformed are counted apart and change nothing.
func TestView_CountsForeignNewerAndMalformed(t *testing.T) {
	a, b := newPair()
	data := a.encodeMessage(&message{kind: kindGossip}, nil)
	newer := append([]byte(nil), data...)
	newer[2] = protocolMajor + 1
	other := New(0, "another", Member{Name: "a", Address: "1"}, nil, DefaultSettings(), 1).encodeMessage(&message{kind: kindGossip}, nil)
	for _, d := range [][]byte{newer, other, data[:len(data)-1], []byte("hello")} {
		b.Step(1, &Event{Kind: DatagramReceived, Data: d})
	}
	c := b.Counts()
	assert.Equal(t, []uint64{1, 2, 1, 0}, []uint64{c.Newer, c.Foreign, c.Malformed, c.Received})
	assert.Zero(t, b.Size())
}

// A later minor version adds fields to records: they are skipped.
func TestView_SkipsFieldsOfLaterMinorVersion(t *testing.T) {
	a, b := newPair()
	data := a.encodeHeader(&message{kind: kindGossip})
	own := appendRecord(nil, &a.self.Member)
	head := data[:len(data)-len(own)]
	n, size := binary.Uvarint(own)
	longer := binary.AppendUvarint(append([]byte(nil), head...), n+3)
	longer = append(append(longer, own[size:]...), 1, 2, 3)
	longer[3] = protocolMinor + 1
	b.Step(1, &Event{Kind: DatagramReceived, Data: longer})
	m, known := b.Find("a")
	assert.True(t, known)
	assert.Equal(t, a.self.Address, m.Address)
}

// A member's own announcements go before reports about it, and an old incarnation never comes back.
func TestView_MergeFollowsTransitions(t *testing.T) {
	for _, c := range []struct {
		state                               State
		incarnation, refutation             uint64
		record                              State
		recordIncarnation, recordRefutation uint64
		want                                State
	}{
		{Alive, 5, 3, Suspect, 5, 2, Alive}, // refuted since
		{Alive, 5, 3, Suspect, 5, 3, Suspect},
		{Alive, 5, 3, Dead, 5, 3, Suspect}, // it may still refute
		{Suspect, 5, 3, Dead, 5, 3, Dead},
		{Suspect, 5, 3, Alive, 5, 3, Suspect}, // known already
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
		v, _ := newPair()
		v.merge(&Member{Name: "x", Address: "9", Incarnation: c.incarnation, Refutation: c.refutation, State: c.state}, "b")
		v.merge(&Member{Name: "x", Address: "9", Incarnation: c.recordIncarnation, Refutation: c.recordRefutation, State: c.record}, "b")
		m, _ := v.Find("x")
		assert.Equal(t, c.want, m.State, "%+v", c)
	}
}

// A controller that is reported dead refutes at once and keeps evidence of the report.
func TestView_RefutesReportOfItsDeath(t *testing.T) {
	a, b := newPair()
	introduce(a, b)
	before := b.Self().Refutation
	b.Step(2, &Event{Kind: DatagramReceived, Data: a.encodeMessage(&message{kind: kindGossip, members: []Member{
		{Name: "b", Address: "2", Incarnation: 3, Refutation: before, State: Dead}}}, nil)})
	assert.Equal(t, before+1, b.Self().Refutation)
	assert.Equal(t, uint64(1), b.Counts().ReportedDead)
	require.NotEmpty(t, b.Explain("b"))
}

// All interleavings of three members to a depth: each link may deliver or lose its oldest message, time may pass, a member may restart.
// No view ever has a later incarnation or refutation of a member than the member itself, and none holds itself for Suspect or Dead.
func TestView_AllInterleavingsOfThreeMembers(t *testing.T) {
	const depth = 4
	walks := 0
	var walk func(path []int)
	walk = func(path []int) {
		w := newThreeNodes()
		for _, step := range path {
			if !w.step(step) {
				return // no message on that link: equal to a shorter path
			}
		}
		walks++
		w.check(t, path)
		if len(path) < depth {
			for choice := range stepChoices {
				walk(append(path[:len(path):len(path)], choice))
			}
		}
	}
	walk(nil)
	assert.Greater(t, walks, 5000)
	t.Logf("%d histories", walks)
	for seed := range uint64(300) { // longer ones, drawn
		random, path, w := rand.New(rand.NewPCG(seed, 3)), []int{}, newThreeNodes()
		for range 60 {
			path = append(path, random.IntN(stepChoices))
			w.step(path[len(path)-1])
			w.check(t, path)
		}
	}
}
