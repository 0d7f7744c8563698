package consensus

import (
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

// decodeMessage decodes the message of a SendMessage effect.
func decodeMessage(t *testing.T, e Effect) *raftpb.Message {
	t.Helper()
	require.Equal(t, SendMessage, e.Kind)
	m := &raftpb.Message{}
	require.NoError(t, proto.Unmarshal(e.Data, m))
	return m
}
