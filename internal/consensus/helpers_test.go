package consensus

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// firstEffect returns the first effect of a kind, or the zero value.
func firstEffect(list []Effect, kind EffectKind) Effect {
	for _, e := range list {
		if e.Kind == kind {
			return e
		}
	}
	return Effect{}
}

// persistEffects returns the Persist effects.
func persistEffects(list []Effect) (out []Effect) {
	for _, e := range list {
		if e.Kind == Persist {
			out = append(out, e)
		}
	}
	return out
}

// newFounder returns founder "a" of a group of three after formation, and the effect that persists the first snapshot.
func newFounder() (*Group, Effect) {
	g := New(0, "a", 1, "fa", []string{"a", "b", "c"}, PersistedState{}, DefaultSettings(), 1)
	g.Step(0, &Event{Kind: HelloReceived, Hello: Hello{Name: "b", Folder: "fb"}})
	return g, persistEffects(g.Step(1, &Event{Kind: HelloReceived, Hello: Hello{Name: "c", Folder: "fc"}}))[0]
}

// newOnlyVoter returns a member "a" that is the only voter of its group.
func newOnlyVoter(settings Settings) *Group {
	onlyVoter := []Voter{{ID: NodeID("a", "fa"), Name: "a"}}
	snapshot := &raftpb.Snapshot{
		Data: must(json.Marshal(&Record{Members: map[string]Member{}, Voters: onlyVoter, Founders: onlyVoter})),
		Metadata: &raftpb.SnapshotMetadata{ConfState: &raftpb.ConfState{Voters: []uint64{onlyVoter[0].ID}},
			Index: proto.Uint64(1), Term: proto.Uint64(1)},
	}
	state := &raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}
	return New(0, "a", 1, "fa", []string{"a"}, PersistedState{Snapshot: snapshot, State: state}, settings, 1)
}

// electOnlyVoter steps the only voter of a group until it leads, and returns the time and the effect that persists the
// first entry of its term, which is not stored yet.
func electOnlyVoter(t *testing.T, g *Group) (now float64, firstEntry Effect) {
	t.Helper()
	for now = 0; now < 4*minElectionTimeoutMS; now += 50 {
		effects := g.Step(now, &Event{Kind: Ticked})
		for list := persistEffects(effects); len(list) > 0; list = persistEffects(effects) {
			if g.isLeader {
				return now, list[0]
			}
			effects = g.Step(now, &Event{Kind: Stored, Token: list[0].Token})
		}
	}
	require.Fail(t, "the only voter does not lead")
	return now, firstEntry
}

// decodeMessage decodes the message of a SendMessage effect.
func decodeMessage(t *testing.T, e Effect) *raftpb.Message {
	t.Helper()
	require.Equal(t, SendMessage, e.Kind)
	m := &raftpb.Message{}
	require.NoError(t, proto.Unmarshal(e.Data, m))
	return m
}
