package consensus

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"liftshift/internal/placement"

	"liftshift/internal/goldenfile"
)

// The encoding of each kind of log entry and its effect on the record are compatible with earlier versions.
func TestGolden_ConsensusEntries(t *testing.T) {
	claim := placement.AdoptionClaim{Name: "b", Incarnation: 2, Successor: "a", SuccessorIncarnation: 1, Partitions: 5}
	settled := placement.AdoptionClaim{Name: "b", Incarnation: 2, Successor: "a", SuccessorIncarnation: 1, Partitions: 4}
	everyPartition := placement.AdoptionClaim{Name: "a", Incarnation: 1, Partitions: 1<<32 - 1}
	lastPartition := placement.AdoptionClaim{Name: "a", Incarnation: 1, Partitions: 1 << 31}
	group := &Group{record: Record{Members: map[string]Member{}}, proposedLost: map[string]uint64{}}
	for i, e := range []struct {
		file string
		data []byte // the encoding by a Proposal function, for kinds that members propose
		want entry
	}{
		{"in", nil, entry{Kind: "in", Name: "a", Incarnation: 1, Address: "127.0.0.1:7000", Zone: "z1"}},
		{"in-second", nil, entry{Kind: "in", Name: "b", Incarnation: 2, Address: "127.0.0.1:7001", Zone: "z2"}},
		{"in-third", nil, entry{Kind: "in", Name: "c", Incarnation: 3, Address: "127.0.0.1:7002"}},
		{"copies", nil, entry{Kind: "copies", Copies: 1}},
		{"ready", PlacementProposal("ready", everyPartition, 1),
			entry{Kind: "ready", Name: "a", Incarnation: 1, Partitions: 1<<32 - 1, Version: 1}},
		{"lost", nil, entry{Kind: "lost", Name: "b", Incarnation: 2}},
		{"claim", PlacementProposal("claim", claim, 0),
			entry{Kind: "claim", Name: "b", Incarnation: 2, Successor: "a", SuccessorIncarnation: 1, Partitions: 5}},
		{"settled", PlacementProposal("settled", settled, 0),
			entry{Kind: "settled", Name: "b", Incarnation: 2, Successor: "a", SuccessorIncarnation: 1, Partitions: 4}},
		{"anew", PlacementProposal("anew", lastPartition, 0),
			entry{Kind: "anew", Name: "a", Incarnation: 1, Partitions: 1 << 31}},
		{"left", nil, entry{Kind: "left", Name: "c", Incarnation: 3}},
		{"plan", PlanProposal(1, []byte(`{"x":1}`)), entry{Kind: "plan", Number: 1, Data: []byte(`{"x":1}`)}},
		{"order", OrderProposal("zone z1", []byte(`{"y":2}`)),
			entry{Kind: "order", Name: "zone z1", Data: []byte(`{"y":2}`)}},
		{"order-other", OrderProposal("zone z2", []byte(`{}`)),
			entry{Kind: "order", Name: "zone z2", Data: []byte(`{}`)}},
		{"order-back", OrderProposal("zone z2", nil), entry{Kind: "order", Name: "zone z2"}},
	} {
		goldenfile.CompareJSON(t, "entry-"+e.file+".json", &e.want)
		if e.data != nil {
			goldenfile.Compare(t, "entry-"+e.file+".json", e.data)
		}
		data := goldenfile.Compare(t, "entry-"+e.file+".json", must(json.Marshal(&e.want)))
		index := proto.Uint64(uint64(i + 1))
		group.applyEntry(&raftpb.Entry{Index: index, Type: raftpb.EntryNormal.Enum(), Data: data})
		goldenfile.Compare(t, "after-"+e.file+".json", must(json.Marshal(&group.record)))
	}
}

// must returns data, or panics if there is an error.
func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}

// The encodings of the record, the Hello and lease replies are compatible with earlier versions.
func TestGolden_ConsensusValues(t *testing.T) {
	voters := []Voter{{ID: NodeID("a", "fa"), Name: "a", Zone: "z1"}, {ID: NodeID("b", "fb"), Name: "b"}}
	partition := placement.Partition{
		Current:  []placement.Replica{{Name: "a", Incarnation: 1, Ready: true}, {Name: "b", Incarnation: 3}},
		Previous: []placement.Replica{{Name: "b", Incarnation: 3}},
	}
	full := Record{
		Members: map[string]Member{
			"a": {Incarnation: 1, Term: 2, Address: "127.0.0.1:7000", Zone: "z1"},
			"b": {Incarnation: 3, Term: 4, Lost: true, LeftGracefully: true},
		},
		Voters: voters, Founders: voters[:1], DeclaredLost: 5,
		Placement: placement.Table{
			Version: 6, Step: 7, Copies: 1, Partitions: []placement.Partition{partition, {}},
			Claims: []placement.AdoptionClaim{
				{Name: "b", Incarnation: 3, Successor: "a", SuccessorIncarnation: 1, Partitions: 9}},
		},
		Plan: []byte(`{"x":1}`), PlanNumber: 8,
		Orders: map[string]json.RawMessage{"zone z1": []byte(`{"y":2}`), "zone z2": []byte(`{}`)},
	}
	for name, value := range map[string]any{
		"record": &full, "record-empty": &Record{}, "voters-of-a-change": &voters, "entry-empty": &entry{},
		"hello":            &Hello{Name: "a", Folder: "fa", ID: NodeID("a", "fa"), Founders: voters, Voter: true},
		"hello-empty":      &Hello{},
		"reply-granted":    &LeaseReply{Verdict: Granted, Leader: "a", Term: 2, PlacementStep: 3, PlanNumber: 4},
		"reply-not-leader": &LeaseReply{Verdict: NotLeader, Leader: "b"},
		"reply-not-yet":    &LeaseReply{Verdict: NotAdmitted},
		"reply-lost":       &LeaseReply{Verdict: IncarnationLost},
	} {
		goldenfile.CompareJSON(t, name+".json", value)
	}
	group := New(0, "x", 1, "", nil, PersistedState{}, DefaultSettings(), 1)
	group.restoreSnapshot(&raftpb.Snapshot{Data: must(os.ReadFile("testdata/golden/record.json")),
		Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(9)}})
	assert.Equal(t, full, group.record, "the record restored from a snapshot")
}

// The encodings of the first snapshot and hard state are compatible with earlier versions, and a voter starts from
// them.
func TestGolden_ConsensusFormation(t *testing.T) {
	group, formed := newFounder()
	marshal := proto.MarshalOptions{Deterministic: true}
	snapshot, state := &raftpb.Snapshot{}, &raftpb.HardState{}
	snapshotData := goldenfile.Compare(t, "founding-snapshot.pb", must(marshal.Marshal(formed.Snapshot)))
	require.NoError(t, proto.Unmarshal(snapshotData, snapshot))
	stateData := goldenfile.Compare(t, "founding-state.pb", must(marshal.Marshal(formed.State)))
	require.NoError(t, proto.Unmarshal(stateData, state))
	persisted := PersistedState{Snapshot: snapshot, State: state}
	restarted := New(0, "a", 1, "fa", []string{"a", "b", "c"}, persisted, DefaultSettings(), 1)
	assert.Equal(t, group.record, restarted.record)
	assert.Len(t, restarted.record.Voters, 3)
}

// The encodings of entries that only the leader proposes, and of its configuration changes, are compatible with earlier
// versions.
func TestGolden_ConsensusLeader(t *testing.T) {
	settings := DefaultSettings()
	settings.Copies = 1
	group := newOnlyVoter(settings)
	now, logged := 0.0, map[string]bool{}
	var handle func(event Event)
	handle = func(event Event) {
		for _, e := range append([]Effect(nil), group.Step(now, &event)...) {
			for _, logEntry := range e.Entries {
				logged[string(logEntry.GetData())] = true
			}
			if e.Kind == Persist && e.Token != 0 {
				handle(Event{Kind: Stored, Token: e.Token})
			}
		}
	}
	run := func(until float64) {
		for ; now < until; now += 50 {
			handle(Event{Kind: Ticked})
		}
	}
	observations := []Observation{
		{Name: "a", Incarnation: 1, Alive: true, Address: "127.0.0.1:7000", Zone: "z1"},
		{Name: "b", Incarnation: 2, Alive: true, Address: "127.0.0.1:7001", Zone: "z2"},
		{Name: "c", Incarnation: 3, Alive: true, Address: "127.0.0.1:7002"},
		{Name: "d", Incarnation: 4, Alive: true, Address: "127.0.0.1:7003", Zone: "z3", CanVote: true},
	}
	group.Observe(observations)
	run(4000)
	require.True(t, group.isLeader)
	handle(Event{Kind: LeaseRequested, Token: 1, Name: "c", Incarnation: 3, Release: true})
	observations[1].Alive = false
	group.Observe(observations)
	run(30000)
	handle(Event{Kind: HelloReceived, Hello: Hello{Name: "d", Folder: "fd"}})
	files := []string{"entry-in", "entry-in-second", "entry-in-third", "entry-copies", "entry-left", "entry-lost"}
	for _, file := range files {
		assert.Contains(t, logged, string(must(os.ReadFile("testdata/golden/"+file+".json"))), "the leader's entry %s", file)
	}
	learner := Voter{ID: NodeID("d", "fd"), Name: "d", Zone: "z3"}
	addLearner := &raftpb.ConfChangeV2{
		Context: must(json.Marshal([]Voter{learner})),
		Changes: []*raftpb.ConfChangeSingle{
			{Type: raftpb.ConfChangeAddLearnerNode.Enum(), NodeId: proto.Uint64(learner.ID)}},
	}
	encoded := must(proto.MarshalOptions{Deterministic: true}.Marshal(addLearner))
	data := goldenfile.Compare(t, "change-of-voters.pb", encoded)
	assert.Contains(t, logged, string(data), "the configuration change that adds the learner")
	assert.Contains(t, group.record.Voters, learner)
}
