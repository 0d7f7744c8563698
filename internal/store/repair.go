package store

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"

	"liftshift/internal/index"
	"liftshift/internal/vfs"
)

// asideEnding is put behind the names of files that a repair took out of the store.
const asideEnding = ".aside"

// Repaired is what a repair did.
type Repaired struct {
	Needed  bool
	Records int      // live ones that were saved
	Skipped int64    // bytes that could not be read
	Aside   []string // files taken out, under their new names
}

// Repair makes a store that is damaged open again: whatever can be read in any file goes into a snapshot, the old files
// are set aside, and the new log says that something may be lost. A store that opens is left as it is.
func Repair(fs vfs.FS, bounds Options) (done Repaired, err error) {
	lock, err := fs.Lock(lockName)
	if err != nil {
		return done, fmt.Errorf("store: %w", err)
	}
	defer func() { err = errors.Join(err, lock.Close()) }()
	look := &survey{fs: fs}
	if err := look.look(func(record, place) {}); err != nil {
		return done, err
	}
	if look.fatal == nil {
		return done, nil
	}
	if errors.Is(look.fatal, ErrNewer) {
		return done, look.fatal
	}
	done.Needed = true
	var table index.Table[[]byte]
	var order []FileReport
	for _, p := range look.report.Files {
		if p.Length > 0 {
			order = append(order, p)
		}
	}
	slices.SortStableFunc(order, func(a, b FileReport) int { // the snapshot stands before the log file of its number
		if a.ID != b.ID {
			return int(int64(a.ID) - int64(b.ID))
		}
		return boolInt(b.Snapshot) - boolInt(a.Snapshot)
	})
	for _, p := range order {
		skipped, err := salvage(fs, p, look, func(r record) {
			if r.kind&^more == deleteRecord {
				table.Delete(r.key)
			} else {
				v, _ := table.Put(r.key, r.expires)
				*v = bytes.Clone(r.value)
			}
		})
		if err != nil {
			return done, err
		}
		done.Skipped += skipped
	}
	done.Records = table.Len()
	if err := rebuild(fs, bounds.filled(), look.most+1, &table); err != nil {
		return done, err
	}
	for _, p := range order {
		if err := fs.Rename(p.Name, p.Name+asideEnding); err != nil {
			return done, err
		}
		done.Aside = append(done.Aside, p.Name+asideEnding)
	}
	return done, fs.SyncDir()
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// salvage hands on every record of a file that is good, wherever it stands, and tells how many bytes are not. Bytes
// behind those that count are not believed: what stands there was reported as failed.
func salvage(fs vfs.FS, p FileReport, look *survey, each func(record)) (skipped int64, err error) {
	f, err := fs.Open(p.Name)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	all := make([]byte, p.Length)
	if _, err := f.ReadAt(all, 0); err != nil && !errors.Is(err, io.EOF) {
		return 0, err
	}
	file, end := p.ID, p.Length
	if p.Snapshot {
		file = uint64(uint32(p.ID) | ofSnapshot)
	}
	for _, h := range look.logs {
		if !p.Snapshot && h.before == p.ID {
			end = min(end, h.trusted)
		}
	}
	for at := int64(headSize); at < end; {
		r, ok := recordAt(all[at:end], file, at)
		if !ok {
			skipped += int64(boolInt(all[at] != 0))
			at++
			continue
		}
		each(r)
		at += int64(r.size)
	}
	return skipped, nil
}

// rebuild writes a store of a snapshot and an empty log file.
func rebuild(fs vfs.FS, bounds Options, id uint64, table *index.Table[[]byte]) error {
	s := &Store{fs: fs, bounds: bounds}
	file, err := s.begin(fileName(id, logEnding), head{kind: logFile, doubt: true, id: id, length: bounds.SegmentBytes})
	if err != nil {
		return err
	}
	_ = file.Close()
	name := fileName(id, snapshotEnding)
	_ = fs.Remove(name + newEnding)
	if file, err = fs.Create(name + newEnding); err != nil {
		return err
	}
	defer file.Close()
	h := head{kind: snapshotFile, id: id, length: headSize}
	var out []byte
	for p := range table.Places() {
		key, expires, value := table.Next(p)
		if value == nil {
			continue
		}
		out = appendRecord(out[:0], putRecord, key, expires, *value)
		seal(out, uint64(uint32(id)|ofSnapshot), h.length)
		if _, err := file.WriteAt(out, h.length); err != nil {
			return err
		}
		h.length, h.records = h.length+int64(len(out)), h.records+1
	}
	if _, err := file.WriteAt(h.bytes(), 0); err != nil {
		return err
	}
	if err := errors.Join(file.Sync(), fs.Rename(name+newEnding, name)); err != nil {
		return err
	}
	return fs.SyncDir()
}
