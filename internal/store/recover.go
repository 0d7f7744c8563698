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
	Name       string
	Snapshot   bool
	ID         uint64
	Length     int64 // of the file
	ValidBytes int64 // bytes that can be read
	Counts     int64 // bytes that count: the file after it says so, or all that are good in the last
	Records    int
	InDoubt    bool   // made after an end that was not as it was left
	Problem    string // empty: none
}

// Report is what a look at a folder found.
type Report struct {
	Files    []FileReport
	Leftover []string // names that are no part of the store: of an earlier state, or half made
	Snapshot uint64
	InDoubt  bool
	Reason   string
	Damage   string // why it does not open; empty: it does
}

// survey is a look at a folder that changes nothing.
type survey struct {
	fs     vfs.FS
	report Report
	logs   []head
	last   segment
	most   uint64 // highest number of any file
	fatal  error
}

// Survey looks at the store in a folder, also while another process uses it, and hands each record to keep in the
// order of writing; a nil value is the end of a record. An error means that the folder could not be read at all.
func Survey(fs vfs.FS, keep func(key Key, expires int64, value []byte)) (Report, error) {
	s := &survey{fs: fs}
	err := s.look(func(r record, _ place) {
		if keep == nil {
			return
		}
		if r.kind&^more == deleteRecord {
			keep(r.key, 0, nil)
		} else {
			keep(r.key, r.expires, r.value)
		}
	})
	return s.report, err
}

// look goes through the folder: the newest snapshot, then the log files from it on, each as far as the next says that
// it counts, the last as far as it is good.
func (s *survey) look(each func(record, place)) error {
	names, err := s.fs.List()
	if err != nil {
		return err
	}
	var logs, snapshots []uint64
	for _, name := range names {
		if id, ok := parseName(name, logEnding); ok {
			logs = append(logs, id)
		} else if id, ok := parseName(name, snapshotEnding); ok {
			snapshots = append(snapshots, id)
		} else if name != lockName {
			s.report.Leftover = append(s.report.Leftover, name)
			continue
		}
	}
	slices.Sort(logs)
	slices.Sort(snapshots)
	s.most = max(0, lastOf(logs), lastOf(snapshots))
	if n := len(snapshots); n > 0 {
		s.report.Snapshot = snapshots[n-1]
		for _, id := range snapshots[:n-1] {
			s.report.Leftover = append(s.report.Leftover, fileName(id, snapshotEnding))
		}
		logs = slices.DeleteFunc(logs, func(id uint64) bool {
			if id < s.report.Snapshot {
				s.report.Leftover = append(s.report.Leftover, fileName(id, logEnding))
			}
			return id < s.report.Snapshot
		})
		if err := s.snapshot(s.report.Snapshot, each); err != nil {
			return err
		}
	}
	if err := s.heads(logs); err != nil {
		return err
	}
	for k, h := range s.logs {
		if err := s.log(h, k, each); err != nil {
			return err
		}
	}
	return nil
}

func lastOf(ids []uint64) uint64 {
	if len(ids) == 0 {
		return 0
	}
	return ids[len(ids)-1]
}

// damage notes what is wrong with a file so that the store does not open.
func (s *survey) damage(p *FileReport, err error) {
	p.Problem = err.Error()
	if s.report.Damage == "" {
		s.report.Damage, s.fatal = p.Name+": "+err.Error(), fmt.Errorf("%s: %w", p.Name, err)
	}
}

// open opens a file and reads its head. The file is nil where the head is no good.
func (s *survey) open(p *FileReport, kind byte) (vfs.File, head, error) {
	f, err := s.fs.Open(p.Name)
	if err != nil {
		return nil, head{}, err
	}
	if p.Length, err = f.Size(); err != nil {
		return nil, head{}, errors.Join(err, f.Close())
	}
	b := make([]byte, min(headSize, p.Length))
	if _, err = f.ReadAt(b, 0); err != nil && !errors.Is(err, io.EOF) {
		return nil, head{}, errors.Join(err, f.Close())
	}
	h, err := readHead(b, kind, p.ID)
	if err != nil {
		s.damage(p, err)
		return nil, h, f.Close()
	}
	p.ValidBytes, p.Counts, p.InDoubt = headSize, headSize, h.doubt
	return f, h, nil
}

func (s *survey) snapshot(id uint64, each func(record, place)) error {
	p := FileReport{Name: fileName(id, snapshotEnding), Snapshot: true, ID: id}
	f, h, err := s.open(&p, snapshotFile)
	if f != nil {
		p.ValidBytes, p.Records, err = scan(f, uint64(uint32(id)|ofSnapshot), min(h.length, p.Length), each)
		p.Counts = h.length
		if err == nil && (p.ValidBytes != h.length || uint64(p.Records) != h.records) {
			s.damage(&p, fmt.Errorf("%w: %d bytes and %d records are good of %d and %d", ErrDamaged, p.ValidBytes, p.Records,
				h.length, h.records))
		}
		err = errors.Join(err, f.Close())
	}
	s.report.Files = append(s.report.Files, p)
	return err
}

// heads reads the heads of the log files and follows them back from the newest, each to the one that it names. A file
// that none names was given up while it was begun and never written to.
func (s *survey) heads(logs []uint64) error {
	heads, chain := map[uint64]head{}, map[uint64]bool{}
	for _, id := range logs {
		p := FileReport{Name: fileName(id, logEnding), ID: id}
		f, h, err := s.open(&p, logFile)
		if err != nil {
			return err
		}
		if f != nil {
			heads[id] = h
			if err := f.Close(); err != nil {
				return err
			}
		}
		s.report.Files = append(s.report.Files, p)
	}
	first := s.report.Snapshot
	for id, after := lastOf(logs), (*FileReport)(nil); id != 0 && len(logs) > 0; {
		h, ok := heads[id]
		if !ok {
			if after != nil && after.Problem == "" {
				s.damage(after, fmt.Errorf("%w: it follows file %x, which is missing", ErrDamaged, id))
			}
			break
		}
		chain[id] = true
		s.logs = append(s.logs, h)
		if id == first {
			break
		}
		after, id = s.part(id), h.before
	}
	slices.Reverse(s.logs)
	if first != 0 && !chain[first] && s.report.Damage == "" {
		s.damage(&s.report.Files[0], fmt.Errorf("%w: the log file of the snapshot is missing", ErrDamaged))
	}
	for _, id := range logs {
		if _, ok := heads[id]; ok && !chain[id] {
			if err := s.unwritten(s.part(id)); err != nil {
				return err
			}
		}
	}
	return nil
}

// part gives the log file of a number.
func (s *survey) part(id uint64) *FileReport {
	return &s.report.Files[slices.IndexFunc(s.report.Files, func(p FileReport) bool { return !p.Snapshot && p.ID == id })]
}

// unwritten checks that a log file which none follows holds nothing, and leaves it out.
func (s *survey) unwritten(p *FileReport) error {
	f, err := s.fs.Open(p.Name)
	if err != nil {
		return err
	}
	defer f.Close()
	clean, err := zeros(f, headSize, p.Length)
	if err == nil && !clean {
		s.damage(p, fmt.Errorf("%w: it holds records, and no file follows it", ErrDamaged))
	} else if s.report.Damage == "" {
		s.report.Leftover = append(s.report.Leftover, p.Name)
		name := p.Name
		s.report.Files = slices.DeleteFunc(s.report.Files, func(p FileReport) bool { return p.Name == name })
	}
	return err
}

func (s *survey) log(h head, k int, each func(record, place)) error {
	p := s.part(h.id)
	f, err := s.fs.Open(p.Name)
	if err != nil {
		return err
	}
	defer f.Close()
	end, last := p.Length, k == len(s.logs)-1
	if !last {
		end = min(end, s.logs[k+1].trusted)
	}
	if p.ValidBytes, p.Records, err = scan(f, h.id, end, each); err != nil {
		return err
	}
	p.Counts = p.ValidBytes
	if !last {
		if p.Counts = s.logs[k+1].trusted; p.ValidBytes < p.Counts {
			s.damage(p, fmt.Errorf("%w: %d bytes are good of the %d that count", ErrDamaged, p.ValidBytes, p.Counts))
		}
		return nil
	}
	s.last = segment{id: h.id, at: p.ValidBytes, trusted: p.ValidBytes}
	clean, err := zeros(f, p.ValidBytes, p.Length)
	switch {
	case err != nil:
		return err
	case p.Length != h.length:
		s.doubt(p, fmt.Sprintf("the file has %d bytes of %d", p.Length, h.length))
	case !clean:
		s.doubt(p, fmt.Sprintf("what stands behind byte %d can't be read", p.ValidBytes))
	case h.doubt && p.Records == 0:
		s.doubt(p, "the end of the file before was not as it was left")
	}
	return nil
}

func (s *survey) doubt(p *FileReport, why string) {
	s.report.InDoubt, s.report.Reason = true, p.Name+": "+why
	p.Problem = why
}

const scanStep = 256 << 10

// scan hands on the good records up to a place, batch by batch, and tells where the last whole batch ends.
func scan(f io.ReaderAt, file uint64, end int64, each func(record, place)) (good int64, records int, err error) {
	buf := make([]byte, min(scanStep, max(0, end-headSize)))
	type held struct {
		at   int64
		size int
	}
	var batch []held
	good = headSize
	for from := int64(headSize); from < end; {
		b := buf[:min(int64(len(buf)), end-from)]
		if n, err := f.ReadAt(b, from); err != nil && !(errors.Is(err, io.EOF) && n == len(b)) {
			return good, records, err
		}
		used, whole := int64(0), int64(0) // of b: read, and up to the end of a batch
		batch = batch[:0]
		for {
			r, ok := recordAt(b[used:], file, from+used)
			if !ok {
				break
			}
			batch = append(batch, held{used, r.size})
			used += int64(r.size)
			if r.kind&more != 0 {
				continue
			}
			for _, h := range batch {
				each(parse(b[h.at:h.at+int64(h.size)]), place{uint32(file), uint32(from + h.at), uint32(h.size)})
			}
			records += len(batch)
			batch, whole = batch[:0], used
		}
		good = from + whole
		switch {
		case whole > 0 && from+int64(len(b)) < end:
			from += whole
		case whole == 0 && from+int64(len(b)) < end && !blank(b) && len(buf) < 64*scanStep:
			buf = make([]byte, 4*len(buf)) // a batch longer than what was read, or the end
		default:
			return good, records, nil
		}
	}
	return good, records, nil
}

func blank(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

// zeros tells whether nothing but zeros stands between two places.
func zeros(f io.ReaderAt, from, to int64) (bool, error) {
	buf := make([]byte, scanStep)
	for from < to {
		b := buf[:min(int64(len(buf)), to-from)]
		if n, err := f.ReadAt(b, from); err != nil && !(errors.Is(err, io.EOF) && n == len(b)) {
			return false, err
		}
		if !blank(b) {
			return false, nil
		}
		from += int64(len(b))
	}
	return true, nil
}

// recover reads the store into the index and opens its files. Nothing is changed but that leftovers are removed.
func (s *Store) recover(keep func(Key, int64, []byte)) (Recovery, error) {
	look := &survey{fs: s.fs}
	err := look.look(func(r record, p place) {
		s.apply(r, p)
		switch {
		case keep == nil:
		case r.kind&^more == deleteRecord:
			keep(r.key, 0, nil)
		default:
			keep(r.key, r.expires, r.value)
		}
	})
	rep := &look.report
	found := Recovery{Records: s.table.Len(), Files: len(rep.Files), InDoubt: rep.InDoubt, Reason: rep.Reason, Snapshot: rep.Snapshot,
		Began: len(rep.Files) == 0}
	if err == nil {
		err = look.fatal
	}
	if err != nil {
		return found, err
	}
	for _, p := range rep.Files {
		id := uint32(p.ID)
		if p.Snapshot {
			id |= ofSnapshot
		}
		if s.files[id], err = s.fs.Open(p.Name); err != nil {
			delete(s.files, id)
			return found, err
		}
		s.used[id] = p.Counts
		found.Bytes += p.Counts
	}
	for _, name := range rep.Leftover {
		if err := s.fs.Remove(name); err != nil {
			return found, err
		}
		found.Removed = append(found.Removed, name)
	}
	s.next, s.active = look.most, look.last
	return found, nil
}
