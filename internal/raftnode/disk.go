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

// The kinds of records. A record's value is its kind and its bytes; its key is of kind and index.
const (
	folderRecord = 'f'
	stateRecord  = 's'
	snapRecord   = 'n'
	entryRecord  = 'e'
	segment      = 1 << 20
	logTime      = 1 // nothing here goes at a time of its own
)

// disk keeps what a voter must not forget.
type disk struct {
	store       *store.Store
	seat        *Node
	id          string // of the folder
	kept        consensus.PersistedState
	first, last uint64 // entries that are there
	batch       store.Batch
}

func key(kind byte, index uint64) (k store.Key) {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte{'c', kind}, index))
	copy(k[:], sum[:])
	return k
}

// openDisk opens the store of a voter, or begins one. Where its end is not as it was left, what was promised there may be missing:
// the folder gets another name, under which it has promised nothing, and comes to the council as a newcomer.
func openDisk(folder vfs.FS, seat *Node, log logrus.FieldLogger) (*disk, error) {
	d := &disk{seat: seat}
	entries := map[uint64]*raftpb.Entry{}
	var wrong error
	raw := map[store.Key][]byte{}
	read := func(k store.Key, _ int64, value []byte) { // in the order in which they were written; nil: it was deleted
		if len(value) == 0 {
			delete(raw, k)
		} else {
			raw[k] = append([]byte(nil), value...)
		}
	}
	s, found, err := store.Open(folder, store.Options{SegmentBytes: segment}, read)
	if err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	d.store = s
	for _, value := range raw {
		var err error
		switch kind, rest := value[0], value[1:]; kind {
		case folderRecord:
			d.id = string(rest)
		case stateRecord:
			d.kept.State = &raftpb.HardState{}
			err = proto.Unmarshal(rest, d.kept.State)
		case snapRecord:
			d.kept.Snapshot = &raftpb.Snapshot{}
			err = proto.Unmarshal(rest, d.kept.Snapshot)
		case entryRecord:
			e := &raftpb.Entry{}
			if err = proto.Unmarshal(rest, e); err == nil {
				entries[e.GetIndex()] = e
			}
		}
		if err != nil {
			wrong = err
		}
	}
	if found.InDoubt || wrong != nil {
		log.WithFields(logrus.Fields{"why": found.Reason, "error": wrong}).Warn("council: what this voter promised may be missing: it comes as a newcomer")
		d.batch.Reset()
		for k := range entries {
			d.batch.Delete(key(entryRecord, k))
		}
		d.batch.Delete(key(snapRecord, 0))
		d.batch.Delete(key(stateRecord, 0))
		entries, d.kept, d.id = nil, consensus.PersistedState{}, ""
	}
	if d.id == "" {
		var b [12]byte
		if _, err := rand.Read(b[:]); err != nil {
			return nil, err
		}
		d.id = hex.EncodeToString(b[:])
		d.batch.Put(key(folderRecord, 0), 0, append([]byte{folderRecord}, d.id...))
		if err := s.Write(logTime, &d.batch); err != nil {
			return nil, fmt.Errorf("council: %w", err)
		}
	}
	for k := range entries {
		if d.first == 0 || k < d.first {
			d.first = k
		}
		d.last = max(d.last, k)
	}
	if d.kept.Snapshot != nil {
		for k := d.kept.Snapshot.GetMetadata().GetIndex() + 1; entries[k] != nil; k++ {
			d.kept.Entries = append(d.kept.Entries, entries[k])
		}
	}
	return d, nil
}

// keep lines up what has to last. What follows from it waits until Stored.
func (d *disk) keep(e *consensus.Effect) {
	d.batch.Reset()
	put := func(kind byte, index uint64, m proto.Message) {
		if b, err := proto.Marshal(m); err == nil {
			d.batch.Put(key(kind, index), 0, append([]byte{kind}, b...))
		}
	}
	if len(e.Entries) > 0 {
		from, to := e.Entries[0].GetIndex(), e.Entries[len(e.Entries)-1].GetIndex()
		for k := max(from, to+1); k <= d.last; k++ { // they lost against these
			d.batch.Delete(key(entryRecord, k))
		}
		for _, x := range e.Entries {
			put(entryRecord, x.GetIndex(), x)
		}
		if d.first == 0 {
			d.first = from
		}
		d.last = to
	}
	if e.State != nil {
		put(stateRecord, 0, e.State)
	}
	if e.Snapshot != nil {
		put(snapRecord, 0, e.Snapshot)
		upTo := e.Snapshot.GetMetadata().GetIndex()
		for k := d.first; k != 0 && k <= min(upTo, d.last); k++ {
			d.batch.Delete(key(entryRecord, k))
		}
		if d.first = upTo + 1; d.last < d.first {
			d.first, d.last = 0, 0
		}
	}
	if d.batch.Len() == 0 {
		d.Stored(e.Token, nil)
		return
	}
	teller := store.Notifier(d)
	if e.Token == 0 {
		teller = nil
	}
	if err := d.store.Append(logTime, &d.batch, teller, e.Token); err != nil && e.Token != 0 {
		d.Stored(e.Token, err)
	}
}

// Stored hears from the store's goroutine what became of a batch.
func (d *disk) Stored(token uint64, err error) {
	go d.seat.carrier.Post(func(now float64) {
		d.seat.step(now, consensus.Event{Kind: consensus.Stored, Token: token, Failed: err != nil})
	})
}

func (d *disk) close() { _ = d.store.Close() }
