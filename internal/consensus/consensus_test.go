package consensus

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"go.etcd.io/raft/v3/raftpb"
)

// One incarnation of a name is in the record at a time, and none comes back.
func TestRecord_ApplyMembership(t *testing.T) {
	admit := func(incarnation uint64) *entry { return &entry{Kind: EntryAdmit, Name: "a", Incarnation: incarnation} }
	lost := func(incarnation uint64) *entry { return &entry{Kind: EntryLost, Name: "a", Incarnation: incarnation} }
	r := Record{Members: map[string]Member{}}
	for k, c := range []struct {
		e       *entry
		changes bool
		want    Member
	}{
		{lost(1), false, Member{}},
		{admit(1), true, Member{Incarnation: 1, Term: 1}},
		{admit(2), false, Member{Incarnation: 1, Term: 1}}, // the one before has to be lost first
		{lost(2), false, Member{Incarnation: 1, Term: 1}},
		{lost(1), true, Member{Incarnation: 1, Term: 2, Lost: true}},
		{lost(1), false, Member{Incarnation: 1, Term: 2, Lost: true}}, // committed twice
		{admit(1), false, Member{Incarnation: 1, Term: 2, Lost: true}},
		{admit(2), true, Member{Incarnation: 2, Term: 3}},
		{&entry{Kind: EntryLeft, Name: "a", Incarnation: 2}, true, Member{Incarnation: 2, Term: 4, Lost: true, LeftGracefully: true}},
	} {
		p, changed := r.applyMembership(c.e)
		assert.Equal(t, c.changes, changed, "%d", k)
		assert.Equal(t, c.want, p, "%d", k)
	}
	assert.Equal(t, uint64(2), r.DeclaredLost)
}

// A lease counts from when it was requested and ends by the holder's clock; the answer to an earlier request is ignored.
func TestGroup_LeaseCountsFromRequest(t *testing.T) {
	g := New(0, "x", 1, "", []string{"a"}, PersistedState{}, DefaultSettings(), 1)
	request := firstEffect(g.Step(0, &Event{Kind: Ticked}), RequestLease)
	require.Equal(t, "a", request.To)
	g.Step(500, &Event{Kind: LeaseReplied, Token: request.Token + 1, Reply: LeaseReply{Verdict: Granted}})
	assert.False(t, g.LeaseHeld(500))
	g.Step(500, &Event{Kind: LeaseReplied, Token: request.Token, Reply: LeaseReply{Verdict: Granted, Leader: "a"}})
	assert.True(t, g.LeaseHeld(500))
	assert.True(t, g.LeaseHeld(defaultLeaseMS*(1-maxClockDrift)-1))
	assert.False(t, g.LeaseHeld(defaultLeaseMS*(1-maxClockDrift)), "ends before the leader, whose clock may run fast, takes it to be over")
	expired := g.Step(defaultLeaseMS, &Event{Kind: Ticked})
	assert.False(t, firstEffect(expired, LeaseChanged).Held)
	renewed := firstEffect(expired, RequestLease)
	g.Step(defaultLeaseMS+1, &Event{Kind: LeaseReplied, Token: renewed.Token, Reply: LeaseReply{Verdict: IncarnationLost}})
	assert.False(t, g.LeaseHeld(defaultLeaseMS+1))
	assert.Zero(t, firstEffect(g.Step(2*defaultLeaseMS, &Event{Kind: Ticked}), RequestLease).Token, "a lost incarnation requests no lease")
	g.Step(2*defaultLeaseMS, &Event{Kind: IncarnationChanged, Incarnation: 2})
	assert.Equal(t, uint64(2), firstEffect(g.effects, RequestLease).Incarnation, "the next incarnation does")
}

// A member that returns its lease does not act on it any more, whatever answer is still under way, and requests no other.
func TestGroup_ReturnedLeaseIsOver(t *testing.T) {
	g := New(0, "x", 1, "", []string{"a"}, PersistedState{}, DefaultSettings(), 1)
	g.Step(1, &Event{Kind: LeaseReplied, Token: firstEffect(g.Step(0, &Event{Kind: Ticked}), RequestLease).Token, Reply: LeaseReply{Verdict: Granted}})
	require.True(t, g.LeaseHeld(2))
	later := firstEffect(g.Step(2500, &Event{Kind: Ticked}), RequestLease)
	require.NotZero(t, later.Token)
	assert.False(t, firstEffect(g.Step(2501, &Event{Kind: LeaseReturned}), LeaseChanged).Held)
	g.Step(2502, &Event{Kind: LeaseReplied, Token: later.Token, Reply: LeaseReply{Verdict: Granted}})
	assert.False(t, g.LeaseHeld(2503))
	assert.Zero(t, firstEffect(g.Step(9000, &Event{Kind: Ticked}), RequestLease).Token)
}

// Founders form the group once each has told its data folder, with equal snapshots; another data folder is another voter.
func TestGroup_Formation(t *testing.T) {
	names := []string{"a", "b", "c"}
	a := New(0, "a", 1, "fa", names, PersistedState{}, DefaultSettings(), 1)
	assert.Len(t, a.Step(0, &Event{Kind: Ticked}), 3, "asks two founders for their Hello and requests its lease")
	assert.Empty(t, persistEffects(a.Step(1, &Event{Kind: HelloReceived, Hello: Hello{Name: "b", Folder: "fb"}})))
	assert.Empty(t, persistEffects(a.Step(2, &Event{Kind: HelloReceived, Hello: Hello{Name: "stranger", Folder: "fs"}})))
	formed := persistEffects(a.Step(3, &Event{Kind: HelloReceived, Hello: Hello{Name: "c", Folder: "fc"}}))
	require.Len(t, formed, 1)
	b := New(0, "b", 1, "fb", names, PersistedState{}, DefaultSettings(), 2)
	other := persistEffects(b.Step(9, &Event{Kind: HelloReceived, Hello: a.Hello()}))
	require.Len(t, other, 1, "a group that exists tells its founders")
	assert.Equal(t, formed[0].Snapshot.GetData(), other[0].Snapshot.GetData())
	assert.True(t, proto.Equal(formed[0].Snapshot.GetMetadata(), other[0].Snapshot.GetMetadata()))
	reinstalled := New(0, "b", 2, "another folder", names, PersistedState{}, DefaultSettings(), 3)
	assert.Empty(t, persistEffects(reinstalled.Step(9, &Event{Kind: HelloReceived, Hello: a.Hello()})), "a member that has forgotten how it voted does not vote")
	assert.False(t, reinstalled.Hello().Voter)
	assert.NotEqual(t, NodeID("b", "fb"), NodeID("b", "another folder"))
}

// State is durable before a message that depends on it is sent; a disk that fails stops this voter and nothing else.
func TestGroup_PersistsBeforeSending(t *testing.T) {
	for _, fails := range []bool{false, true} {
		g, _ := newFounder()
		now, sent := 0.0, Effect{}
		for ; sent.Data == nil && now < 5000; now += 50 {
			sent = firstEffect(g.Step(now, &Event{Kind: Ticked}), SendMessage)
		}
		m := decodeMessage(t, sent)
		require.Equal(t, raftpb.MsgPreVote, m.GetType(), "a pre-vote binds nobody")
		vote, err := proto.Marshal(&raftpb.Message{Type: raftpb.MsgPreVoteResp.Enum(), To: proto.Uint64(g.nodeID),
			From: proto.Uint64(NodeID("b", "fb")), Term: proto.Uint64(m.GetTerm())})
		require.NoError(t, err)
		votes := g.Step(now, &Event{Kind: MessageReceived, Name: "b", Data: vote})
		assert.Nil(t, firstEffect(votes, SendMessage).Data, "its vote for itself has to be durable first")
		require.Len(t, persistEffects(votes), 1)
		after := g.Step(now+1, &Event{Kind: Stored, Token: persistEffects(votes)[0].Token, Failed: fails})
		if fails {
			assert.NotEmpty(t, firstEffect(after, VoterFailed).Reason)
			assert.Nil(t, firstEffect(after, SendMessage).Data)
		} else {
			assert.Equal(t, raftpb.MsgVote, decodeMessage(t, firstEffect(after, SendMessage)).GetType())
		}
	}
}

// Messages that are truncated or for another node are ignored; one that contradicts the log stops this voter, not the process.
func TestGroup_ContradictingMessageFailsVoterOnly(t *testing.T) {
	g, _ := newFounder()
	wrong := &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), To: proto.Uint64(g.nodeID), From: proto.Uint64(NodeID("b", "fb")),
		Term: proto.Uint64(9), Commit: proto.Uint64(1 << 40)}
	data, err := proto.Marshal(wrong)
	require.NoError(t, err)
	for n := range data {
		g.Step(10, &Event{Kind: MessageReceived, Name: "b", Data: data[:n]})
	}
	assert.False(t, g.Status(10).Failed)
	wrong.To = proto.Uint64(7)
	foreign, err := proto.Marshal(wrong)
	require.NoError(t, err)
	g.Step(10, &Event{Kind: MessageReceived, Name: "b", Data: foreign})
	assert.False(t, g.Status(10).Failed)
	assert.NotEmpty(t, firstEffect(g.Step(11, &Event{Kind: MessageReceived, Name: "b", Data: data}), VoterFailed).Reason, "the message contradicts its log")
	g.Step(12, &Event{Kind: Ticked})
}

// A full record admits no further names, and its members go on.
func TestRecord_MembersAreBounded(t *testing.T) {
	r := Record{Members: map[string]Member{}}
	for n := range maxMembers + 10 {
		name, err := json.Marshal(n)
		require.NoError(t, err)
		r.applyMembership(&entry{Kind: EntryAdmit, Name: string(name), Incarnation: 1})
	}
	assert.Len(t, r.Members, maxMembers)
	_, changed := r.applyMembership(&entry{Kind: EntryLost, Name: "1", Incarnation: 1})
	assert.True(t, changed)
}

// Plans are applied in the order of their numbers; a bounded number of orders stand until they are revoked; both are in a snapshot.
func TestRecord_ApplyPlan(t *testing.T) {
	r := Record{Members: map[string]Member{}}
	plan := func(n uint64, text string) *entry {
		return &entry{Kind: EntryPlan, Number: n, Data: json.RawMessage(text)}
	}
	assert.False(t, r.applyPlan(plan(2, `{}`)), "there is no plan 1")
	assert.True(t, r.applyPlan(plan(1, `{"a":1}`)))
	assert.False(t, r.applyPlan(plan(1, `{"a":2}`)), "proposed twice, or by a stale leader")
	assert.True(t, r.applyPlan(plan(2, `{"a":3}`)))
	assert.False(t, r.applyPlan(plan(3, "")))
	order := func(about, text string) *entry {
		return &entry{Kind: EntryOrder, Name: about, Data: json.RawMessage(text)}
	}
	assert.True(t, r.applyPlan(order("zone a", `{"Kind":"hold"}`)))
	assert.True(t, r.applyPlan(order("zone b", `{"Kind":"hold"}`)))
	assert.True(t, r.applyPlan(order("zone a", "")))
	assert.False(t, r.applyPlan(order("zone a", "")), "it is revoked already")
	for k := range 2 * maxOrders {
		r.applyPlan(order("zone "+string(rune('c'+k)), `{}`))
	}
	assert.Len(t, r.Orders, maxOrders)
	assert.True(t, r.applyPlan(order("zone b", `{"Kind":"evacuate"}`)), "an order that stands can be changed")
	data, err := json.Marshal(&r)
	require.NoError(t, err)
	var decoded Record
	require.NoError(t, json.Unmarshal(data, &decoded))
	assert.Equal(t, r.PlanNumber, decoded.PlanNumber)
	assert.JSONEq(t, `{"a":3}`, string(decoded.Plan))
	assert.JSONEq(t, `{"Kind":"evacuate"}`, string(decoded.Orders["zone b"]))
	var e entry
	require.NoError(t, json.Unmarshal(PlanProposal(7, []byte(`{"x":1}`)), &e))
	assert.Equal(t, uint64(7), e.Number)
	require.NoError(t, json.Unmarshal(OrderProposal("zone z", nil), &e))
	assert.Equal(t, EntryOrder, e.Kind)
}
