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

// Kinds of records. The key of a record is a hash of its kind and index; its value is the kind in one byte and the
// content. The values are part of the storage format.
const (
	folderIDRecord = 'f'
	stateRecord    = 's'
	snapshotRecord = 'n'
	entryRecord    = 'e'
)

const (
	segmentBytes  = 1 << 20
	recordTime    = 1  // the time passed to the store for all records, none of which expires
	folderIDBytes = 12 // length of a random folder ID before hexadecimal encoding
)

// storage persists a voter's Raft state in a store.
type storage struct {
	store                 *store.Store
	node                  *Node
	folderID              string                   // ID of the data folder
	persisted             consensus.PersistedState // state recovered when the store was opened
	firstIndex, lastIndex uint64                   // range of the entries in the store; 0: none
	batch                 store.Batch              // reused for each write
}

// recordKey returns the store's key of a record. Index is 0 for kinds of which there is one record.
func recordKey(kind byte, index uint64) (k store.Key) {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte{'c', kind}, index))
	copy(k[:], sum[:])
	return k
}

// openStorage opens a voter's store, or creates one, and recovers the persisted state. If the tail of the store is
// damaged, votes or entries that the voter has acknowledged may be missing. The folder then gets a new ID and no state,
// and joins as a new voter.
func openStorage(folder vfs.FS, node *Node, log logrus.FieldLogger) (*storage, error) {
	s := &storage{node: node}
	records := map[store.Key][]byte{}
	read := func(k store.Key, _ int64, value []byte) { // called in the order of writing; an empty value deletes the record
		if len(value) == 0 {
			delete(records, k)
			return
		}
		records[k] = append([]byte(nil), value...)
	}
	opened, recovery, err := store.Open(folder, store.Options{SegmentBytes: segmentBytes}, read)
	if err != nil {
		return nil, fmt.Errorf("consensus: opening the store of the Raft state: %w", err)
	}
	s.store = opened
	entries, decodeErr := s.decode(records)
	if recovery.InDoubt || decodeErr != nil {
		log.WithFields(logrus.Fields{"reason": recovery.Reason, "error": decodeErr}).
			Warn("consensus: durable state of this voter may be missing, it joins as a new voter")
		s.discard(entries)
		entries = nil
	}
	if s.folderID == "" {
		if err := s.assignID(); err != nil {
			return nil, err
		}
	}
	s.loadEntries(entries)
	return s, nil
}

// decode recovers the folder ID, the hard state and the snapshot from the records, and returns the log entries by
// index. The error is that of a record that cannot be decoded, if any.
func (s *storage) decode(records map[store.Key][]byte) (entries map[uint64]*raftpb.Entry, err error) {
	entries = map[uint64]*raftpb.Entry{}
	for _, value := range records {
		var recordErr error
		content := value[1:]
		switch value[0] {
		case folderIDRecord:
			s.folderID = string(content)
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

// discard drops the recovered state and folder ID. The deletions are written together with the new folder ID.
func (s *storage) discard(entries map[uint64]*raftpb.Entry) {
	s.batch.Reset()
	for index := range entries {
		s.batch.Delete(recordKey(entryRecord, index))
	}
	s.batch.Delete(recordKey(snapshotRecord, 0))
	s.batch.Delete(recordKey(stateRecord, 0))
	s.persisted = consensus.PersistedState{}
	s.folderID = ""
}

// assignID stores a new random folder ID.
func (s *storage) assignID() error {
	var b [folderIDBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		return fmt.Errorf("consensus: generating an ID for the data folder: %w", err)
	}
	s.folderID = hex.EncodeToString(b[:])
	s.batch.Put(recordKey(folderIDRecord, 0), 0, append([]byte{folderIDRecord}, s.folderID...))
	if err := s.store.Write(recordTime, &s.batch); err != nil {
		return fmt.Errorf("consensus: storing the ID of the data folder: %w", err)
	}
	return nil
}

// loadEntries records the index range of the entries in the store and recovers those that follow the snapshot without a
// gap.
func (s *storage) loadEntries(entries map[uint64]*raftpb.Entry) {
	for index := range entries {
		if s.firstIndex == 0 || index < s.firstIndex {
			s.firstIndex = index
		}
		s.lastIndex = max(s.lastIndex, index)
	}
	if s.persisted.Snapshot == nil {
		return
	}
	for index := s.persisted.Snapshot.GetMetadata().GetIndex() + 1; entries[index] != nil; index++ {
		s.persisted.Entries = append(s.persisted.Entries, entries[index])
	}
}

// persist writes the state of a Persist effect. Stored is called when the state is durable or the write has failed,
// unless the effect has no token.
func (s *storage) persist(e *consensus.Effect) {
	s.batch.Reset()
	if len(e.Entries) > 0 {
		s.putEntries(e.Entries)
	}
	if e.State != nil {
		s.putMessage(stateRecord, 0, e.State)
	}
	if e.Snapshot != nil {
		s.putMessage(snapshotRecord, 0, e.Snapshot)
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

// putMessage adds a record with a protobuf message to the batch.
func (s *storage) putMessage(kind byte, index uint64, m proto.Message) {
	if data, err := proto.Marshal(m); err == nil {
		s.batch.Put(recordKey(kind, index), 0, append([]byte{kind}, data...))
	}
}

// putEntries adds entries to the batch and deletes those with higher indexes, which are overwritten.
func (s *storage) putEntries(entries []*raftpb.Entry) {
	from := entries[0].GetIndex()
	to := entries[len(entries)-1].GetIndex()
	for index := max(from, to+1); index <= s.lastIndex; index++ {
		s.batch.Delete(recordKey(entryRecord, index))
	}
	for _, e := range entries {
		s.putMessage(entryRecord, e.GetIndex(), e)
	}
	if s.firstIndex == 0 {
		s.firstIndex = from
	}
	s.lastIndex = to
}

// deleteEntriesUpTo deletes the entries up to the index of a snapshot.
func (s *storage) deleteEntriesUpTo(end uint64) {
	for index := s.firstIndex; index != 0 && index <= min(end, s.lastIndex); index++ {
		s.batch.Delete(recordKey(entryRecord, index))
	}
	s.firstIndex = end + 1
	if s.lastIndex < s.firstIndex {
		s.firstIndex = 0
		s.lastIndex = 0
	}
}

// Stored implements store.Notifier. It passes the outcome of a write to the group on the transport's goroutine.
func (s *storage) Stored(token uint64, err error) {
	go s.node.transport.Post(func(now float64) {
		s.node.step(now, consensus.Event{Kind: consensus.Stored, Token: token, Failed: err != nil})
	})
}

func (s *storage) close() { _ = s.store.Close() }
