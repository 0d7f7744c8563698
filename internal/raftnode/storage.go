package raftnode

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"liftshift/internal/consensus"
	"liftshift/internal/store"
	"liftshift/internal/vfs"
)

// Kinds of records. A record's key is a hash of its kind and index, its value the kind and the content. The values are part of the format.
const (
	folderIDRecord = 'f'
	stateRecord    = 's'
	snapshotRecord = 'n'
	entryRecord    = 'e'
)

const (
	segmentBytes  = 1 << 20
	recordTime    = 1 // the store's time of all records: none of them expires
	folderIDBytes = 12
)

// storage persists a voter's Raft state.
type storage struct {
	store       *store.Store
	node        *Node
	id          string // of the folder
	persisted   consensus.PersistedState
	first, last uint64 // indexes of the entries in the store; 0: none
	batch       store.Batch
}

func recordKey(kind byte, index uint64) (k store.Key) {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte{'c', kind}, index))
	copy(k[:], sum[:])
	return k
}

// openStorage opens a voter's store, or creates one. Where the end of the store is damaged, state that the voter had made durable may be
// missing: the folder gets a new ID, under which it has promised nothing, and joins as a new voter.
func openStorage(folder vfs.FS, node *Node, log logrus.FieldLogger) (*storage, error) {
	s := &storage{node: node}
	records := map[store.Key][]byte{}
	read := func(k store.Key, _ int64, value []byte) { // in the order of writing; no value: the record was deleted
		if len(value) == 0 {
			delete(records, k)
			return
		}
		records[k] = append([]byte(nil), value...)
	}
	opened, recovery, err := store.Open(folder, store.Options{SegmentBytes: segmentBytes}, read)
	if err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	s.store = opened
	entries, decodeErr := s.decode(records)
	if recovery.InDoubt || decodeErr != nil {
		log.WithFields(logrus.Fields{"reason": recovery.Reason, "error": decodeErr}).
			Warn("consensus: durable state of this voter may be missing, it joins as a new voter")
		s.discard(entries)
		entries = nil
	}
	if s.id == "" {
		if err := s.assignID(); err != nil {
			return nil, err
		}
	}
	s.index(entries)
	return s, nil
}

// decode reads the folder ID, the hard state and the snapshot, and returns the entries by their index.
func (s *storage) decode(records map[store.Key][]byte) (entries map[uint64]*raftpb.Entry, err error) {
	entries = map[uint64]*raftpb.Entry{}
	for _, value := range records {
		var recordErr error
		content := value[1:]
		switch value[0] {
		case folderIDRecord:
			s.id = string(content)
		case stateRecord:
			s.persisted.State = &raftpb.HardState{}
			recordErr = proto.Unmarshal(content, s.persisted.State)
		case snapshotRecord:
			s.persisted.Snapshot = &raftpb.Snapshot{}
			recordErr = proto.Unmarshal(content, s.persisted.Snapshot)
		case entryRecord:
			e := &raftpb.Entry{}
			recordErr = proto.Unmarshal(content, e)
			if recordErr == nil {
				entries[e.GetIndex()] = e
			}
		}
		if recordErr != nil {
			err = recordErr
		}
	}
	return entries, err
}

// discard forgets all state; the deletions are written with the new folder ID.
func (s *storage) discard(entries map[uint64]*raftpb.Entry) {
	s.batch.Reset()
	for index := range entries {
		s.batch.Delete(recordKey(entryRecord, index))
	}
	s.batch.Delete(recordKey(snapshotRecord, 0))
	s.batch.Delete(recordKey(stateRecord, 0))
	s.persisted = consensus.PersistedState{}
	s.id = ""
}

// assignID gives the folder a random ID.
func (s *storage) assignID() error {
	var b [folderIDBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return err
	}
	s.id = hex.EncodeToString(b[:])
	s.batch.Put(recordKey(folderIDRecord, 0), 0, append([]byte{folderIDRecord}, s.id...))
	if err := s.store.Write(recordTime, &s.batch); err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	return nil
}

// index notes which entries are in the store and takes those that follow the snapshot without a gap.
func (s *storage) index(entries map[uint64]*raftpb.Entry) {
	for index := range entries {
		if s.first == 0 || index < s.first {
			s.first = index
		}
		s.last = max(s.last, index)
	}
	if s.persisted.Snapshot == nil {
		return
	}
	for index := s.persisted.Snapshot.GetMetadata().GetIndex() + 1; entries[index] != nil; index++ {
		s.persisted.Entries = append(s.persisted.Entries, entries[index])
	}
}

// persist writes the state of a Persist effect. Stored is called when it is durable.
func (s *storage) persist(e *consensus.Effect) {
	s.batch.Reset()
	if len(e.Entries) > 0 {
		s.putEntries(e.Entries)
	}
	if e.State != nil {
		s.put(stateRecord, 0, e.State)
	}
	if e.Snapshot != nil {
		s.put(snapshotRecord, 0, e.Snapshot)
		s.deleteEntriesUpTo(e.Snapshot.GetMetadata().GetIndex())
	}
	if s.batch.Len() == 0 {
		s.Stored(e.Token, nil)
		return
	}
	notifier := store.Notifier(s)
	if e.Token == 0 {
		notifier = nil
	}
	if err := s.store.Append(recordTime, &s.batch, notifier, e.Token); err != nil && e.Token != 0 {
		s.Stored(e.Token, err)
	}
}

func (s *storage) put(kind byte, index uint64, m proto.Message) {
	if data, err := proto.Marshal(m); err == nil {
		s.batch.Put(recordKey(kind, index), 0, append([]byte{kind}, data...))
	}
}

// putEntries writes entries and deletes those behind them, which they override.
func (s *storage) putEntries(entries []*raftpb.Entry) {
	from := entries[0].GetIndex()
	to := entries[len(entries)-1].GetIndex()
	for index := max(from, to+1); index <= s.last; index++ {
		s.batch.Delete(recordKey(entryRecord, index))
	}
	for _, e := range entries {
		s.put(entryRecord, e.GetIndex(), e)
	}
	if s.first == 0 {
		s.first = from
	}
	s.last = to
}

// deleteEntriesUpTo deletes the entries that a snapshot contains.
func (s *storage) deleteEntriesUpTo(end uint64) {
	for index := s.first; index != 0 && index <= min(end, s.last); index++ {
		s.batch.Delete(recordKey(entryRecord, index))
	}
	s.first = end + 1
	if s.last < s.first {
		s.first = 0
		s.last = 0
	}
}

// Stored implements store.Notifier. It is called from the store's goroutine.
func (s *storage) Stored(token uint64, err error) {
	go s.node.transport.Post(func(now float64) {
		s.node.step(now, consensus.Event{Kind: consensus.Stored, Token: token, Failed: err != nil})
	})
}

func (s *storage) close() { _ = s.store.Close() }
