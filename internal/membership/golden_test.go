package membership

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/goldenfile"
)

// goldenMembers returns members that cover each state and each flag.
func goldenMembers() []Member {
	return []Member{
		{Name: "b", Incarnation: 2, Refutation: 3, State: Joining, Flags: Ready, Version: 4, Address: "127.0.0.1:7001",
			Zone: "z2", Region: "r2"},
		{Name: "c", Incarnation: 300, Refutation: 1, State: Alive, Flags: Draining, Address: "127.0.0.1:7002"},
		{Name: "d", Incarnation: 1, Refutation: 1, State: Suspect, Flags: DiskFailing, Address: "127.0.0.1:7003",
			AccusedBy: "a"},
		{Name: "e", Incarnation: 1, Refutation: 1, State: Dead, Flags: Overloaded, Address: "127.0.0.1:7004"},
		{Name: "g", Incarnation: 1, Refutation: 1, State: Leaving, Flags: Duplicated, Address: "127.0.0.1:7005"},
		{Name: "h", Incarnation: 1, Refutation: 1, State: Left, Flags: Stalled, Address: "127.0.0.1:7006"},
		{Name: "i", Incarnation: 1, Refutation: 1, State: Alive, Flags: CanVote | Ready, Address: "127.0.0.1:7007"},
	}
}

// goldenView returns the view that sends the golden messages.
func goldenView() *View {
	self := Member{Name: "a", Incarnation: 1, Refutation: 5, Flags: Ready | CanVote, Version: 6,
		Address: "127.0.0.1:7000", Zone: "z1", Region: "r1"}
	return New(0, "f", self, nil, DefaultSettings(), 1)
}

// The encoding of each kind of message is stable, and decoding it gives the same message.
func TestGolden_MembershipDatagrams(t *testing.T) {
	for name, kind := range map[string]messageKind{"ping": kindPing, "ack": kindAck, "request": kindPingRequest,
		"nack": kindNack, "gossip": kindGossip, "digest": kindDigest, "same": kindSame, "full": kindFull} {
		view := goldenView()
		msg := message{kind: kind, sequence: 1000, target: "b", incarnation: 2, members: goldenMembers()}
		decoded, err := parseMessage("f", goldenfile.Compare(t, "datagram-"+name+".bin", view.encodeMessage(&msg, nil)))
		require.NoError(t, err)
		msg.sender, msg.viewHash = view.Self(), view.Hash()
		assert.Equal(t, msg, decoded, "message of kind %s", name)
	}
}

// The encoding of a full state is stable, and another member's view merges all its records.
func TestGolden_MembershipFullState(t *testing.T) {
	view := goldenView()
	members := goldenMembers()
	for k := range members {
		view.merge(&members[k], "x")
	}
	decoded, err := parseMessage("f", goldenfile.Compare(t, "view.bin", view.encodeFullState()))
	require.NoError(t, err)
	assert.Equal(t, kindFull, decoded.kind)
	assert.Equal(t, view.Hash(), decoded.viewHash)
	other := New(0, "f", Member{Name: "z", Incarnation: 1, Address: "127.0.0.1:7100"}, nil, DefaultSettings(), 2)
	fullState := must(os.ReadFile("testdata/golden/view.bin"))
	other.Step(1, &Event{Kind: ExchangeAnswered, From: "127.0.0.1:7000", Data: fullState})
	for _, m := range view.Members() {
		got, found := other.Find(m.Name)
		require.True(t, found, "member %q was not merged", m.Name)
		assert.Equal(t, [...]any{m.Incarnation, m.Refutation, m.State, m.Flags, m.Version, m.Address, m.Zone, m.Region},
			[...]any{got.Incarnation, got.Refutation, got.State, got.Flags, got.Version, got.Address, got.Zone,
				got.Region}, "merged record of member %q", m.Name)
	}
}

// must returns data and panics on an error.
func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}
