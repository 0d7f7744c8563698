package membership

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files anew")

// golden holds bytes against a file of testdata/golden, and gives what the file has.
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

// goldenMembers is one in each phase, with each mark.
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

// Every kind of datagram has the bytes that it had, and is read as it was.
func TestGolden_MembersDatagrams(t *testing.T) {
	for name, kind := range map[string]messageKind{"ping": ping, "ack": ack, "request": request, "nack": nack, "gossip": gossip, "digest": digest,
		"same": same, "full": full} {
		v := goldenView()
		m := message{kind: kind, number: 1000, target: "b", life: 2, news: goldenMembers()}
		read, err := parse("f", golden(t, "datagram-"+name+".bin", v.pack(&m, nil)))
		require.NoError(t, err)
		m.own, m.hash = v.Self(), v.Hash()
		assert.Equal(t, m, read, name)
	}
}

// A whole view has the bytes that it had, and another controller takes it in.
func TestGolden_MembersWholeView(t *testing.T) {
	v := goldenView()
	list := goldenMembers()
	for k := range list {
		v.merge(&list[k], "x")
	}
	read, err := parse("f", golden(t, "view.bin", v.fullState()))
	require.NoError(t, err)
	assert.Equal(t, full, read.kind)
	assert.Equal(t, v.Hash(), read.hash)
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
