package store

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"liftshift/internal/vfs"
)

// FileReport is one file of a store, as read.
type FileReport struct {
	Name         string `json:"Name"`
	Snapshot     bool   `json:"Snapshot"`
	ID           uint64 `json:"ID"`
	Length       int64  `json:"Length"`     // of the file
	ValidBytes   int64  `json:"ValidBytes"` // bytes that can be read
	CountedBytes int64  `json:"Counts"`     // bytes that count: the file after it says so, or all that are valid in the last
	Records      int    `json:"Records"`
	InDoubt      bool   `json:"InDoubt"` // begun after a tail that was not as it was left
	Problem      string `json:"Problem"` // empty: none
}

// Report is what a survey of a folder found.
type Report struct {
	Files    []FileReport `json:"Files"`
	Leftover []string     `json:"Leftover"` // names that are no part of the store: of an earlier state, or half made
	Snapshot uint64       `json:"Snapshot"`
	InDoubt  bool         `json:"InDoubt"`
	Reason   string       `json:"Reason"`
	Damage   string       `json:"Damage"` // why it does not open; empty: it does
}

// surveyor reads a folder and changes nothing.
type surveyor struct {
	fs     vfs.FS
	report Report
	chain  []fileHeader // of the log files, oldest first
	last   segment
	maxID  uint64 // highest number of any file
	damage error  // why the store does not open
}

// Survey reads the store in a folder, also while another process uses it, and hands each record to keep in the order of writing,
// with a nil value where one was deleted. An error means that the folder could not be read at all.
func Survey(fs vfs.FS, keep func(key Key, expires int64, value []byte)) (Report, error) {
	s := &surveyor{fs: fs}
	err := s.read(func(r record, _ location) { r.handTo(keep) })
	return s.report, err
}

// handTo hands a record to a function that may be nil.
func (r record) handTo(keep func(key Key, expires int64, value []byte)) {
	switch {
	case keep == nil:
	case r.deletes():
		keep(r.key, 0, nil)
	default:
		keep(r.key, r.expires, r.value)
	}
}

// read goes through the folder: the newest snapshot, then the log files from it on, each as far as the next one says that it is
// valid, the last as far as its records are.
func (s *surveyor) read(each func(record, location)) error {
	logs, snapshots, err := s.list()
	if err != nil {
		return err
	}
	s.maxID = max(lastID(logs), lastID(snapshots))
	if len(snapshots) > 0 {
		logs = s.dropReplaced(logs, snapshots)
		if err := s.readSnapshot(s.report.Snapshot, each); err != nil {
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
	for i, h := range s.chain {
		if err := s.readLog(h, i, each); err != nil {
			return err
		}
	}
	return nil
}

// list returns the numbers of the log files and of the snapshots, in order.
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

// dropReplaced leaves out the snapshots before the last one and the log files that it replaces, and returns the other log files.
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

func lastID(ids []uint64) uint64 {
	if len(ids) == 0 {
		return 0
	}
	return ids[len(ids)-1]
}

// setDamage notes what is wrong with a file so that the store does not open.
func (s *surveyor) setDamage(p *FileReport, err error) {
	p.Problem = err.Error()
	if s.report.Damage == "" {
		s.report.Damage = p.Name + ": " + err.Error()
		s.damage = fmt.Errorf("%s: %w", p.Name, err)
	}
}

// setInDoubt notes why the tail of the log is not as it was left.
func (s *surveyor) setInDoubt(p *FileReport, reason string) {
	s.report.InDoubt, s.report.Reason = true, p.Name+": "+reason
	p.Problem = reason
}

// openFile opens a file and reads its header. The file is nil where the header is not valid.
func (s *surveyor) openFile(p *FileReport, kind byte) (vfs.File, fileHeader, error) {
	f, err := s.fs.Open(p.Name)
	if err != nil {
		return nil, fileHeader{}, err
	}
	if p.Length, err = f.Size(); err != nil {
		return nil, fileHeader{}, errors.Join(err, f.Close())
	}
	b := make([]byte, min(headerSize, p.Length))
	if _, err = f.ReadAt(b, 0); err != nil && !errors.Is(err, io.EOF) {
		return nil, fileHeader{}, errors.Join(err, f.Close())
	}
	h, err := decodeHeader(b, kind, p.ID)
	if err != nil {
		s.setDamage(p, err)
		return nil, h, f.Close()
	}
	p.ValidBytes, p.CountedBytes = headerSize, headerSize
	p.InDoubt = h.inDoubt
	return f, h, nil
}

func (s *surveyor) readSnapshot(id uint64, each func(record, location)) error {
	p := FileReport{Name: fileName(id, snapshotSuffix), Snapshot: true, ID: id}
	f, h, err := s.openFile(&p, kindSnapshot)
	if f != nil {
		p.ValidBytes, p.Records, err = scanRecords(f, uint64(snapshotID(id)), min(h.length, p.Length), each)
		p.CountedBytes = h.length
		if err == nil && (p.ValidBytes != h.length || uint64(p.Records) != h.records) {
			s.setDamage(&p, fmt.Errorf("%w: %d bytes and %d records are valid of %d and %d", ErrDamaged, p.ValidBytes, p.Records,
				h.length, h.records))
		}
		err = errors.Join(err, f.Close())
	}
	s.report.Files = append(s.report.Files, p)
	return err
}

// readHeaders reads the headers of the log files; one that is not valid is left out.
func (s *surveyor) readHeaders(logs []uint64) (map[uint64]fileHeader, error) {
	headers := map[uint64]fileHeader{}
	for _, id := range logs {
		p := FileReport{Name: fileName(id, logSuffix), ID: id}
		f, h, err := s.openFile(&p, kindLog)
		if err != nil {
			return nil, err
		}
		if f != nil {
			headers[id] = h
			if err := f.Close(); err != nil {
				return nil, err
			}
		}
		s.report.Files = append(s.report.Files, p)
	}
	return headers, nil
}

// followChain follows the log files back from the newest, each to the one that it names. A file that none names was given up while
// it was begun and never written to.
func (s *surveyor) followChain(logs []uint64, headers map[uint64]fileHeader) error {
	first := s.report.Snapshot
	followed := map[uint64]bool{}
	var next *FileReport
	for id := lastID(logs); id != 0; {
		h, ok := headers[id]
		if !ok {
			if next != nil && next.Problem == "" {
				s.setDamage(next, fmt.Errorf("%w: it follows file %x, which is missing", ErrDamaged, id))
			}
			break
		}
		followed[id] = true
		s.chain = append(s.chain, h)
		if id == first {
			break
		}
		next = s.logReport(id)
		id = h.previous
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

// logReport returns the report of the log file of a number.
func (s *surveyor) logReport(id uint64) *FileReport {
	return &s.report.Files[slices.IndexFunc(s.report.Files, func(p FileReport) bool { return !p.Snapshot && p.ID == id })]
}

// dropUnused checks that a log file which none follows holds nothing, and leaves it out.
func (s *surveyor) dropUnused(p *FileReport) error {
	f, err := s.fs.Open(p.Name)
	if err != nil {
		return err
	}
	defer f.Close()
	unused, err := onlyZeros(f, headerSize, p.Length)
	if err == nil && !unused {
		s.setDamage(p, fmt.Errorf("%w: it holds records, and no file follows it", ErrDamaged))
	} else if s.report.Damage == "" {
		name := p.Name
		s.report.Leftover = append(s.report.Leftover, name)
		s.report.Files = slices.DeleteFunc(s.report.Files, func(p FileReport) bool { return p.Name == name })
	}
	return err
}

// readLog reads the log file at an index of the chain.
func (s *surveyor) readLog(h fileHeader, index int, each func(record, location)) error {
	p := s.logReport(h.id)
	f, err := s.fs.Open(p.Name)
	if err != nil {
		return err
	}
	defer f.Close()
	if index < len(s.chain)-1 {
		return s.readFollowedLog(f, p, s.chain[index+1].previousEnd, each)
	}
	if p.ValidBytes, p.Records, err = scanRecords(f, h.id, p.Length, each); err != nil {
		return err
	}
	p.CountedBytes = p.ValidBytes
	s.last = segment{id: h.id, end: p.ValidBytes, durable: p.ValidBytes}
	return s.checkTail(f, p, h)
}

// readFollowedLog reads a log file of which the next one tells how many bytes are valid.
func (s *surveyor) readFollowedLog(f vfs.File, p *FileReport, end int64, each func(record, location)) (err error) {
	if p.ValidBytes, p.Records, err = scanRecords(f, p.ID, min(p.Length, end), each); err != nil {
		return err
	}
	p.CountedBytes = end
	if p.ValidBytes < end {
		s.setDamage(p, fmt.Errorf("%w: %d bytes are valid of the %d that count", ErrDamaged, p.ValidBytes, end))
	}
	return nil
}

// checkTail tells whether the last log file ends as it was left: with zeros, at its full length, or in use.
func (s *surveyor) checkTail(f vfs.File, p *FileReport, h fileHeader) error {
	clean, err := onlyZeros(f, p.ValidBytes, p.Length)
	switch {
	case err != nil:
		return err
	case p.Length != h.length:
		s.setInDoubt(p, fmt.Sprintf("the file has %d bytes of %d", p.Length, h.length))
	case !clean:
		s.setInDoubt(p, fmt.Sprintf("what stands behind byte %d can't be read", p.ValidBytes))
	case h.inDoubt && p.Records == 0:
		s.setInDoubt(p, "the tail of the file before was not as it was left")
	}
	return nil
}
