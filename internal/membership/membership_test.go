package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A datagram that is truncated or has corrupted bytes is accepted as a whole or rejected, and never makes the view
// panic or grow past its bound.
func TestView_RejectsTruncatedAndCorruptedDatagrams(t *testing.T) {
	a, b := newPair()
	data := a.encodeMessage(&message{kind: kindGossip, sequence: 7, target: "b", incarnation: 3}, nil)
	msg, err := parseMessage("f", data)
	require.NoError(t, err)
	assert.Equal(t, a.self.Member.Name, msg.sender.Name)
	before := b.Members()
	for n := range len(data) {
		if _, err := parseMessage("f", data[:n]); err == nil {
			assert.Len(t, msg.members, 0, "a datagram truncated at byte %d is accepted, so only whole records may be missing", n)
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

// No message makes a view panic, be it a datagram or the request of an exchange.
func FuzzView_Datagram(f *testing.F) {
	a, b := newPair()
	f.Add(a.encodeMessage(&message{kind: kindPing, sequence: 7, target: "b", incarnation: 3}, nil))
	f.Add(a.encodeFullState())
	f.Fuzz(func(t *testing.T, data []byte) {
		b.Step(1, &Event{Kind: DatagramReceived, From: "x", Data: data})
		b.Step(1, &Event{Kind: ExchangeRequested, From: "x", Data: data})
	})
}

// Messages of another fleet, of a later protocol version and malformed ones are counted separately and change nothing.
func TestView_CountsForeignNewerAndMalformed(t *testing.T) {
	a, b := newPair()
	data := a.encodeMessage(&message{kind: kindGossip}, nil)
	newer := append([]byte(nil), data...)
	newer[2] = protocolMajor + 1
	otherFleet := New(0, "another", Member{Name: "a", Address: "1"}, nil, DefaultSettings(), 1)
	foreign := otherFleet.encodeMessage(&message{kind: kindGossip}, nil)
	for _, datagram := range [][]byte{newer, foreign, data[:len(data)-1], []byte("hello")} {
		b.Step(1, &Event{Kind: DatagramReceived, Data: datagram})
	}
	counts := b.Counts()
	assert.Equal(t, []uint64{1, 2, 1, 0}, []uint64{counts.Newer, counts.Foreign, counts.Malformed, counts.Received})
	assert.Zero(t, b.LivePeers())
}

// Fields that a later minor version appends to a record are skipped.
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

// A member's own later announcements take precedence over reports about it, and a record of an old incarnation is
// ignored.
func TestView_MergeFollowsTransitions(t *testing.T) {
	for _, test := range []struct {
		state                               State
		incarnation, refutation             uint64
		record                              State
		recordIncarnation, recordRefutation uint64
		want                                State
	}{
		{Alive, 5, 3, Suspect, 5, 2, Alive}, // refuted already
		{Alive, 5, 3, Suspect, 5, 3, Suspect},
		{Alive, 5, 3, Dead, 5, 3, Suspect}, // the member may still refute
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
		view, _ := newPair()
		known := Member{Name: "x", Address: "9", Incarnation: test.incarnation, Refutation: test.refutation,
			State: test.state}
		record := Member{Name: "x", Address: "9", Incarnation: test.recordIncarnation, Refutation: test.recordRefutation,
			State: test.record}
		view.merge(&known, "b")
		view.merge(&record, "b")
		m, _ := view.Find("x")
		assert.Equal(t, test.want, m.State, "state after the merge in case %+v", test)
	}
}

// A controller that is reported Dead refutes at once and keeps evidence of the report.
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

// The invariants of threeMemberFleet hold in all interleavings of message deliveries, message losses, pauses and
// restarts up to a depth, and in longer random ones.
func TestView_AllInterleavingsOfThreeMembers(t *testing.T) {
	const depth = 4
	interleavings := 0
	var explore func(path []int)
	explore = func(path []int) {
		fleet := newThreeMemberFleet()
		for _, step := range path {
			if !fleet.step(step) {
				return // no message on that link: equal to a shorter path
			}
		}
		interleavings++
		fleet.assertInvariants(t, path)
		if len(path) < depth {
			for choice := range stepChoices {
				explore(append(path[:len(path):len(path)], choice))
			}
		}
	}
	explore(nil)
	assert.Greater(t, interleavings, 5000, "number of interleavings up to depth %d", depth)
	t.Logf("%d interleavings", interleavings)
	for seed := range uint64(300) {
		random, path, fleet := rand.New(rand.NewPCG(seed, 3)), []int{}, newThreeMemberFleet()
		for range 60 {
			path = append(path, random.IntN(stepChoices))
			fleet.step(path[len(path)-1])
			fleet.assertInvariants(t, path)
		}
	}
}
