package consensus

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"go.etcd.io/raft/v3/raftpb"
)

// The table of the record: one life of a name at a time, and none comes back.
func TestEntries(t *testing.T) {
	in := func(life uint64) *entry { return &entry{Kind: "in", Name: "a", Life: life} }
	lost := func(life uint64) *entry { return &entry{Kind: "lost", Name: "a", Life: life} }
	r := Record{Members: map[string]Member{}}
	for k, c := range []struct {
		e       *entry
		changes bool
		want    Member
	}{
		{lost(1), false, Member{}},
		{in(1), true, Member{Incarnation: 1, Term: 1}},
		{in(2), false, Member{Incarnation: 1, Term: 1}}, // the one before it first
		{lost(2), false, Member{Incarnation: 1, Term: 1}},
		{lost(1), true, Member{Incarnation: 1, Term: 2, Lost: true}},
		{lost(1), false, Member{Incarnation: 1, Term: 2, Lost: true}}, // told twice
		{in(1), false, Member{Incarnation: 1, Term: 2, Lost: true}},
		{in(2), true, Member{Incarnation: 2, Term: 3}},
		{&entry{Kind: "left", Name: "a", Life: 2}, true, Member{Incarnation: 2, Term: 4, Lost: true, LeftGracefully: true}},
	} {
		p, changed := r.enter(c.e)
		assert.Equal(t, c.changes, changed, "%d", k)
		assert.Equal(t, c.want, p, "%d", k)
	}
	assert.Equal(t, uint64(2), r.DeclaredLost)
}

// A lease counts from when it was asked for, and ends by the holder's clock alone; an answer to an earlier asking counts for nothing.
func TestALeaseCountsFromTheAsking(t *testing.T) {
	c := New(0, "x", 1, "", []string{"a"}, PersistedState{}, DefaultSettings(), 1)
	asked := effect(c.Step(0, &Event{Kind: Ticked}), RequestLease)
	require.Equal(t, "a", asked.To)
	c.Step(500, &Event{Kind: LeaseReplied, Token: asked.Token + 1, Reply: LeaseReply{Verdict: Granted}})
	assert.False(t, c.LeaseHeld(500))
	c.Step(500, &Event{Kind: LeaseReplied, Token: asked.Token, Reply: LeaseReply{Verdict: Granted, Leader: "a"}})
	assert.True(t, c.LeaseHeld(500))
	assert.True(t, c.LeaseHeld(leaseMS*(1-drift)-1))
	assert.False(t, c.LeaseHeld(leaseMS*(1-drift)), "before the granter, whose clock may run ahead, counts it as over")
	lapsed := c.Step(leaseMS, &Event{Kind: Ticked})
	assert.False(t, effect(lapsed, LeaseChanged).Held)
	again := effect(lapsed, RequestLease)
	c.Step(leaseMS+1, &Event{Kind: LeaseReplied, Token: again.Token, Reply: LeaseReply{Verdict: IncarnationLost}})
	assert.False(t, c.LeaseHeld(leaseMS+1))
	assert.Zero(t, effect(c.Step(2*leaseMS, &Event{Kind: Ticked}), RequestLease).Token, "a lost life asks no more")
	c.Step(2*leaseMS, &Event{Kind: IncarnationChanged, Incarnation: 2})
	assert.Equal(t, uint64(2), effect(c.effects, RequestLease).Incarnation, "the next life does")
}

// One that gives its lease back acts on it no more, whatever answer is still on its way, and asks for no other.
func TestALeaseGivenBackIsOver(t *testing.T) {
	c := New(0, "x", 1, "", []string{"a"}, PersistedState{}, DefaultSettings(), 1)
	c.Step(1, &Event{Kind: LeaseReplied, Token: effect(c.Step(0, &Event{Kind: Ticked}), RequestLease).Token, Reply: LeaseReply{Verdict: Granted}})
	require.True(t, c.LeaseHeld(2))
	later := effect(c.Step(2500, &Event{Kind: Ticked}), RequestLease)
	require.NotZero(t, later.Token)
	assert.False(t, effect(c.Step(2501, &Event{Kind: LeaseReturned}), LeaseChanged).Held)
	c.Step(2502, &Event{Kind: LeaseReplied, Token: later.Token, Reply: LeaseReply{Verdict: Granted}})
	assert.False(t, c.LeaseHeld(2503))
	assert.Zero(t, effect(c.Step(9000, &Event{Kind: Ticked}), RequestLease).Token)
}

// Founders begin only once each has told its folder, and all with the same beginning; another folder is another voter.
func TestFounding(t *testing.T) {
	names := []string{"a", "b", "c"}
	a := New(0, "a", 1, "fa", names, PersistedState{}, DefaultSettings(), 1)
	assert.Len(t, a.Step(0, &Event{Kind: Ticked}), 3, "greets two, and asks for its lease")
	assert.Empty(t, kept(a.Step(1, &Event{Kind: HelloReceived, Hello: Hello{Name: "b", Folder: "fb"}})))
	assert.Empty(t, kept(a.Step(2, &Event{Kind: HelloReceived, Hello: Hello{Name: "stranger", Folder: "fs"}})))
	snap := kept(a.Step(3, &Event{Kind: HelloReceived, Hello: Hello{Name: "c", Folder: "fc"}}))
	require.Len(t, snap, 1)
	b := New(0, "b", 1, "fb", names, PersistedState{}, DefaultSettings(), 2)
	other := kept(b.Step(9, &Event{Kind: HelloReceived, Hello: a.Hello()}))
	require.Len(t, other, 1, "one that is there already tells who founded it")
	assert.Equal(t, snap[0].Snapshot.GetData(), other[0].Snapshot.GetData())
	assert.True(t, proto.Equal(snap[0].Snapshot.GetMetadata(), other[0].Snapshot.GetMetadata()))
	forgot := New(0, "b", 2, "another folder", names, PersistedState{}, DefaultSettings(), 3)
	assert.Empty(t, kept(forgot.Step(9, &Event{Kind: HelloReceived, Hello: a.Hello()})), "who has forgotten how it voted does not vote")
	assert.False(t, forgot.Hello().Voter)
	assert.NotEqual(t, NodeID("b", "fb"), NodeID("b", "another folder"))
}

// What is kept is kept before anything is said that follows from it; a disk that fails silences this voter, and nothing else.
func TestKeepBeforeSay(t *testing.T) {
	for _, fails := range []bool{false, true} {
		c, _ := founder()
		now, asked := 0.0, Effect{}
		for ; asked.Data == nil && now < 5000; now += 50 {
			asked = effect(c.Step(now, &Event{Kind: Ticked}), SendMessage)
		}
		m := said(t, asked)
		require.Equal(t, raftpb.MsgPreVote, m.GetType(), "which binds nobody")
		yes, err := proto.Marshal(&raftpb.Message{Type: raftpb.MsgPreVoteResp.Enum(), To: proto.Uint64(c.id),
			From: proto.Uint64(NodeID("b", "fb")), Term: proto.Uint64(m.GetTerm())})
		require.NoError(t, err)
		votes := c.Step(now, &Event{Kind: MessageReceived, Name: "b", Data: yes})
		assert.Nil(t, effect(votes, SendMessage).Data, "a vote for itself is on disk first")
		require.Len(t, kept(votes), 1)
		after := c.Step(now+1, &Event{Kind: Stored, Token: kept(votes)[0].Token, Failed: fails})
		if fails {
			assert.NotEmpty(t, effect(after, VoterFailed).Reason)
			assert.Nil(t, effect(after, SendMessage).Data)
		} else {
			assert.Equal(t, raftpb.MsgVote, said(t, effect(after, SendMessage)).GetType())
		}
	}
}

// What a voter says that can't be, or is for another folder, ends nothing.
func TestWhatCanNotBe(t *testing.T) {
	c, _ := founder()
	wrong := &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), To: proto.Uint64(c.id), From: proto.Uint64(NodeID("b", "fb")),
		Term: proto.Uint64(9), Commit: proto.Uint64(1 << 40)}
	data, err := proto.Marshal(wrong)
	require.NoError(t, err)
	for n := range data {
		c.Step(10, &Event{Kind: MessageReceived, Name: "b", Data: data[:n]})
	}
	assert.False(t, c.Status(10).Failed)
	wrong.To = proto.Uint64(7)
	foreign, err := proto.Marshal(wrong)
	require.NoError(t, err)
	c.Step(10, &Event{Kind: MessageReceived, Name: "b", Data: foreign})
	assert.False(t, c.Status(10).Failed)
	assert.NotEmpty(t, effect(c.Step(11, &Event{Kind: MessageReceived, Name: "b", Data: data}), VoterFailed).Reason, "its log and what it is told can't both be true")
	c.Step(12, &Event{Kind: Ticked})
}

// A record that has grown to its bound takes no more names, and those that are in go on.
func TestTheRecordIsBounded(t *testing.T) {
	r := Record{Members: map[string]Member{}}
	for n := range mostKept + 10 {
		name, err := json.Marshal(n)
		require.NoError(t, err)
		r.enter(&entry{Kind: "in", Name: string(name), Life: 1})
	}
	assert.Len(t, r.Members, mostKept)
	_, changed := r.enter(&entry{Kind: "lost", Name: "1", Life: 1})
	assert.True(t, changed)
}

// Plans follow one another by their numbers; orders stand until they are taken back, so many at most; both are in a snapshot.
func TestPlansAndOrders(t *testing.T) {
	r := Record{Members: map[string]Member{}}
	plan := func(n uint64, text string) *entry {
		return &entry{Kind: "plan", Number: n, Data: json.RawMessage(text)}
	}
	assert.False(t, r.replan(plan(2, `{}`)), "there is no first")
	assert.True(t, r.replan(plan(1, `{"a":1}`)))
	assert.False(t, r.replan(plan(1, `{"a":2}`)), "told twice, or by a leader that was late")
	assert.True(t, r.replan(plan(2, `{"a":3}`)))
	assert.False(t, r.replan(plan(3, "")))
	order := func(about, text string) *entry {
		return &entry{Kind: "order", Name: about, Data: json.RawMessage(text)}
	}
	assert.True(t, r.replan(order("zone a", `{"Kind":"hold"}`)))
	assert.True(t, r.replan(order("zone b", `{"Kind":"hold"}`)))
	assert.True(t, r.replan(order("zone a", "")))
	assert.False(t, r.replan(order("zone a", "")), "it is gone")
	for k := range 2 * mostOrders {
		r.replan(order("zone "+string(rune('c'+k)), `{}`))
	}
	assert.Len(t, r.Orders, mostOrders)
	assert.True(t, r.replan(order("zone b", `{"Kind":"evacuate"}`)), "one that is there can be changed still")
	data, err := json.Marshal(&r)
	require.NoError(t, err)
	var again Record
	require.NoError(t, json.Unmarshal(data, &again))
	assert.Equal(t, r.PlanNumber, again.PlanNumber)
	assert.JSONEq(t, `{"a":3}`, string(again.Plan))
	assert.JSONEq(t, `{"Kind":"evacuate"}`, string(again.Orders["zone b"]))
	var e entry
	require.NoError(t, json.Unmarshal(PlanProposal(7, []byte(`{"x":1}`)), &e))
	assert.Equal(t, uint64(7), e.Number)
	require.NoError(t, json.Unmarshal(OrderProposal("zone z", nil), &e))
	assert.Equal(t, "order", e.Kind)
}
