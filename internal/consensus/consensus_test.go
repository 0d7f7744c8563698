package consensus

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The record never holds two live incarnations of a name, and never admits a lost incarnation again.
func TestRecord_AdmitsOneIncarnationAtATime(t *testing.T) {
	admit := func(incarnation uint64) *entry { return &entry{Kind: EntryAdmit, Name: "a", Incarnation: incarnation} }
	lost := func(incarnation uint64) *entry { return &entry{Kind: EntryLost, Name: "a", Incarnation: incarnation} }
	record := Record{Members: map[string]Member{}}
	for step, test := range []struct {
		entry   *entry
		changes bool
		want    Member
	}{
		{lost(1), false, Member{}},
		{admit(1), true, Member{Incarnation: 1, Term: 1}},
		{admit(2), false, Member{Incarnation: 1, Term: 1}}, // incarnation 1 is not lost yet
		{lost(2), false, Member{Incarnation: 1, Term: 1}},
		{lost(1), true, Member{Incarnation: 1, Term: 2, Lost: true}},
		{lost(1), false, Member{Incarnation: 1, Term: 2, Lost: true}}, // committed twice
		{admit(1), false, Member{Incarnation: 1, Term: 2, Lost: true}},
		{admit(2), true, Member{Incarnation: 2, Term: 3}},
		{&entry{Kind: EntryLeft, Name: "a", Incarnation: 2}, true,
			Member{Incarnation: 2, Term: 4, Lost: true, LeftGracefully: true}},
	} {
		member, changed := record.applyMembership(test.entry)
		assert.Equal(t, test.changes, changed, "whether the entry of step %d changes the member", step)
		assert.Equal(t, test.want, member, "the member after step %d", step)
	}
	assert.Equal(t, uint64(2), record.DeclaredLost)
}

// A lease counts from when it was requested, by the holder's clock. The reply to an earlier request is ignored.
func TestGroup_LeaseCountsFromRequest(t *testing.T) {
	g := New(0, "x", 1, "", []string{"a"}, PersistedState{}, DefaultSettings(), 1)
	request := firstEffect(g.Step(0, &Event{Kind: Ticked}), RequestLease)
	require.Equal(t, "a", request.To)
	g.Step(500, &Event{Kind: LeaseReplied, Token: request.Token + 1, Reply: LeaseReply{Verdict: Granted}})
	assert.False(t, g.LeaseHeld(500))
	g.Step(500, &Event{Kind: LeaseReplied, Token: request.Token, Reply: LeaseReply{Verdict: Granted, Leader: "a"}})
	assert.True(t, g.LeaseHeld(500))
	assert.True(t, g.LeaseHeld(defaultLeaseMS*(1-maxClockDrift)-1))
	assert.False(t, g.LeaseHeld(defaultLeaseMS*(1-maxClockDrift)),
		"the holder has to stop before the leader, whose clock may run faster, considers the lease expired")
	expired := g.Step(defaultLeaseMS, &Event{Kind: Ticked})
	assert.False(t, firstEffect(expired, LeaseChanged).Held)
	renewed := firstEffect(expired, RequestLease)
	lost := LeaseReply{Verdict: IncarnationLost}
	g.Step(defaultLeaseMS+1, &Event{Kind: LeaseReplied, Token: renewed.Token, Reply: lost})
	assert.False(t, g.LeaseHeld(defaultLeaseMS+1))
	afterLoss := g.Step(2*defaultLeaseMS, &Event{Kind: Ticked})
	assert.Zero(t, firstEffect(afterLoss, RequestLease).Token, "a lost incarnation requests no lease")
	g.Step(2*defaultLeaseMS, &Event{Kind: IncarnationChanged, Incarnation: 2})
	assert.Equal(t, uint64(2), firstEffect(g.effects, RequestLease).Incarnation, "the next incarnation requests one")
}

// A member that knows no leader asks all founders in turn, whether a request fails or is rejected. One that rejects it
// without naming a leader, such as the member itself, must not be the only one that is asked from then on.
func TestGroup_AsksAllFoundersForLeader(t *testing.T) {
	rejected := Event{Kind: LeaseReplied, Reply: LeaseReply{Verdict: NotLeader}}
	for _, founders := range [][]string{{"b", "a"}, {"a", "b", "c", "d"}} {
		g := New(0, "a", 1, "", founders, PersistedState{}, DefaultSettings(), 1)
		reply, now := Event{Kind: LeaseReplied, Failed: true}, 0.0
		for round := range 3 {
			var asked []string
			for range founders {
				request := firstEffect(g.Step(now, &Event{Kind: Ticked}), RequestLease)
				require.NotZero(t, request.Token, "founders %v, round %d", founders, round)
				asked = append(asked, request.To)
				reply.Token = request.Token
				g.Step(now+1, &reply)
				reply = rejected
				now += 2*heartbeatIntervalMS + 1
			}
			assert.Equal(t, founders, asked, "members asked in round %d", round)
		}
	}
}

// A released lease is over, even if the reply to an earlier request still arrives, and no other lease is requested.
func TestGroup_ReleasedLeaseIsOver(t *testing.T) {
	g := New(0, "x", 1, "", []string{"a"}, PersistedState{}, DefaultSettings(), 1)
	first := firstEffect(g.Step(0, &Event{Kind: Ticked}), RequestLease)
	g.Step(1, &Event{Kind: LeaseReplied, Token: first.Token, Reply: LeaseReply{Verdict: Granted}})
	require.True(t, g.LeaseHeld(2))
	later := firstEffect(g.Step(2500, &Event{Kind: Ticked}), RequestLease)
	require.NotZero(t, later.Token)
	assert.False(t, firstEffect(g.Step(2501, &Event{Kind: LeaseReleased}), LeaseChanged).Held)
	g.Step(2502, &Event{Kind: LeaseReplied, Token: later.Token, Reply: LeaseReply{Verdict: Granted}})
	assert.False(t, g.LeaseHeld(2503))
	assert.Zero(t, firstEffect(g.Step(9000, &Event{Kind: Ticked}), RequestLease).Token)
}

// Founders form the group from equal snapshots once they know each other's data folders. A founder with another data
// folder than at formation is not a voter.
func TestGroup_FoundersFormGroupFromEqualSnapshots(t *testing.T) {
	founders := []string{"a", "b", "c"}
	a := New(0, "a", 1, "fa", founders, PersistedState{}, DefaultSettings(), 1)
	assert.Len(t, a.Step(0, &Event{Kind: Ticked}), 3, "two Hello requests and a lease request")
	assert.Empty(t, persistEffects(a.Step(1, &Event{Kind: HelloReceived, Hello: Hello{Name: "b", Folder: "fb"}})))
	assert.Empty(t, persistEffects(a.Step(2, &Event{Kind: HelloReceived, Hello: Hello{Name: "stranger", Folder: "fs"}})),
		"the Hello of a member that is not a founder does not count")
	formed := persistEffects(a.Step(3, &Event{Kind: HelloReceived, Hello: Hello{Name: "c", Folder: "fc"}}))
	require.Len(t, formed, 1)
	b := New(0, "b", 1, "fb", founders, PersistedState{}, DefaultSettings(), 2)
	other := persistEffects(b.Step(9, &Event{Kind: HelloReceived, Hello: a.Hello()}))
	require.Len(t, other, 1, "the Hello of a group's member names its founders")
	assert.Equal(t, formed[0].Snapshot.GetData(), other[0].Snapshot.GetData())
	assert.True(t, proto.Equal(formed[0].Snapshot.GetMetadata(), other[0].Snapshot.GetMetadata()))
	reinstalled := New(0, "b", 2, "another folder", founders, PersistedState{}, DefaultSettings(), 3)
	assert.Empty(t, persistEffects(reinstalled.Step(9, &Event{Kind: HelloReceived, Hello: a.Hello()})),
		"a member that has lost its votes does not vote")
	assert.False(t, reinstalled.Hello().Voter)
	assert.NotEqual(t, NodeID("b", "fb"), NodeID("b", "another folder"))
}

// Guards against a second group: founders that lost their data folders one after the other, each once another member had
// taken its place as a voter, formed a group of their own beside the one that went on.
func TestGroup_FoundersFormNoSecondGroup(t *testing.T) {
	founders := []string{"a", "b", "c"}
	hello := func(name string, groupKnown bool) *Event {
		return &Event{Kind: HelloReceived, Hello: Hello{Name: name, Folder: "f" + name, GroupKnown: groupKnown}}
	}
	newMember := func() *Group { return New(0, "a", 1, "fa", founders, PersistedState{}, DefaultSettings(), 1) }
	step := func(g *Group, events ...*Event) (formed bool) {
		for k, event := range events {
			formed = formed || len(persistEffects(g.Step(float64(1+k), event))) > 0
		}
		return formed
	}
	assert.True(t, step(newMember(), hello("b", false), hello("c", false)), "nobody knows of a group")

	assert.False(t, step(newMember(), hello("b", true), hello("b", false), hello("c", false)), "another founder knows of one")

	for name, reply := range map[string]LeaseReply{
		"lease granted":      {Verdict: Granted, Leader: "n1"},
		"not admitted yet":   {Verdict: NotAdmitted},
		"leader named":       {Verdict: NotLeader, Leader: "n1"},
		"no leader, unknown": {Verdict: NotLeader},
	} {
		g := newMember()
		request := firstEffect(g.Step(0, &Event{Kind: Ticked}), RequestLease)
		g.Step(1, &Event{Kind: LeaseReplied, Token: request.Token, Reply: reply})
		knowsGroup := name != "no leader, unknown"
		assert.Equal(t, knowsGroup, g.Hello().GroupKnown, name)
		assert.Equal(t, !knowsGroup, step(g, hello("b", false), hello("c", false)), name)
	}

	g := newMember()
	g.Observe([]Observation{
		{Name: "n1", Alive: true, CanVote: true}, {Name: "n2", Alive: true}, {Name: "n3", CanVote: true}, {Name: "a", Alive: true, CanVote: true},
	})
	var asked []string
	for _, e := range g.Step(1, &Event{Kind: Ticked}) {
		if e.Kind == RequestHello {
			asked = append(asked, e.To)
		}
	}
	assert.Equal(t, []string{"b", "c", "n1"}, asked)
	assert.False(t, step(g, hello("b", false), hello("c", false)), "n1 can vote and may know of a group")
	assert.True(t, step(g, hello("n1", false)))
}

// Raft state is durable before a message that depends on it is sent. A disk failure stops the voter before it sends.
func TestGroup_PersistsBeforeSending(t *testing.T) {
	for _, fails := range []bool{false, true} {
		g, _ := newFounder()
		now, sent := 0.0, Effect{}
		for ; sent.Data == nil && now < 5000; now += 50 {
			sent = firstEffect(g.Step(now, &Event{Kind: Ticked}), SendMessage)
		}
		m := decodeMessage(t, sent)
		require.Equal(t, raftpb.MsgPreVote, m.GetType(), "a pre-vote request needs no durable state")
		vote, err := proto.Marshal(&raftpb.Message{Type: raftpb.MsgPreVoteResp.Enum(), To: proto.Uint64(g.nodeID),
			From: proto.Uint64(NodeID("b", "fb")), Term: proto.Uint64(m.GetTerm())})
		require.NoError(t, err)
		votes := g.Step(now, &Event{Kind: MessageReceived, Name: "b", Data: vote})
		assert.Nil(t, firstEffect(votes, SendMessage).Data, "the vote for itself has to be durable before it requests votes")
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

// A leader whose disk fails answers the lease requests that wait for a quorum, and no longer names itself the leader.
func TestGroup_FailedLeaderRejectsLeaseRequests(t *testing.T) {
	g := newOnlyVoter(DefaultSettings())
	now, firstEntry := electOnlyVoter(t, g)
	waiting := g.Step(now, &Event{Kind: LeaseRequested, Token: 7, Name: "x", Incarnation: 1})
	require.Zero(t, firstEffect(waiting, ReplyLease).Token, "the request waits for the first entry of the term")
	failed := g.Step(now+1, &Event{Kind: Stored, Token: firstEntry.Token, Failed: true})
	require.NotEmpty(t, firstEffect(failed, VoterFailed).Reason)
	rejected := Effect{Kind: ReplyLease, Token: 7, Reply: LeaseReply{Verdict: NotLeader}}
	assert.Equal(t, rejected, firstEffect(failed, ReplyLease))
	assert.Contains(t, failed, Effect{Kind: LeaderChanged}, "the failed voter knows no leader")
	assert.Empty(t, g.Status(now+1).Leader)
	later := g.Step(now+2, &Event{Kind: LeaseRequested, Token: 8, Name: "x", Incarnation: 1})
	rejected.Token = 8
	assert.Equal(t, rejected, firstEffect(later, ReplyLease))
}

// The reply to the release of a lease is Granted only if the leader has accepted that the member left. Here Raft has
// made the leader a follower, which shows only after the event of the release.
func TestGroup_RefusedReleaseIsNotGranted(t *testing.T) {
	release := Event{Kind: LeaseRequested, Token: 7, Name: "x", Incarnation: 1, Release: true}
	for _, steppedDown := range []bool{false, true} {
		g := newOnlyVoter(DefaultSettings())
		now, firstEntry := electOnlyVoter(t, g)
		g.record.Members["x"] = Member{Incarnation: 1, Term: 1}
		want := Granted
		if steppedDown {
			want = NotLeader
			g.peerNames[NodeID("b", "fb")] = "b"
			require.NoError(t, g.node.Step(&raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), To: proto.Uint64(g.nodeID),
				From: proto.Uint64(NodeID("b", "fb")), Term: proto.Uint64(9)}))
		}
		require.True(t, g.isLeader)
		reply := firstEffect(g.Step(now, &release), ReplyLease)
		assert.Equal(t, uint64(7), reply.Token)
		assert.Equal(t, want, reply.Reply.Verdict, "leader stepped down: %v", steppedDown)
		if steppedDown {
			g.Step(now, &Event{Kind: Stored, Token: firstEntry.Token})
			require.False(t, g.isLeader)
			reply = firstEffect(g.Step(now, &release), ReplyLease)
			assert.Equal(t, LeaseReply{Verdict: NotLeader, Leader: "b"}, reply.Reply, "the reply of a follower")
		}
	}
}

// An operator's request to replace a voter ends with the leadership. A member that leads again must not act on it.
func TestGroup_ReplacementRequestEndsWithLeadership(t *testing.T) {
	g := newOnlyVoter(DefaultSettings())
	now, firstEntry := electOnlyVoter(t, g)
	g.Step(now, &Event{Kind: Stored, Token: firstEntry.Token})
	g.Step(now, &Event{Kind: VoterReplacementRequested, Name: "b", To: "c"})
	require.NotZero(t, g.requestedReplacement)
	g.stepDown()
	g.becomeLeader()
	assert.Zero(t, g.requestedReplacement)
}

// A follower that fails forgets the leader, of whose successors it would not learn.
func TestGroup_FailedFollowerForgetsLeader(t *testing.T) {
	g, _ := newFounder()
	heartbeat := &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), To: proto.Uint64(g.nodeID),
		From: proto.Uint64(NodeID("b", "fb")), Term: proto.Uint64(9), Commit: proto.Uint64(1)}
	data, err := proto.Marshal(heartbeat)
	require.NoError(t, err)
	following := g.Step(2, &Event{Kind: MessageReceived, Name: "b", Data: data})
	require.Equal(t, "b", g.Status(2).Leader)
	g.Step(3, &Event{Kind: Stored, Token: persistEffects(following)[0].Token, Failed: true})
	assert.True(t, g.Status(3).Failed)
	assert.Empty(t, g.Status(3).Leader)
}

// Messages that are truncated or for another node are ignored. A message that contradicts the log stops the voter, not
// the process.
func TestGroup_ContradictingMessageFailsVoterOnly(t *testing.T) {
	g, _ := newFounder()
	contradicting := &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), To: proto.Uint64(g.nodeID),
		From: proto.Uint64(NodeID("b", "fb")), Term: proto.Uint64(9), Commit: proto.Uint64(1 << 40)}
	data, err := proto.Marshal(contradicting)
	require.NoError(t, err)
	for n := range data {
		g.Step(10, &Event{Kind: MessageReceived, Name: "b", Data: data[:n]})
	}
	assert.False(t, g.Status(10).Failed)
	contradicting.To = proto.Uint64(7)
	foreign, err := proto.Marshal(contradicting)
	require.NoError(t, err)
	g.Step(10, &Event{Kind: MessageReceived, Name: "b", Data: foreign})
	assert.False(t, g.Status(10).Failed)
	failed := firstEffect(g.Step(11, &Event{Kind: MessageReceived, Name: "b", Data: data}), VoterFailed)
	assert.NotEmpty(t, failed.Reason, "the message commits entries that the log does not have")
	g.Step(12, &Event{Kind: Ticked})
}

// A record that holds maxMembers names admits no further ones and still applies entries to its members.
func TestRecord_MembersAreBounded(t *testing.T) {
	record := Record{Members: map[string]Member{}}
	for n := range maxMembers + 10 {
		name, err := json.Marshal(n)
		require.NoError(t, err)
		record.applyMembership(&entry{Kind: EntryAdmit, Name: string(name), Incarnation: 1})
	}
	assert.Len(t, record.Members, maxMembers)
	_, changed := record.applyMembership(&entry{Kind: EntryLost, Name: "1", Incarnation: 1})
	assert.True(t, changed)
}

// Plans apply in the order of their numbers. At most maxOrders orders stand, each until it is revoked. Both are part of
// the encoded record.
func TestRecord_AppliesPlansInOrderAndBoundsOrders(t *testing.T) {
	record := Record{Members: map[string]Member{}}
	plan := func(n uint64, text string) *entry {
		return &entry{Kind: EntryPlan, Number: n, Data: json.RawMessage(text)}
	}
	assert.False(t, record.applyPlan(plan(2, `{}`)), "plan 1 has to come first")
	assert.True(t, record.applyPlan(plan(1, `{"a":1}`)))
	assert.False(t, record.applyPlan(plan(1, `{"a":2}`)), "proposed twice, or by a stale leader")
	assert.True(t, record.applyPlan(plan(2, `{"a":3}`)))
	assert.False(t, record.applyPlan(plan(3, "")))
	order := func(subject, text string) *entry {
		return &entry{Kind: EntryOrder, Name: subject, Data: json.RawMessage(text)}
	}
	assert.True(t, record.applyPlan(order("zone a", `{"Kind":"hold"}`)))
	assert.True(t, record.applyPlan(order("zone b", `{"Kind":"hold"}`)))
	assert.True(t, record.applyPlan(order("zone a", "")))
	assert.False(t, record.applyPlan(order("zone a", "")), "the order is already revoked")
	for i := range 2 * maxOrders {
		record.applyPlan(order("zone "+string(rune('c'+i)), `{}`))
	}
	assert.Len(t, record.Orders, maxOrders)
	assert.True(t, record.applyPlan(order("zone b", `{"Kind":"evacuate"}`)),
		"a standing order can be replaced even at the limit")
	data, err := json.Marshal(&record)
	require.NoError(t, err)
	var decoded Record
	require.NoError(t, json.Unmarshal(data, &decoded))
	assert.Equal(t, record.PlanNumber, decoded.PlanNumber)
	assert.JSONEq(t, `{"a":3}`, string(decoded.Plan))
	assert.JSONEq(t, `{"Kind":"evacuate"}`, string(decoded.Orders["zone b"]))
	var encoded entry
	require.NoError(t, json.Unmarshal(PlanProposal(7, []byte(`{"x":1}`)), &encoded))
	assert.Equal(t, uint64(7), encoded.Number)
	require.NoError(t, json.Unmarshal(OrderProposal("zone z", nil), &encoded))
	assert.Equal(t, EntryOrder, encoded.Kind)
}

// Guards against members that never get a lease again: once all founders had been replaced as voters, a member that knew
// only the founders asked nobody else who leads, and nobody but a voter told.
func TestGroup_FindsLeaderBeyondFounders(t *testing.T) {
	founders := []string{"a", "b", "c"}
	holder := New(0, "d", 1, "", founders, PersistedState{}, DefaultSettings(), 1)
	request := firstEffect(holder.Step(0, &Event{Kind: Ticked}), RequestLease)
	holder.Step(1, &Event{Kind: LeaseReplied, Token: request.Token, Reply: LeaseReply{Verdict: Granted, Leader: "n1"}})
	asked := &Event{Kind: LeaseRequested, Name: "a", Incarnation: 1, Token: 7}
	reply := firstEffect(holder.Step(2, asked), ReplyLease).Reply
	assert.Equal(t, LeaseReply{Verdict: NotLeader, Leader: "n1"}, reply, "a member that has a lease tells who granted it")

	g := New(0, "a", 1, "fa", founders, PersistedState{}, DefaultSettings(), 1)
	g.Observe([]Observation{{Name: "n1", Alive: true, CanVote: true}, {Name: "n2", Alive: true}})
	requestedFrom := map[string]bool{}
	for now := 0.0; now < 20e3; now += 50 {
		if e := firstEffect(g.Step(now, &Event{Kind: Ticked}), RequestLease); e.Token != 0 {
			requestedFrom[e.To] = true
			g.Step(now+1, &Event{Kind: LeaseReplied, Token: e.Token, Reply: LeaseReply{Verdict: NotLeader, Leader: "a"}})
		}
	}
	assert.Equal(t, map[string]bool{"a": true, "b": true, "c": true, "n1": true}, requestedFrom)
}
