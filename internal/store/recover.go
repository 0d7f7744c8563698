package store

// recover reads the store into the index and opens its files. It changes nothing but that it removes what is left over.
func (s *Store) recover(keep func(Key, int64, []byte)) (Recovery, error) {
	survey := &surveyor{fs: s.fs}
	err := survey.read(func(r record, at location) {
		s.apply(r, at)
		r.handTo(keep)
	})
	report := &survey.report
	recovery := Recovery{Records: s.index.Len(), Files: len(report.Files), InDoubt: report.InDoubt, Reason: report.Reason,
		Snapshot: report.Snapshot, Created: len(report.Files) == 0}
	if err == nil {
		err = survey.damage
	}
	if err != nil {
		return recovery, err
	}
	for _, p := range report.Files {
		if err := s.openRecovered(p); err != nil {
			return recovery, err
		}
		recovery.Bytes += p.CountedBytes
	}
	for _, name := range report.Leftover {
		if err := s.fs.Remove(name); err != nil {
			return recovery, err
		}
		recovery.Removed = append(recovery.Removed, name)
	}
	s.lastFile, s.active = survey.maxID, survey.last
	return recovery, nil
}

// openRecovered opens a file that holds records of the store.
func (s *Store) openRecovered(p FileReport) error {
	file, err := s.fs.Open(p.Name)
	if err != nil {
		return err
	}
	id := uint32(p.ID)
	if p.Snapshot {
		id = snapshotID(p.ID)
	}
	s.files[id], s.fileBytes[id] = file, p.CountedBytes
	return nil
}
