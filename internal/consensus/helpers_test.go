package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// effect gives the first of a kind, or an empty one.
func effect(list []Effect, kind EffectKind) Effect {
	for _, e := range list {
		if e.Kind == kind {
			return e
		}
	}
	return Effect{}
}

// kept gives what is to be kept.
func kept(list []Effect) (out []Effect) {
	for _, e := range list {
		if e.Kind == Persist {
			out = append(out, e)
		}
	}
	return out
}

// founder is one of three that have founded the council.
func founder() (*Group, Effect) {
	c := New(0, "a", 1, "fa", []string{"a", "b", "c"}, PersistedState{}, DefaultSettings(), 1)
	c.Step(0, &Event{Kind: HelloReceived, Hello: Hello{Name: "b", Folder: "fb"}})
	return c, kept(c.Step(1, &Event{Kind: HelloReceived, Hello: Hello{Name: "c", Folder: "fc"}}))[0]
}

// said is what a voter is told.
func said(t *testing.T, e Effect) *raftpb.Message {
	t.Helper()
	require.Equal(t, SendMessage, e.Kind)
	m := &raftpb.Message{}
	require.NoError(t, proto.Unmarshal(e.Data, m))
	return m
}
