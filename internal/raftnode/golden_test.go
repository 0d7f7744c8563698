package raftnode

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"liftshift/internal/clusternet"
	"liftshift/internal/consensus"
	"liftshift/internal/membership"
	"liftshift/internal/placement"
	"liftshift/internal/store"
	"liftshift/internal/vfs"
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

// Requests and replies between members keep their bytes.
func TestGolden_RaftNodeValues(t *testing.T) {
	configuration := Configuration{Members: []placement.Member{{Name: "a", Incarnation: 1, Zone: "z1"}, {Name: "b", Incarnation: 3, Lost: true}}, Table: placement.Table{Version: 6, Step: 7, Copies: 1,
		Partitions: []placement.Partition{{Current: []placement.Replica{{Name: "a", Incarnation: 1, Ready: true}, {Name: "b", Incarnation: 3}}, Previous: []placement.Replica{{Name: "b", Incarnation: 3}}}, {}},
		Claims:     []placement.AdoptionClaim{{Name: "b", Incarnation: 3, Successor: "a", SuccessorIncarnation: 1, Partitions: 9}}}}
	for name, value := range map[string]any{
		"wish": &leaseRequest{Name: "a", Incarnation: 3}, "wish-release": &leaseRequest{Name: "a", Incarnation: 3, Release: true}, "wish-empty": &leaseRequest{},
		"roll": &configuration, "roll-empty": &Configuration{}, "planned-empty": &AgreedPlan{},
		"planned": &AgreedPlan{Number: 8, Plan: []byte(`{"x":1}`), Orders: map[string]json.RawMessage{"zone z1": []byte(`{"y":2}`), "zone z2": []byte(`{}`)}},
	} {
		goldenJSON(t, name+".json", value)
	}
	data, err := json.Marshal(Configuration{Addresses: map[string]string{"a": "127.0.0.1:7000"}})
	require.NoError(t, err)
	golden(t, "roll-empty.json", data)
}

// goldenFolder compares a voter's folder with its files, which end at their last non-zero byte, and returns a folder with the same files.
func goldenFolder(t *testing.T, name string, fs *vfs.MemoryFS) *vfs.MemoryFS {
	t.Helper()
	files, err := fs.List()
	require.NoError(t, err)
	require.NotEmpty(t, files)
	copied := vfs.NewMemory()
	for _, file := range files {
		whole := fs.Bytes(file)
		data := golden(t, filepath.Join(name, file), []byte(strings.TrimRight(string(whole), "\x00")))
		copied.Set(file, append(data, make([]byte, len(whole)-len(data))...))
	}
	return copied
}

// A voter's folder keeps its bytes and is recovered as before; one with a torn end becomes another voter's.
func TestGolden_RaftNodeFolder(t *testing.T) {
	fs := vfs.NewMemory()
	s, _, err := store.Open(fs, store.Options{SegmentBytes: segmentBytes}, func(store.Key, int64, []byte) {})
	require.NoError(t, err)
	var named store.Batch
	named.Put(recordKey(folderIDRecord, 0), 0, []byte("f0123456789abcdef01234567"))
	require.NoError(t, s.Write(recordTime, &named))
	require.NoError(t, s.Close())
	d, err := openStorage(fs, &Node{}, discardLog())
	require.NoError(t, err)
	persistAndSync(t, d, consensus.Effect{Snapshot: snapshotAt(1), State: hardState(1, 7, 1)})
	persistAndSync(t, d, consensus.Effect{Entries: []*raftpb.Entry{entryAt(2, 1), entryAt(3, 1), entryAt(4, 1)}})
	persistAndSync(t, d, consensus.Effect{Entries: []*raftpb.Entry{entryAt(3, 2)}, State: hardState(2, 9, 2)})
	d.close()
	whole := goldenFolder(t, "folder", fs)
	reopened, err := openStorage(whole.Clone(), &Node{}, discardLog())
	require.NoError(t, err)
	assert.Equal(t, "0123456789abcdef01234567", reopened.id)
	assert.True(t, proto.Equal(hardState(2, 9, 2), reopened.persisted.State))
	assert.True(t, proto.Equal(snapshotAt(1), reopened.persisted.Snapshot))
	require.Len(t, reopened.persisted.Entries, 2)
	assert.True(t, proto.Equal(entryAt(2, 1), reopened.persisted.Entries[0]))
	assert.True(t, proto.Equal(entryAt(3, 2), reopened.persisted.Entries[1]))
	reopened.close()

	files, err := whole.List()
	require.NoError(t, err)
	last := slices.Max(slices.DeleteFunc(files, func(name string) bool { return !strings.HasSuffix(name, ".log") }))
	b := whole.Bytes(last)
	end := len(strings.TrimRight(string(b), "\x00"))
	whole.Set(last, append(b[:end-5], make([]byte, 64)...))
	torn, err := openStorage(goldenFolder(t, "folder-torn", whole), &Node{}, discardLog())
	require.NoError(t, err)
	defer torn.close()
	assert.NotEqual(t, "0123456789abcdef01234567", torn.id)
	assert.Equal(t, consensus.PersistedState{}, torn.persisted)
}

// recordingPeer records what a node sends over real sockets and answers each lease request with a golden reply.
type recordingPeer struct {
	mu       sync.Mutex
	received map[string]bool
	reply    []byte
}

func (e *recordingPeer) Handle(_ float64, data []byte, reply func([]byte, error)) {
	e.mu.Lock()
	e.received[string(data)] = true
	e.mu.Unlock()
	if data[0] == 'a' {
		reply(e.reply, nil)
		return
	}
	reply(nil, nil) // an error would close the connection and end other calls on it
}
func (e *recordingPeer) Tick(float64)  {}
func (e *recordingPeer) Next() float64 { return 1e15 }
func (e *recordingPeer) Close()        {}

// Each kind of message is sent with the bytes that it had, its kind ahead, and a node accepts it.
func TestGolden_RaftNodeMessages(t *testing.T) {
	at := freeAddresses(t, 2)
	peer := &recordingPeer{received: map[string]bool{}, reply: golden(t, "reply-granted.json", []byte(`{"Verdict":0,"Leader":"b","Term":2,"Step":3,"Number":4}`))}
	far := clusternet.New(at[1], discardLog())
	farView := membership.New(far.Now(), "f", membership.Member{Name: "b", Incarnation: 1, Address: at[1]}, at, membership.DefaultSettings(), 2)
	require.NoError(t, far.Start(farView, peer))
	t.Cleanup(far.Stop)
	c := clusternet.New(at[0], discardLog())
	v := membership.New(c.Now(), "f", membership.Member{Name: "a", Incarnation: 3, Address: at[0]}, at, membership.DefaultSettings(), 1)
	before := membership.New(0, "f", membership.Member{Name: "b", Incarnation: 1, Address: at[1]}, at, membership.DefaultSettings(), 3)
	for _, e := range before.Step(0, &membership.Event{Kind: membership.Ticked}) { // so that b is known at once
		if len(e.Data) > 0 {
			v.Step(c.Now(), &membership.Event{Kind: membership.DatagramReceived, From: at[1], Data: e.Data})
		}
	}
	_, known := v.Find("b")
	require.True(t, known)
	s, err := New(c, v, vfs.NewMemory(), []string{"c", "b", "a"}, consensus.DefaultSettings(), 1, discardLog())
	require.NoError(t, err)
	confirmed := make(chan uint64, 100)
	s.OnPlanConfirmed = func(_ float64, number uint64, _ float64) { confirmed <- number }
	require.NoError(t, c.Start(v, s))
	t.Cleanup(c.Stop)
	require.Eventually(t, s.LeaseHeld, 20*time.Second, 10*time.Millisecond)
	assert.Equal(t, uint64(4), <-confirmed)
	c.Do(func(now float64, _ *membership.View) {
		require.Equal(t, "b", s.Leader(now))
		s.configurationStep = 300
		s.requestConfiguration(now)
		s.FetchPlan(now, 300)
		s.sendMessage("b", []byte("what a voter says"))
	})
	s.Propose(consensus.OrderProposal("zone z1", []byte(`{"y":2}`)))
	_, err = s.Record()
	assert.Error(t, err, "the answer is empty")
	s.ReleaseLease()

	still := membership.New(0, "f", membership.Member{Name: "a", Incarnation: 3, Address: at[0]}, nil, membership.DefaultSettings(), 1)
	other, err := New(clusternet.New(at[0], discardLog()), still, nil, []string{"c", "b", "a"}, consensus.DefaultSettings(), 1, discardLog()) // its transport never runs
	require.NoError(t, err)
	for file, want := range map[string]string{
		"hello": "h", "lease": `a{"Name":"a","Life":3}`, "lease-back": `a{"Name":"a","Life":3,"Release":true}`, "record": "r",
		"roll": "l\xac\x02", "plan": "z\xac\x02", "voter": "v\x01awhat a voter says",
		"motion": `p{"Kind":"order","Name":"zone z1","Life":0,"Data":{"y":2}}`,
	} {
		data := golden(t, "message-"+file+".bin", []byte(want))
		assert.Eventually(t, func() bool {
			peer.mu.Lock()
			defer peer.mu.Unlock()
			return peer.received[string(data)]
		}, 10*time.Second, 10*time.Millisecond, "%s is sent with other bytes, or not at all", file)
		other.Handle(0, data, func(_ []byte, err error) { assert.NoError(t, err, file) })
	}
}
