package raftnode

import (
	"encoding/json"
	"path/filepath"
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
	"liftshift/internal/goldenfile"
	"liftshift/internal/membership"
	"liftshift/internal/placement"
	"liftshift/internal/store"
	"liftshift/internal/testlog"
	"liftshift/internal/vfs"
)

// The JSON encodings of requests and replies between members are compatible with earlier versions.
func TestGolden_RaftNodeValues(t *testing.T) {
	partition := placement.Partition{
		Current:  []placement.Replica{{Name: "a", Incarnation: 1, Ready: true}, {Name: "b", Incarnation: 3}},
		Previous: []placement.Replica{{Name: "b", Incarnation: 3}},
	}
	claim := placement.AdoptionClaim{Name: "b", Incarnation: 3, Successor: "a", SuccessorIncarnation: 1, Partitions: 9}
	configuration := Configuration{
		Members: []placement.Member{
			{Name: "a", Incarnation: 1, Zone: "z1"},
			{Name: "b", Incarnation: 3, Lost: true},
		},
		Table: placement.Table{Version: 6, Step: 7, Copies: 1,
			Partitions: []placement.Partition{partition, {}},
			Claims:     []placement.AdoptionClaim{claim}},
	}
	for name, value := range map[string]any{
		"wish":          &leaseRequest{Name: "a", Incarnation: 3},
		"wish-release":  &leaseRequest{Name: "a", Incarnation: 3, Release: true},
		"wish-empty":    &leaseRequest{},
		"roll":          &configuration,
		"roll-empty":    &Configuration{},
		"planned-empty": &AgreedPlan{},
		"planned": &AgreedPlan{Number: 8, Plan: []byte(`{"x":1}`),
			Orders: map[string]json.RawMessage{"zone z1": []byte(`{"y":2}`), "zone z2": []byte(`{}`)}},
	} {
		goldenfile.CompareJSON(t, name+".json", value)
	}
	data, err := json.Marshal(Configuration{Addresses: map[string]string{"a": "127.0.0.1:7000"}})
	require.NoError(t, err)
	goldenfile.Compare(t, "roll-empty.json", data)
}

// compareGoldenFolder compares the files of a voter's folder, without their trailing zero bytes, with golden files, and
// returns a folder with the golden content and the zero bytes.
func compareGoldenFolder(t *testing.T, name string, fs *vfs.MemoryFS) *vfs.MemoryFS {
	t.Helper()
	files, err := fs.List()
	require.NoError(t, err)
	require.NotEmpty(t, files)
	copied := vfs.NewMemory()
	for _, file := range files {
		content := fs.Bytes(file)
		data := goldenfile.Compare(t, filepath.Join(name, file), []byte(strings.TrimRight(string(content), "\x00")))
		copied.SetFile(file, append(data, make([]byte, len(content)-len(data))...))
	}
	return copied
}

// The storage format of a voter is compatible with earlier versions. A folder with a torn log gets another ID and no
// state.
func TestGolden_RaftNodeFolder(t *testing.T) {
	fs := vfs.NewMemory()
	seed, _, err := store.Open(fs, store.Options{SegmentBytes: segmentBytes}, func(store.Key, int64, []byte) {})
	require.NoError(t, err)
	var idBatch store.Batch
	idBatch.Put(recordKey(folderIDRecord, 0), 0, []byte("f0123456789abcdef01234567"))
	require.NoError(t, seed.Write(recordTime, &idBatch))
	require.NoError(t, seed.Close())
	original, err := openStorage(fs, &Node{}, testlog.Discard())
	require.NoError(t, err)
	persistAndSync(t, original, consensus.Effect{Snapshot: snapshotAt(1), State: hardState(1, 7, 1)})
	persistAndSync(t, original, consensus.Effect{Entries: []*raftpb.Entry{entryAt(2, 1), entryAt(3, 1), entryAt(4, 1)}})
	persistAndSync(t, original, consensus.Effect{Entries: []*raftpb.Entry{entryAt(3, 2)}, State: hardState(2, 9, 2)})
	original.close()
	whole := compareGoldenFolder(t, "folder", fs)
	reopened, err := openStorage(whole.Clone(), &Node{}, testlog.Discard())
	require.NoError(t, err)
	assert.Equal(t, "0123456789abcdef01234567", reopened.folderID)
	assert.True(t, proto.Equal(hardState(2, 9, 2), reopened.persisted.State))
	assert.True(t, proto.Equal(snapshotAt(1), reopened.persisted.Snapshot))
	require.Len(t, reopened.persisted.Entries, 2)
	assert.True(t, proto.Equal(entryAt(2, 1), reopened.persisted.Entries[0]))
	assert.True(t, proto.Equal(entryAt(3, 2), reopened.persisted.Entries[1]))
	reopened.close()

	files, err := whole.List()
	require.NoError(t, err)
	lastLog := slices.Max(slices.DeleteFunc(files, func(name string) bool { return !strings.HasSuffix(name, ".log") }))
	content := whole.Bytes(lastLog)
	end := len(strings.TrimRight(string(content), "\x00"))
	whole.SetFile(lastLog, append(content[:end-5], make([]byte, 64)...))
	torn, err := openStorage(compareGoldenFolder(t, "folder-torn", whole), &Node{}, testlog.Discard())
	require.NoError(t, err)
	defer torn.close()
	assert.NotEqual(t, "0123456789abcdef01234567", torn.folderID)
	assert.Equal(t, consensus.PersistedState{}, torn.persisted)
}

// recordingPeer records the messages it receives and answers each lease request by a fixed reply.
type recordingPeer struct {
	mu       sync.Mutex
	received map[string]bool // guarded by mu
	reply    []byte          // to lease requests
}

// Handle implements clusternet.ConsensusNode.
func (p *recordingPeer) Handle(_ float64, data []byte, reply func([]byte, error)) {
	p.mu.Lock()
	p.received[string(data)] = true
	p.mu.Unlock()
	if data[0] == 'a' { // the kind of a lease request on the wire
		reply(p.reply, nil)
		return
	}
	reply(nil, nil) // an error would close the connection and end other calls on it
}

// Tick implements clusternet.ConsensusNode.
func (p *recordingPeer) Tick(float64) {}

// Next implements clusternet.ConsensusNode.
func (p *recordingPeer) Next() float64 { return 1e15 }

// Close implements clusternet.ConsensusNode.
func (p *recordingPeer) Close() {}

// The encoding of each kind of message is compatible with earlier versions: a node sends the golden bytes and accepts
// them.
func TestGolden_RaftNodeMessages(t *testing.T) {
	addresses := freeAddresses(t, 2)
	granted := []byte(`{"Verdict":0,"Leader":"b","Term":2,"Step":3,"Number":4}`)
	peer := &recordingPeer{received: map[string]bool{}, reply: goldenfile.Compare(t, "reply-granted.json", granted)}
	settings := membership.DefaultSettings()
	peerMember := membership.Member{Name: "b", Incarnation: 1, Address: addresses[1]}
	peerTransport := clusternet.New(addresses[1], testlog.Discard())
	peerView := membership.New(peerTransport.Now(), "f", peerMember, addresses, settings, 2)
	require.NoError(t, peerTransport.Start(peerView, peer))
	t.Cleanup(peerTransport.Stop)
	transport := clusternet.New(addresses[0], testlog.Discard())
	self := membership.Member{Name: "a", Incarnation: 3, Address: addresses[0]}
	view := membership.New(transport.Now(), "f", self, addresses, settings, 1)
	// Datagrams of an earlier view of b let the view of a know b at once.
	earlierPeerView := membership.New(0, "f", peerMember, addresses, settings, 3)
	for _, e := range earlierPeerView.Step(0, &membership.Event{Kind: membership.Ticked}) {
		if len(e.Data) > 0 {
			datagram := &membership.Event{Kind: membership.DatagramReceived, From: addresses[1], Data: e.Data}
			view.Step(transport.Now(), datagram)
		}
	}
	_, known := view.Find("b")
	require.True(t, known)
	founders := []string{"c", "b", "a"}
	node, err := New(transport, view, vfs.NewMemory(), founders, consensus.DefaultSettings(), 1, testlog.Discard())
	require.NoError(t, err)
	confirmed := make(chan uint64, 100)
	node.OnPlanConfirmed = func(_ float64, number uint64, _ float64) { confirmed <- number }
	require.NoError(t, transport.Start(view, node))
	t.Cleanup(transport.Stop)
	require.Eventually(t, node.LeaseHeld, 20*time.Second, 10*time.Millisecond)
	assert.Equal(t, uint64(4), <-confirmed)
	transport.Do(func(now float64, _ *membership.View) {
		require.Equal(t, "b", node.Leader(now))
		node.configurationStep = 300
		node.requestConfiguration(now)
		node.FetchPlan(now, 300)
		node.sendMessage("b", []byte("what a voter says"))
	})
	node.Propose(consensus.OrderProposal("zone z1", []byte(`{"y":2}`)))
	_, err = node.Record()
	assert.Error(t, err, "the peer's answer to the request for the record is empty")
	node.ReleaseLease()

	idleView := membership.New(0, "f", self, nil, settings, 1)
	idleTransport := clusternet.New(addresses[0], testlog.Discard()) // never started
	receiver, err := New(idleTransport, idleView, nil, founders, consensus.DefaultSettings(), 1, testlog.Discard())
	require.NoError(t, err)
	for file, want := range map[string]string{
		"hello":      "h",
		"lease":      `a{"Name":"a","Life":3}`,
		"lease-back": `a{"Name":"a","Life":3,"Release":true}`,
		"record":     "r",
		"roll":       "l\xac\x02",
		"plan":       "z\xac\x02",
		"voter":      "v\x01awhat a voter says",
		"motion":     `p{"Kind":"order","Name":"zone z1","Life":0,"Data":{"y":2}}`,
	} {
		data := goldenfile.Compare(t, "message-"+file+".bin", []byte(want))
		assert.Eventually(t, func() bool {
			peer.mu.Lock()
			defer peer.mu.Unlock()
			return peer.received[string(data)]
		}, 10*time.Second, 10*time.Millisecond, "the message of %s.bin was not sent, or with other bytes", "message-"+file)
		receiver.Handle(0, data, func(_ []byte, err error) { assert.NoError(t, err, "handling message-%s.bin", file) })
	}
}
