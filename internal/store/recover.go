package store

// recover reads the store into the index, opens its files and removes leftover ones. It changes nothing else on disk.
func (s *Store) recover(visit func(Key, int64, []byte)) (Recovery, error) {
	survey := &surveyor{fs: s.fs}
	err := survey.read(func(r record, loc location) {
		s.apply(r, loc)
		r.deliverTo(visit)
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
	for _, fileReport := range report.Files {
		if err := s.openRecovered(fileReport); err != nil {
			return recovery, err
		}
		recovery.Bytes += fileReport.CountedBytes
	}
	for _, name := range report.Leftover {
		if err := s.fs.Remove(name); err != nil {
			return recovery, err
		}
		recovery.Removed = append(recovery.Removed, name)
	}
	s.lastFileID, s.active = survey.maxID, survey.last
	return recovery, nil
}

// openRecovered opens a file whose records are in the index.
func (s *Store) openRecovered(fileReport FileReport) error {
	file, err := s.fs.Open(fileReport.Name)
	if err != nil {
		return err
	}
	id := uint32(fileReport.ID)
	if fileReport.Snapshot {
		id = snapshotID(fileReport.ID)
	}
	s.files[id], s.fileBytes[id] = file, fileReport.CountedBytes
	return nil
}
