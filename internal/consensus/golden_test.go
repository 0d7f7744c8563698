package consensus

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"liftshift/internal/placement"
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

// goldenJSON compares the encoding of a value with its file, and the decoded file with the value. The value is a pointer.
func goldenJSON(t *testing.T, name string, value any) {
	t.Helper()
	tagged(t, reflect.TypeOf(value))
	got, err := json.Marshal(value)
	require.NoError(t, err)
	back := reflect.New(reflect.TypeOf(value).Elem())
	require.NoError(t, json.Unmarshal(golden(t, name, got), back.Interface()))
	assert.Equal(t, value, back.Interface(), name)
}

// tagged checks that each field of a type, and of the types in it, has a JSON tag.
func tagged(t *testing.T, of reflect.Type) {
	t.Helper()
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		tagged(t, of.Elem())
	case reflect.Struct:
		for k := range of.NumField() {
			f := of.Field(k)
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			assert.NotEmpty(t, name, "%v.%s", of, f.Name)
			tagged(t, f.Type)
		}
	}
}

// Every kind of entry of the replicated log keeps its bytes and its effect on the record.
func TestGolden_ConsensusEntries(t *testing.T) {
	claim := placement.AdoptionClaim{Name: "b", Incarnation: 2, Successor: "a", SuccessorIncarnation: 1, Partitions: 5}
	c := &Group{record: Record{Members: map[string]Member{}}, proposedLost: map[string]uint64{}}
	for k, e := range []struct {
		file string
		data []byte // as the package encodes it, if members propose it
		want entry
	}{
		{"in", nil, entry{Kind: "in", Name: "a", Incarnation: 1, Address: "127.0.0.1:7000", Zone: "z1"}},
		{"in-second", nil, entry{Kind: "in", Name: "b", Incarnation: 2, Address: "127.0.0.1:7001", Zone: "z2"}},
		{"in-third", nil, entry{Kind: "in", Name: "c", Incarnation: 3, Address: "127.0.0.1:7002"}},
		{"copies", nil, entry{Kind: "copies", Copies: 1}},
		{"ready", Proposal("ready", placement.AdoptionClaim{Name: "a", Incarnation: 1, Partitions: 1<<32 - 1}, 1), entry{Kind: "ready", Name: "a", Incarnation: 1, Partitions: 1<<32 - 1, Version: 1}},
		{"lost", nil, entry{Kind: "lost", Name: "b", Incarnation: 2}},
		{"claim", Proposal("claim", claim, 0), entry{Kind: "claim", Name: "b", Incarnation: 2, Successor: "a", SuccessorIncarnation: 1, Partitions: 5}},
		{"settled", Proposal("settled", placement.AdoptionClaim{Name: "b", Incarnation: 2, Successor: "a", SuccessorIncarnation: 1, Partitions: 4}, 0),
			entry{Kind: "settled", Name: "b", Incarnation: 2, Successor: "a", SuccessorIncarnation: 1, Partitions: 4}},
		{"anew", Proposal("anew", placement.AdoptionClaim{Name: "a", Incarnation: 1, Partitions: 1 << 31}, 0), entry{Kind: "anew", Name: "a", Incarnation: 1, Partitions: 1 << 31}},
		{"left", nil, entry{Kind: "left", Name: "c", Incarnation: 3}},
		{"plan", PlanProposal(1, []byte(`{"x":1}`)), entry{Kind: "plan", Number: 1, Data: []byte(`{"x":1}`)}},
		{"order", OrderProposal("zone z1", []byte(`{"y":2}`)), entry{Kind: "order", Name: "zone z1", Data: []byte(`{"y":2}`)}},
		{"order-other", OrderProposal("zone z2", []byte(`{}`)), entry{Kind: "order", Name: "zone z2", Data: []byte(`{}`)}},
		{"order-back", OrderProposal("zone z2", nil), entry{Kind: "order", Name: "zone z2"}},
	} {
		goldenJSON(t, "entry-"+e.file+".json", &e.want)
		if e.data != nil {
			golden(t, "entry-"+e.file+".json", e.data)
		}
		data := golden(t, "entry-"+e.file+".json", must(json.Marshal(&e.want)))
		c.applyEntry(&raftpb.Entry{Index: proto.Uint64(uint64(k + 1)), Type: raftpb.EntryNormal.Enum(), Data: data})
		golden(t, "after-"+e.file+".json", must(json.Marshal(&c.record)))
	}
}

func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}

// The record, the Hello and the replies to lease requests keep their bytes.
func TestGolden_ConsensusValues(t *testing.T) {
	voters := []Voter{{ID: NodeID("a", "fa"), Name: "a", Zone: "z1"}, {ID: NodeID("b", "fb"), Name: "b"}}
	full := Record{
		Members: map[string]Member{"a": {Incarnation: 1, Term: 2, Address: "127.0.0.1:7000", Zone: "z1"}, "b": {Incarnation: 3, Term: 4, Lost: true, LeftGracefully: true}},
		Voters:  voters, Founders: voters[:1], DeclaredLost: 5,
		Placement: placement.Table{Version: 6, Step: 7, Copies: 1, Partitions: []placement.Partition{{Current: []placement.Replica{{Name: "a", Incarnation: 1, Ready: true}, {Name: "b", Incarnation: 3}},
			Previous: []placement.Replica{{Name: "b", Incarnation: 3}}}, {}}, Claims: []placement.AdoptionClaim{{Name: "b", Incarnation: 3, Successor: "a", SuccessorIncarnation: 1, Partitions: 9}}},
		Plan: []byte(`{"x":1}`), PlanNumber: 8, Orders: map[string]json.RawMessage{"zone z1": []byte(`{"y":2}`), "zone z2": []byte(`{}`)},
	}
	for name, value := range map[string]any{
		"record": &full, "record-empty": &Record{}, "voters-of-a-change": &voters, "entry-empty": &entry{},
		"hello":       &Hello{Name: "a", Folder: "fa", ID: NodeID("a", "fa"), Founders: voters, Voter: true},
		"hello-empty": &Hello{}, "reply-granted": &LeaseReply{Verdict: Granted, Leader: "a", Term: 2, PlacementStep: 3, PlanNumber: 4},
		"reply-not-leader": &LeaseReply{Verdict: NotLeader, Leader: "b"}, "reply-not-yet": &LeaseReply{Verdict: NotAdmitted}, "reply-lost": &LeaseReply{Verdict: IncarnationLost},
	} {
		goldenJSON(t, name+".json", value)
	}
	c := New(0, "x", 1, "", nil, PersistedState{}, DefaultSettings(), 1)
	c.restoreSnapshot(&raftpb.Snapshot{Data: must(os.ReadFile("testdata/golden/record.json")), Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(9)}})
	assert.Equal(t, full, c.record, "the data of a snapshot")
}

// The snapshot and state with which a group is formed keep their bytes, and a voter starts from them.
func TestGolden_ConsensusFormation(t *testing.T) {
	c, e := newFounder()
	marshal := proto.MarshalOptions{Deterministic: true}
	snap, state := &raftpb.Snapshot{}, &raftpb.HardState{}
	require.NoError(t, proto.Unmarshal(golden(t, "founding-snapshot.pb", must(marshal.Marshal(e.Snapshot))), snap))
	require.NoError(t, proto.Unmarshal(golden(t, "founding-state.pb", must(marshal.Marshal(e.State))), state))
	restarted := New(0, "a", 1, "fa", []string{"a", "b", "c"}, PersistedState{Snapshot: snap, State: state}, DefaultSettings(), 1)
	assert.Equal(t, c.record, restarted.record)
	assert.Len(t, restarted.record.Voters, 3)
}

// The entries that the leader itself proposes, and its configuration changes, keep their bytes.
func TestGolden_ConsensusLeader(t *testing.T) {
	only := []Voter{{ID: NodeID("a", "fa"), Name: "a"}}
	snap := &raftpb.Snapshot{Data: must(json.Marshal(&Record{Members: map[string]Member{}, Voters: only, Founders: only})), Metadata: &raftpb.SnapshotMetadata{
		ConfState: &raftpb.ConfState{Voters: []uint64{only[0].ID}}, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
	copying := DefaultSettings()
	copying.Copies = 1
	c := New(0, "a", 1, "fa", []string{"a"}, PersistedState{Snapshot: snap, State: &raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}},
		copying, 1)
	now, logged := 0.0, map[string]bool{}
	var handle func(ev Event)
	handle = func(ev Event) {
		for _, e := range append([]Effect(nil), c.Step(now, &ev)...) {
			for _, x := range e.Entries {
				logged[string(x.GetData())] = true
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
	observations := []Observation{{Name: "a", Incarnation: 1, Alive: true, Address: "127.0.0.1:7000", Zone: "z1"},
		{Name: "b", Incarnation: 2, Alive: true, Address: "127.0.0.1:7001", Zone: "z2"}, {Name: "c", Incarnation: 3, Alive: true, Address: "127.0.0.1:7002"},
		{Name: "d", Incarnation: 4, Alive: true, Address: "127.0.0.1:7003", Zone: "z3", CanVote: true}}
	c.Observe(observations)
	run(4000)
	require.True(t, c.isLeader)
	handle(Event{Kind: LeaseRequested, Token: 1, Name: "c", Incarnation: 3, Release: true})
	observations[1].Alive = false
	c.Observe(observations)
	run(30000)
	handle(Event{Kind: HelloReceived, Hello: Hello{Name: "d", Folder: "fd"}})
	for _, file := range []string{"entry-in", "entry-in-second", "entry-in-third", "entry-copies", "entry-left", "entry-lost"} {
		assert.Contains(t, logged, string(must(os.ReadFile("testdata/golden/"+file+".json"))), file)
	}
	learner := &raftpb.ConfChangeV2{Context: must(json.Marshal([]Voter{{ID: NodeID("d", "fd"), Name: "d", Zone: "z3"}})),
		Changes: []*raftpb.ConfChangeSingle{{Type: raftpb.ConfChangeAddLearnerNode.Enum(), NodeId: proto.Uint64(NodeID("d", "fd"))}}}
	data := golden(t, "change-of-voters.pb", must(proto.MarshalOptions{Deterministic: true}.Marshal(learner)))
	assert.Contains(t, logged, string(data), "change of voters")
	assert.Contains(t, c.record.Voters, Voter{ID: NodeID("d", "fd"), Name: "d", Zone: "z3"})
}
