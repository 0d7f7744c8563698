package store

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"liftshift/internal/vfs"
)

// FileReport describes the state of one file of a store.
type FileReport struct {
	Name       string `json:"Name"`
	Snapshot   bool   `json:"Snapshot"`
	ID         uint64 `json:"ID"`
	Length     int64  `json:"Length"`     // of the file
	ValidBytes int64  `json:"ValidBytes"` // length of the header and the complete, valid batches after it
	// CountedBytes is the valid length that the header of a snapshot or the next log file states. For the last log file it
	// equals ValidBytes.
	CountedBytes int64  `json:"Counts"`
	Records      int    `json:"Records"`
	InDoubt      bool   `json:"InDoubt"` // the file was created after a tail in doubt
	Problem      string `json:"Problem"` // empty if there is none
}

// Report describes the state of a store on disk.
type Report struct {
	Files    []FileReport `json:"Files"`
	Leftover []string     `json:"Leftover"` // files outside the store: replaced by a snapshot, or not finished
	Snapshot uint64       `json:"Snapshot"` // number of the snapshot, 0 if there is none
	InDoubt  bool         `json:"InDoubt"`  // the last batches may be missing
	Reason   string       `json:"Reason"`   // why InDoubt is set
	Damage   string       `json:"Damage"`   // why the store does not open; empty if it does
}

// surveyor reads the files of a store and changes nothing.
type surveyor struct {
	fs     vfs.FS
	report Report
	chain  []fileHeader // of the log files in use, oldest first
	last   segment      // the newest log file
	maxID  uint64       // highest number of any file
	damage error        // why the store does not open
}

// Survey reads the store in a directory, also while another process uses it. It passes each record to visit (expires in
// ms) in the order of writing, with a nil value for a deletion; visit may be nil. An error means that the directory
// could not be read; damage to the store is part of the report.
func Survey(fs vfs.FS, visit func(key Key, expires int64, value []byte)) (Report, error) {
	s := &surveyor{fs: fs}
	err := s.read(func(r record, _ location) { r.deliverTo(visit) })
	return s.report, err
}

// deliverTo passes the record to visit, which may be nil. The value is nil for a deletion.
func (r record) deliverTo(visit func(key Key, expires int64, value []byte)) {
	switch {
	case visit == nil:
	case r.isDeletion():
		visit(r.key, 0, nil)
	default:
		visit(r.key, r.expires, r.value)
	}
}

// read reads the newest snapshot and the log files from its number on. Each log file is read up to the valid length
// that the next one states, and the last one up to the end of its valid batches.
func (s *surveyor) read(visit func(record, location)) error {
	logs, snapshots, err := s.list()
	if err != nil {
		return err
	}
	s.maxID = max(lastID(logs), lastID(snapshots))
	if len(snapshots) > 0 {
		logs = s.dropReplaced(logs, snapshots)
		if err := s.readSnapshot(s.report.Snapshot, visit); err != nil {
			return err
		}
	}
	headers, err := s.readHeaders(logs)
	if err != nil {
		return err
	}
	if err := s.followChain(logs, headers); err != nil {
		return err
	}
	for i, header := range s.chain {
		if err := s.readLog(header, i, visit); err != nil {
			return err
		}
	}
	return nil
}

// list returns the numbers of the log files and of the snapshots in ascending order, and reports all other files as
// leftover.
func (s *surveyor) list() (logs, snapshots []uint64, err error) {
	names, err := s.fs.List()
	if err != nil {
		return nil, nil, err
	}
	for _, name := range names {
		if id, ok := parseFileName(name, logSuffix); ok {
			logs = append(logs, id)
		} else if id, ok := parseFileName(name, snapshotSuffix); ok {
			snapshots = append(snapshots, id)
		} else if name != lockName {
			s.report.Leftover = append(s.report.Leftover, name)
		}
	}
	slices.Sort(logs)
	slices.Sort(snapshots)
	return logs, snapshots, nil
}

// dropReplaced reports the snapshots before the last one and the log files that it replaces as leftover. It returns the
// other log files.
func (s *surveyor) dropReplaced(logs, snapshots []uint64) []uint64 {
	older := snapshots[:len(snapshots)-1]
	s.report.Snapshot = lastID(snapshots)
	for _, id := range older {
		s.report.Leftover = append(s.report.Leftover, fileName(id, snapshotSuffix))
	}
	return slices.DeleteFunc(logs, func(id uint64) bool {
		if id < s.report.Snapshot {
			s.report.Leftover = append(s.report.Leftover, fileName(id, logSuffix))
		}
		return id < s.report.Snapshot
	})
}

// lastID returns the highest of the sorted numbers, or 0 if there is none.
func lastID(ids []uint64) uint64 {
	if len(ids) == 0 {
		return 0
	}
	return ids[len(ids)-1]
}

// setDamage records a problem with a file that keeps the store from opening.
func (s *surveyor) setDamage(fileReport *FileReport, err error) {
	fileReport.Problem = err.Error()
	if s.report.Damage == "" {
		s.report.Damage = fileReport.Name + ": " + err.Error()
		s.damage = fmt.Errorf("%s: %w", fileReport.Name, err)
	}
}

// setInDoubt records why the last batches of the log may be missing.
func (s *surveyor) setInDoubt(fileReport *FileReport, reason string) {
	s.report.InDoubt, s.report.Reason = true, fileReport.Name+": "+reason
	fileReport.Problem = reason
}

// openFile opens a file and reads its header. If the header is not valid, it records the damage and returns a nil file.
func (s *surveyor) openFile(fileReport *FileReport, kind byte) (vfs.File, fileHeader, error) {
	file, err := s.fs.Open(fileReport.Name)
	if err != nil {
		return nil, fileHeader{}, err
	}
	if fileReport.Length, err = file.Size(); err != nil {
		return nil, fileHeader{}, errors.Join(err, file.Close())
	}
	encoded := make([]byte, min(headerSize, fileReport.Length))
	if _, err = file.ReadAt(encoded, 0); err != nil && !errors.Is(err, io.EOF) {
		return nil, fileHeader{}, errors.Join(err, file.Close())
	}
	header, err := decodeHeader(encoded, kind, fileReport.ID)
	if err != nil {
		s.setDamage(fileReport, err)
		return nil, header, file.Close()
	}
	fileReport.ValidBytes, fileReport.CountedBytes = headerSize, headerSize
	fileReport.InDoubt = header.inDoubt
	return file, header, nil
}

// readSnapshot reads a snapshot, which must hold exactly the bytes and records that its header states.
func (s *surveyor) readSnapshot(id uint64, visit func(record, location)) error {
	fileReport := FileReport{Name: fileName(id, snapshotSuffix), Snapshot: true, ID: id}
	file, header, err := s.openFile(&fileReport, kindSnapshot)
	if file != nil {
		fileReport.ValidBytes, fileReport.Records, err = scanRecords(
			file, uint64(snapshotID(id)), min(header.length, fileReport.Length), visit)
		fileReport.CountedBytes = header.length
		if err == nil && (fileReport.ValidBytes != header.length || uint64(fileReport.Records) != header.records) {
			s.setDamage(&fileReport, fmt.Errorf("%w: %d bytes and %d records are valid of %d and %d", ErrDamaged,
				fileReport.ValidBytes, fileReport.Records, header.length, header.records))
		}
		err = errors.Join(err, file.Close())
	}
	s.report.Files = append(s.report.Files, fileReport)
	return err
}

// readHeaders returns the headers of the log files by number, without those that are not valid.
func (s *surveyor) readHeaders(logs []uint64) (map[uint64]fileHeader, error) {
	headers := map[uint64]fileHeader{}
	for _, id := range logs {
		fileReport := FileReport{Name: fileName(id, logSuffix), ID: id}
		file, header, err := s.openFile(&fileReport, kindLog)
		if err != nil {
			return nil, err
		}
		if file != nil {
			headers[id] = header
			if err := file.Close(); err != nil {
				return nil, err
			}
		}
		s.report.Files = append(s.report.Files, fileReport)
	}
	return headers, nil
}

// followChain builds the chain of log files, from the newest back through the previous file that each header names. A
// log file outside the chain was abandoned because a step of its creation failed, so it must hold no records.
func (s *surveyor) followChain(logs []uint64, headers map[uint64]fileHeader) error {
	first := s.report.Snapshot
	followed := map[uint64]bool{}
	var next *FileReport
	for id := lastID(logs); id != 0; {
		header, ok := headers[id]
		if !ok {
			if next != nil && next.Problem == "" {
				s.setDamage(next, fmt.Errorf("%w: it follows file %x, which is missing", ErrDamaged, id))
			}
			break
		}
		followed[id] = true
		s.chain = append(s.chain, header)
		if id == first {
			break
		}
		next = s.logReport(id)
		id = header.previous
	}
	slices.Reverse(s.chain)
	if first != 0 && !followed[first] && s.report.Damage == "" {
		s.setDamage(&s.report.Files[0], fmt.Errorf("%w: the log file of the snapshot is missing", ErrDamaged))
	}
	for _, id := range logs {
		if _, ok := headers[id]; ok && !followed[id] {
			if err := s.dropUnused(s.logReport(id)); err != nil {
				return err
			}
		}
	}
	return nil
}

// logReport returns the report of the log file with number id, which must have one.
func (s *surveyor) logReport(id uint64) *FileReport {
	return &s.report.Files[slices.IndexFunc(s.report.Files, func(file FileReport) bool {
		return !file.Snapshot && file.ID == id
	})]
}

// dropUnused reports a log file outside the chain as leftover if it holds no data, and as damage if it does.
func (s *surveyor) dropUnused(fileReport *FileReport) error {
	file, err := s.fs.Open(fileReport.Name)
	if err != nil {
		return err
	}
	defer file.Close()
	unused, err := onlyZeros(file, headerSize, fileReport.Length)
	if err == nil && !unused {
		s.setDamage(fileReport, fmt.Errorf("%w: it holds records, and no file follows it", ErrDamaged))
	} else if s.report.Damage == "" {
		name := fileReport.Name
		s.report.Leftover = append(s.report.Leftover, name)
		s.report.Files = slices.DeleteFunc(s.report.Files, func(file FileReport) bool { return file.Name == name })
	}
	return err
}

// readLog reads the log file with the given header and index in the chain.
func (s *surveyor) readLog(header fileHeader, index int, visit func(record, location)) error {
	fileReport := s.logReport(header.id)
	file, err := s.fs.Open(fileReport.Name)
	if err != nil {
		return err
	}
	defer file.Close()
	if index < len(s.chain)-1 {
		return s.readFollowedLog(file, fileReport, s.chain[index+1].previousEnd, visit)
	}
	if fileReport.ValidBytes, fileReport.Records, err = scanRecords(
		file, header.id, fileReport.Length, visit); err != nil {
		return err
	}
	fileReport.CountedBytes = fileReport.ValidBytes
	s.last = segment{id: header.id, end: fileReport.ValidBytes, durable: fileReport.ValidBytes}
	return s.checkTail(file, fileReport, header)
}

// readFollowedLog reads a log file whose valid length is stated by the next one.
func (s *surveyor) readFollowedLog(
	file vfs.File, fileReport *FileReport, end int64, visit func(record, location),
) (err error) {
	if fileReport.ValidBytes, fileReport.Records, err = scanRecords(
		file, fileReport.ID, min(fileReport.Length, end), visit); err != nil {
		return err
	}
	fileReport.CountedBytes = end
	if fileReport.ValidBytes < end {
		s.setDamage(fileReport, fmt.Errorf("%w: %d bytes are valid of the %d that count",
			ErrDamaged, fileReport.ValidBytes, end))
	}
	return nil
}

// checkTail sets InDoubt unless the last log file has its full length and only zeros after its valid batches. A file
// that was created after a tail in doubt stays in doubt while it has no records.
func (s *surveyor) checkTail(file vfs.File, fileReport *FileReport, header fileHeader) error {
	clean, err := onlyZeros(file, fileReport.ValidBytes, fileReport.Length)
	switch {
	case err != nil:
		return err
	case fileReport.Length != header.length:
		s.setInDoubt(fileReport, fmt.Sprintf("the file has %d bytes of %d", fileReport.Length, header.length))
	case !clean:
		s.setInDoubt(fileReport, fmt.Sprintf("what stands behind byte %d can't be read", fileReport.ValidBytes))
	case header.inDoubt && fileReport.Records == 0:
		s.setInDoubt(fileReport, "the tail of the file before was not as it was left")
	}
	return nil
}
