package membership

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files")

// golden compares bytes with a file of testdata/golden and returns the content of the file.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got), name)
	return want
}

// goldenMembers returns members in each state and with each flag.
func goldenMembers() []Member {
	return []Member{
		{Name: "b", Incarnation: 2, Refutation: 3, State: Joining, Flags: Ready, Version: 4, Address: "127.0.0.1:7001", Zone: "z2", Region: "r2"},
		{Name: "c", Incarnation: 300, Refutation: 1, State: Alive, Flags: Draining, Address: "127.0.0.1:7002"},
		{Name: "d", Incarnation: 1, Refutation: 1, State: Suspect, Flags: DiskFailing, Address: "127.0.0.1:7003", AccusedBy: "a"},
		{Name: "e", Incarnation: 1, Refutation: 1, State: Dead, Flags: Overloaded, Address: "127.0.0.1:7004"},
		{Name: "g", Incarnation: 1, Refutation: 1, State: Leaving, Flags: Duplicated, Address: "127.0.0.1:7005"},
		{Name: "h", Incarnation: 1, Refutation: 1, State: Left, Flags: Stalled, Address: "127.0.0.1:7006"},
		{Name: "i", Incarnation: 1, Refutation: 1, State: Alive, Flags: CanVote | Ready, Address: "127.0.0.1:7007"},
	}
}

func goldenView() *View {
	return New(0, "f", Member{Name: "a", Incarnation: 1, Refutation: 5, Flags: Ready | CanVote, Version: 6, Address: "127.0.0.1:7000", Zone: "z1", Region: "r1"}, nil, DefaultSettings(), 1)
}

// Every kind of datagram keeps its bytes and is decoded as before.
func TestGolden_MembershipDatagrams(t *testing.T) {
	for name, kind := range map[string]messageKind{"ping": kindPing, "ack": kindAck, "request": kindPingRequest, "nack": kindNack, "gossip": kindGossip, "digest": kindDigest,
		"same": kindSame, "full": kindFull} {
		v := goldenView()
		m := message{kind: kind, sequence: 1000, target: "b", incarnation: 2, members: goldenMembers()}
		decoded, err := parseMessage("f", golden(t, "datagram-"+name+".bin", v.encodeMessage(&m, nil)))
		require.NoError(t, err)
		m.sender, m.viewHash = v.Self(), v.Hash()
		assert.Equal(t, m, decoded, name)
	}
}

// A full state keeps its bytes, and another controller merges it.
func TestGolden_MembershipFullState(t *testing.T) {
	v := goldenView()
	list := goldenMembers()
	for k := range list {
		v.merge(&list[k], "x")
	}
	decoded, err := parseMessage("f", golden(t, "view.bin", v.encodeFullState()))
	require.NoError(t, err)
	assert.Equal(t, kindFull, decoded.kind)
	assert.Equal(t, v.Hash(), decoded.viewHash)
	other := New(0, "f", Member{Name: "z", Incarnation: 1, Address: "127.0.0.1:7100"}, nil, DefaultSettings(), 2)
	other.Step(1, &Event{Kind: ExchangeAnswered, From: "127.0.0.1:7000", Data: must(os.ReadFile("testdata/golden/view.bin"))})
	for _, m := range v.Members() {
		got, found := other.Find(m.Name)
		require.True(t, found, m.Name)
		assert.Equal(t, [...]any{m.Incarnation, m.Refutation, m.State, m.Flags, m.Version, m.Address, m.Zone, m.Region},
			[...]any{got.Incarnation, got.Refutation, got.State, got.Flags, got.Version, got.Address, got.Zone, got.Region}, m.Name)
	}
}

func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}
