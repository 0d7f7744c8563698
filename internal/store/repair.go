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

// RepairResult describes what Repair did.
type RepairResult struct {
	Needed       bool     `json:"Needed"`
	Records      int      `json:"Records"` // live records that were saved
	SkippedBytes int64    `json:"Skipped"` // non-zero bytes that belong to no valid record
	Quarantined  []string `json:"Aside"`   // new names of the files that were taken out of the store
}

// Repair makes a damaged store usable again. It writes every record that can be read into a new snapshot, takes the old
// files out of the store by renaming them, and marks the new log as in doubt. A store that is not damaged is left
// unchanged.
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
	for _, fileReport := range files {
		skipped, err := survey.salvage(fileReport, func(r record) {
			if r.isDeletion() {
				table.Delete(r.key)
				return
			}
			value, _ := table.Put(r.key, r.expires)
			*value = bytes.Clone(r.value)
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
	for _, fileReport := range files {
		if err := fs.Rename(fileReport.Name, fileReport.Name+quarantineSuffix); err != nil {
			return result, err
		}
		result.Quarantined = append(result.Quarantined, fileReport.Name+quarantineSuffix)
	}
	return result, fs.SyncDir()
}

// filesInOrder returns the files that are not empty, in the order in which their records take effect. A snapshot
// precedes the log file with the same number.
func (s *surveyor) filesInOrder() []FileReport {
	files := slices.DeleteFunc(slices.Clone(s.report.Files), func(file FileReport) bool { return file.Length <= 0 })
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

// salvage passes every valid record of a file to visit, at whatever offset it is, and returns the number of non-zero
// bytes that belong to none. It ignores bytes beyond the valid length that the next log file states, because their
// batches were reported as failed.
func (s *surveyor) salvage(fileReport FileReport, visit func(record)) (skipped int64, err error) {
	file, err := s.fs.Open(fileReport.Name)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	content := make([]byte, fileReport.Length)
	if _, err := file.ReadAt(content, 0); err != nil && !errors.Is(err, io.EOF) {
		return 0, err
	}
	id, end := fileReport.ID, fileReport.Length
	if fileReport.Snapshot {
		id = uint64(snapshotID(fileReport.ID))
	}
	for _, header := range s.chain {
		if !fileReport.Snapshot && header.previous == fileReport.ID {
			end = min(end, header.previousEnd)
		}
	}
	for offset := int64(headerSize); offset < end; {
		if r, ok := decodeRecord(content[offset:end], id, offset); ok {
			visit(r)
			offset += int64(r.size)
			continue
		}
		if content[offset] != 0 {
			skipped++
		}
		offset++
	}
	return skipped, nil
}

// writeRepaired writes a store that consists of a snapshot with the records of a table and an empty log file.
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
	header := fileHeader{kind: kindSnapshot, id: id, length: headerSize}
	var encoded []byte
	for place := range table.Places() {
		key, expires, value := table.EntryAt(place)
		if value == nil {
			continue
		}
		encoded = appendRecord(encoded[:0], putRecord, key, expires, *value)
		writeChecksum(encoded, uint64(snapshotID(id)), header.length)
		if _, err := file.WriteAt(encoded, header.length); err != nil {
			return err
		}
		header.length += int64(len(encoded))
		header.records++
	}
	if _, err := file.WriteAt(header.encode(), 0); err != nil {
		return err
	}
	return publish(fs, file, name)
}
