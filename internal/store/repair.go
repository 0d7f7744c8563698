package store

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"

	"liftshift/internal/index"
	"liftshift/internal/vfs"
)

// RepairResult is what a repair did.
type RepairResult struct {
	Needed       bool     `json:"Needed"`
	Records      int      `json:"Records"` // live ones that were saved
	SkippedBytes int64    `json:"Skipped"` // bytes that could not be read
	Quarantined  []string `json:"Aside"`   // files taken out of the store, under their new names
}

// Repair makes a store that is damaged open again: whatever can be read in any file goes into a snapshot, the old files are taken
// out of the store, and the new log says that something may be lost. A store that opens is left as it is.
func Repair(fs vfs.FS, options Options) (result RepairResult, err error) {
	lock, err := fs.Lock(lockName)
	if err != nil {
		return result, fmt.Errorf("store: %w", err)
	}
	defer func() { err = errors.Join(err, lock.Close()) }()
	survey := &surveyor{fs: fs}
	if err := survey.read(func(record, location) {}); err != nil {
		return result, err
	}
	if survey.damage == nil {
		return result, nil
	}
	if errors.Is(survey.damage, ErrNewer) {
		return result, survey.damage
	}
	result.Needed = true
	files := survey.filesInOrder()
	var table index.Table[[]byte]
	for _, p := range files {
		skipped, err := survey.salvage(p, func(r record) {
			if r.deletes() {
				table.Delete(r.key)
				return
			}
			v, _ := table.Put(r.key, r.expires)
			*v = bytes.Clone(r.value)
		})
		if err != nil {
			return result, err
		}
		result.SkippedBytes += skipped
	}
	result.Records = table.Len()
	if err := writeRepaired(fs, options.withDefaults(), survey.maxID+1, &table); err != nil {
		return result, err
	}
	for _, p := range files {
		if err := fs.Rename(p.Name, p.Name+quarantineSuffix); err != nil {
			return result, err
		}
		result.Quarantined = append(result.Quarantined, p.Name+quarantineSuffix)
	}
	return result, fs.SyncDir()
}

// filesInOrder returns the files that are not empty in the order of their records: a snapshot stands before the log file of its
// number.
func (s *surveyor) filesInOrder() []FileReport {
	files := slices.DeleteFunc(slices.Clone(s.report.Files), func(p FileReport) bool { return p.Length <= 0 })
	slices.SortStableFunc(files, func(a, b FileReport) int {
		switch {
		case a.ID != b.ID:
			return cmp.Compare(a.ID, b.ID)
		case a.Snapshot == b.Snapshot:
			return 0
		case a.Snapshot:
			return -1
		default:
			return 1
		}
	})
	return files
}

// salvage hands on every valid record of a file, wherever it stands, and returns how many bytes are not of one. Bytes behind those
// that the next file says are valid were reported as failed and are left out.
func (s *surveyor) salvage(p FileReport, each func(record)) (skipped int64, err error) {
	f, err := s.fs.Open(p.Name)
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
		file = uint64(snapshotID(p.ID))
	}
	for _, h := range s.chain {
		if !p.Snapshot && h.previous == p.ID {
			end = min(end, h.previousEnd)
		}
	}
	for offset := int64(headerSize); offset < end; {
		if r, ok := decodeRecord(all[offset:end], file, offset); ok {
			each(r)
			offset += int64(r.size)
			continue
		}
		if all[offset] != 0 {
			skipped++
		}
		offset++
	}
	return skipped, nil
}

// writeRepaired writes a store of a snapshot and an empty log file.
func writeRepaired(fs vfs.FS, options Options, id uint64, table *index.Table[[]byte]) error {
	file, err := createLog(fs, fileHeader{kind: kindLog, inDoubt: true, id: id, length: options.SegmentBytes})
	if err != nil {
		return err
	}
	_ = file.Close()
	name := fileName(id, snapshotSuffix)
	_ = fs.Remove(name + temporarySuffix)
	if file, err = fs.Create(name + temporarySuffix); err != nil {
		return err
	}
	defer file.Close()
	h := fileHeader{kind: kindSnapshot, id: id, length: headerSize}
	var out []byte
	for place := range table.Places() {
		key, expires, value := table.Next(place)
		if value == nil {
			continue
		}
		out = appendRecord(out[:0], putRecord, key, expires, *value)
		sealRecord(out, uint64(snapshotID(id)), h.length)
		if _, err := file.WriteAt(out, h.length); err != nil {
			return err
		}
		h.length += int64(len(out))
		h.records++
	}
	if _, err := file.WriteAt(h.encode(), 0); err != nil {
		return err
	}
	if err := errors.Join(file.Sync(), fs.Rename(name+temporarySuffix, name)); err != nil {
		return err
	}
	return fs.SyncDir()
}
