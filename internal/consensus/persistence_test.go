package consensus

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// receive steps a group with a Raft message from the founder b or c.
func receive(t *testing.T, g *Group, now float64, from string, m *raftpb.Message) []Effect {
	t.Helper()
	m.To, m.From = proto.Uint64(g.nodeID), proto.Uint64(NodeID(from, "f"+from))
	data, err := proto.Marshal(m)
	require.NoError(t, err)
	return g.Step(now, &Event{Kind: MessageReceived, Name: from, Data: data})
}

// sentTypes returns the types of the Raft messages that effects send.
func sentTypes(t *testing.T, effects []Effect) (types []raftpb.MessageType) {
	t.Helper()
	for _, e := range effects {
		if e.Kind == SendMessage {
			types = append(types, decodeMessage(t, e).GetType())
		}
	}
	return types
}

// sentOfType returns the first Raft message of a type that effects send. There must be one.
func sentOfType(t *testing.T, effects []Effect, wanted raftpb.MessageType) *raftpb.Message {
	t.Helper()
	for _, e := range effects {
		if e.Kind == SendMessage && decodeMessage(t, e).GetType() == wanted {
			return decodeMessage(t, e)
		}
	}
	require.Fail(t, "no such message", "%v", wanted)
	return nil
}

// electLeader elects founder a of three with the votes of b, and returns the time and the token of the write of the
// first entry of its term, which is in flight.
func electLeader(t *testing.T, g *Group) (now float64, token uint64) {
	t.Helper()
	var effects []Effect
	for len(sentTypes(t, effects)) == 0 {
		now += 50
		require.Less(t, now, 4.0*minElectionTimeoutMS, "a must campaign")
		effects = g.Step(now, &Event{Kind: Ticked})
	}
	term := g.node.BasicStatus().GetTerm() + 1
	votes := receive(t, g, now, "b", &raftpb.Message{Type: raftpb.MsgPreVoteResp.Enum(), Term: proto.Uint64(term)})
	g.Step(now, &Event{Kind: Stored, Token: persistEffects(votes)[0].Token})
	elected := receive(t, g, now, "b", &raftpb.Message{Type: raftpb.MsgVoteResp.Enum(), Term: proto.Uint64(term)})
	require.True(t, g.isLeader)
	require.Len(t, persistEffects(elected), 1)
	return now, persistEffects(elected)[0].Token
}

// A leader whose disk takes long goes on sending heartbeats, and grants leases once its first entry is durable.
func TestGroup_LeaderSendsHeartbeatsWhileItWrites(t *testing.T) {
	g, _ := newFounder()
	now, token := electLeader(t, g)
	g.record.Members["x"] = Member{Incarnation: 1, Term: 1}
	g.Step(now, &Event{Kind: LeaseRequested, Token: 7, Name: "x", Incarnation: 1})
	for until := now + 4*minElectionTimeoutMS; now < until; {
		now += heartbeatIntervalMS
		assert.Contains(t, sentTypes(t, g.Step(now, &Event{Kind: Ticked})), raftpb.MsgHeartbeat, "at %v ms", now)
		heard := receive(t, g, now, "b", &raftpb.Message{Type: raftpb.MsgHeartbeatResp.Enum(),
			Term: proto.Uint64(g.node.BasicStatus().GetTerm())})
		assert.Zero(t, firstEffect(heard, ReplyLease).Token)
	}
	assert.True(t, g.isLeader)
	g.Step(now, &Event{Kind: Stored, Token: token})
	acknowledged := receive(t, g, now, "b", &raftpb.Message{Type: raftpb.MsgAppResp.Enum(), Index: proto.Uint64(2),
		Term: proto.Uint64(g.node.BasicStatus().GetTerm())})
	asked := sentOfType(t, acknowledged, raftpb.MsgHeartbeat) // whether it still leads
	confirmed := receive(t, g, now, "b", &raftpb.Message{Type: raftpb.MsgHeartbeatResp.Enum(),
		Term: proto.Uint64(g.node.BasicStatus().GetTerm()), Context: asked.GetContext()})
	assert.Equal(t, Granted, firstEffect(confirmed, ReplyLease).Reply.Verdict)
	assert.Equal(t, uint64(7), firstEffect(confirmed, ReplyLease).Token)
}

// A follower answers heartbeats while it writes, and acknowledges entries and grants votes only when they are durable.
func TestGroup_FollowerAnswersHeartbeatsWhileItWrites(t *testing.T) {
	g, _ := newFounder()
	entry := &raftpb.Entry{Term: proto.Uint64(2), Index: proto.Uint64(2)}
	appended := receive(t, g, 2, "b", &raftpb.Message{Type: raftpb.MsgApp.Enum(), Term: proto.Uint64(2),
		LogTerm: proto.Uint64(1), Index: proto.Uint64(1), Entries: []*raftpb.Entry{entry}})
	assert.Empty(t, sentTypes(t, appended))
	require.Len(t, persistEffects(appended), 1)
	heard := receive(t, g, 3, "b", &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), Term: proto.Uint64(2)})
	assert.Equal(t, []raftpb.MessageType{raftpb.MsgHeartbeatResp}, sentTypes(t, heard))
	second := &raftpb.Entry{Term: proto.Uint64(2), Index: proto.Uint64(3)}
	assert.Empty(t, sentTypes(t, receive(t, g, 4, "b", &raftpb.Message{Type: raftpb.MsgApp.Enum(), Term: proto.Uint64(2),
		LogTerm: proto.Uint64(2), Index: proto.Uint64(2), Entries: []*raftpb.Entry{second}})))
	asked := receive(t, g, 5, "c", &raftpb.Message{Type: raftpb.MsgVote.Enum(), Term: proto.Uint64(3),
		LogTerm: proto.Uint64(2), Index: proto.Uint64(3), Context: []byte("CampaignTransfer")})
	assert.Empty(t, sentTypes(t, asked), "the vote must be durable")
	assert.Empty(t, persistEffects(asked), "one write is in flight")
	stored := g.Step(6, &Event{Kind: Stored, Token: persistEffects(appended)[0].Token})
	assert.Equal(t, []raftpb.MessageType{raftpb.MsgAppResp}, sentTypes(t, stored), "of the first entry")
	rest := persistEffects(stored)
	require.Len(t, rest, 1)
	assert.Len(t, rest[0].Entries, 1, "the second entry; the vote is of another term and written by itself")
	stored = g.Step(7, &Event{Kind: Stored, Token: rest[0].Token})
	assert.Equal(t, []raftpb.MessageType{raftpb.MsgAppResp}, sentTypes(t, stored))
	rest = persistEffects(stored)
	require.Len(t, rest, 1)
	assert.Equal(t, NodeID("c", "fc"), rest[0].State.GetVote())
	voted := g.Step(8, &Event{Kind: Stored, Token: rest[0].Token})
	assert.Equal(t, []raftpb.MessageType{raftpb.MsgVoteResp}, sentTypes(t, voted))
}

// A leader whose disk is much slower than those of the other voters falls silent, so that one of them is elected: it can't
// apply what they have committed, and so grants no leases.
func TestGroup_LeaderThatLagsBehindFallsSilent(t *testing.T) {
	g, _ := newFounder()
	now, token := electLeader(t, g)
	acknowledge := func() {
		for _, from := range []string{"b", "c"} {
			receive(t, g, now, from, &raftpb.Message{Type: raftpb.MsgAppResp.Enum(), Index: proto.Uint64(2),
				Term: proto.Uint64(g.node.BasicStatus().GetTerm())})
		}
	}
	acknowledge()
	assert.Equal(t, uint64(2), g.node.BasicStatus().GetCommit())
	now += heartbeatIntervalMS
	assert.Contains(t, sentTypes(t, g.Step(now, &Event{Kind: Ticked})), raftpb.MsgHeartbeat)
	now += maxLeaderWriteMS
	g.Step(now, &Event{Kind: Ticked})
	for range 3 {
		now += heartbeatIntervalMS
		effects := g.Step(now, &Event{Kind: LeaseRequested, Token: 7, Name: "x", Incarnation: 1})
		assert.Empty(t, sentTypes(t, effects), "at %v ms", now)
	}
	g.Step(now, &Event{Kind: Stored, Token: token})
	now += heartbeatIntervalMS
	assert.Contains(t, sentTypes(t, g.Step(now, &Event{Kind: Ticked})), raftpb.MsgHeartbeat, "its disk has caught up")
}

// Queued writes of one term are combined: later entries replace those of the same and of higher indexes.
func TestRaftWrite_AddReplacesEntries(t *testing.T) {
	entries := func(term uint64, indexes ...uint64) (list []*raftpb.Entry) {
		for _, index := range indexes {
			list = append(list, &raftpb.Entry{Term: proto.Uint64(term), Index: proto.Uint64(index)})
		}
		return list
	}
	state := &raftpb.HardState{Term: proto.Uint64(3), Commit: proto.Uint64(4)}
	write := &raftWrite{term: 3, entries: entries(2, 4, 5, 6)}
	require.True(t, write.canAdd(&raftWrite{term: 3}))
	write.add(&raftWrite{term: 3, entries: entries(3, 5), state: state})
	assert.Equal(t, append(entries(2, 4), entries(3, 5)...), write.entries)
	write.add(&raftWrite{term: 3, entries: entries(3, 6)})
	assert.Len(t, write.entries, 3)
	assert.Equal(t, state, write.state)
	assert.False(t, write.canAdd(&raftWrite{term: 4}))
	assert.False(t, write.canAdd(&raftWrite{term: 3, snapshot: &raftpb.Snapshot{}}))
}
