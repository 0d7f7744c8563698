package benchmark

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"liftshift/internal/store"
	"liftshift/internal/vfs"
)

const (
	recordBytes   = 120                // of the record of an idempotency key
	keyMultiplier = 0x9E3779B97F4A7C15 // spreads consecutive numbers over all keys
)

// Store measures the store, the index and the ledger. The directory must be on the file system that is to be measured.
func Store(dir string, programs string) ([]Figure, error) {
	parts := []func(string) ([]Figure, error){
		measureGroupCommit, measureRecovery, measureChurn, measureIndex, measureLedger,
		func(dir string) ([]Figure, error) { return measureLookupsAndHolds(dir, programs) },
	}
	var all []Figure
	for k, part := range parts {
		partDir := filepath.Join(dir, fmt.Sprint("part-", k))
		figures, err := part(partDir)
		if err != nil {
			return all, err
		}
		all = append(all, figures...)
		if err := os.RemoveAll(partDir); err != nil {
			return all, err
		}
	}
	return all, nil
}

func numberedKey(n uint64) (key store.Key) {
	binary.LittleEndian.PutUint64(key[:8], n*keyMultiplier)
	binary.LittleEndian.PutUint64(key[8:], n)
	return key
}

// plainLog is the baseline of the store: it writes and syncs each record by itself.
type plainLog struct {
	mu   sync.Mutex
	file *os.File
}

func (l *plainLog) write(record []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.file.Write(record); err != nil {
		return err
	}
	return l.file.Sync()
}

// writeRate has several writers write for some time and returns the number of records per second.
func writeRate(writers int, write func(n uint64) error) (float64, error) {
	const duration = 250 * time.Millisecond
	var all sync.WaitGroup
	var mu sync.Mutex
	var failed error
	total, start := 0, time.Now()
	for writer := range writers {
		all.Add(1)
		go func() {
			defer all.Done()
			n := 0
			var err error
			for ; time.Since(start) < duration && err == nil; n++ {
				err = write(uint64(writer)<<32 | uint64(n))
			}
			mu.Lock()
			defer mu.Unlock()
			if total += n; err != nil {
				failed = err
			}
		}()
	}
	all.Wait()
	return float64(total) / time.Since(start).Seconds(), failed
}

// measureGroupCommit compares the store, whose writers share syncs, with a sync for each record.
func measureGroupCommit(dir string) (all []Figure, err error) {
	fs, err := vfs.OpenDir(dir, true)
	if err != nil {
		return nil, err
	}
	s, _, err := store.Open(fs, store.Options{}, nil)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	file, err := os.Create(filepath.Join(dir, "plain"))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	plain := &plainLog{file: file}
	value := make([]byte, recordBytes)
	for _, writers := range []int{1, 8, 64, 512} {
		var failed error
		keepError := func(rate float64, err error) float64 {
			if err != nil {
				failed = err
			}
			return rate
		}
		rates := compareMedians(
			func() float64 {
				return keepError(writeRate(writers, func(n uint64) error {
					batch := &store.Batch{}
					batch.Put(numberedKey(n%5000), 0, value)
					return s.Write(0, batch)
				}))
			},
			func() float64 {
				return keepError(writeRate(writers, func(uint64) error { return plain.write(value) }))
			})
		if failed != nil {
			return nil, failed
		}
		minGain := 0.0
		if writers == 64 {
			minGain = 10
		}
		all = append(all,
			Figure{fmt.Sprintf("store.records_a_second_%d", writers), rates[0], "1/s", ">=", 1},
			Figure{fmt.Sprintf("store.group_commit_gain_%d", writers), rates[0] / rates[1], "x", ">=", minGain})
	}
	return all, nil
}

// unsyncedDir is a directory whose syncs do nothing, so that it can be filled fast.
type unsyncedDir struct{ vfs.Dir }

// unsyncedFile is a file whose syncs do nothing.
type unsyncedFile struct{ vfs.File }

// Sync does nothing.
func (unsyncedFile) Sync() error { return nil }

// SyncDir does nothing.
func (unsyncedDir) SyncDir() error { return nil }

// Create makes a file whose syncs do nothing.
func (d unsyncedDir) Create(name string) (vfs.File, error) {
	file, err := d.Dir.Create(name)
	if err != nil {
		return nil, err
	}
	return unsyncedFile{file}, nil
}

// measureRecovery measures how long stores of several sizes take to open.
func measureRecovery(dir string) (all []Figure, err error) {
	var seconds []float64
	for _, records := range []int{1e4, 1e5, 1e6} {
		storeDir := filepath.Join(dir, fmt.Sprint(records))
		realDir, err := vfs.OpenDir(storeDir, true)
		if err != nil {
			return nil, err
		}
		fs := unsyncedDir{realDir}
		if err := fillStore(fs, records); err != nil {
			return nil, err
		}
		var failed error
		medians := compareMedians(func() float64 {
			return elapsedSeconds(func() {
				if err := readStore(fs, records); err != nil {
					failed = err
				}
			})
		})
		if failed != nil {
			return nil, failed
		}
		seconds = append(seconds, medians[0])
		all = append(all, Figure{fmt.Sprintf("store.recovery_%d", records), medians[0], "s", "<=", 2})
		_ = os.RemoveAll(storeDir)
	}
	return append(all, Figure{"store.recovery_growth_per_tenfold", seconds[2] / seconds[1], "x", "<=", 12}), nil
}

// fillStore writes a number of records, in batches of 100, to a new store and closes it.
func fillStore(fs unsyncedDir, records int) error {
	s, _, err := store.Open(fs, store.Options{SnapshotRatio: 100}, nil)
	if err != nil {
		return err
	}
	value := make([]byte, recordBytes)
	batch := &store.Batch{}
	for k := 0; k < records; {
		batch.Reset()
		for range 100 {
			batch.Put(numberedKey(uint64(k)), 0, value)
			k++
		}
		if err := s.Write(0, batch); err != nil {
			return err
		}
	}
	return s.Close()
}

// readStore opens a store, which reads all its records, and closes it. It fails unless there is the expected number of
// records.
func readStore(fs unsyncedDir, records int) error {
	read := 0
	s, _, err := store.Open(fs, store.Options{SnapshotRatio: 100}, func(store.Key, int64, []byte) { read++ })
	if err != nil {
		return err
	}
	if err := s.Close(); err != nil {
		return err
	}
	if read != records {
		return fmt.Errorf("store recovery read %d records, expected %d", read, records)
	}
	return nil
}

// measureChurn writes and expires the records of an hour of requests, and measures the use of the disk.
func measureChurn(dir string) ([]Figure, error) {
	realDir, err := vfs.OpenDir(dir, true)
	if err != nil {
		return nil, err
	}
	s, _, err := store.Open(unsyncedDir{realDir}, store.Options{}, nil)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	const requestsPerSecond, retentionMS = 100, 620_000
	value, batch, peakRatio := make([]byte, recordBytes), &store.Batch{}, 0.0
	for now := int64(0); now < 3600_000; now += 1000 {
		batch.Reset()
		for n := range requestsPerSecond { // a request and its key, then both again with the outcome
			k := uint64(now)*1000 + uint64(n)
			for range 2 {
				batch.Put(numberedKey(k), now+retentionMS, value)
				batch.Put(numberedKey(k+1e12), now+retentionMS, value)
			}
		}
		if err := s.Write(now, batch); err != nil {
			return nil, err
		}
		stats := s.Stats()
		// A second of the hour passes in a few milliseconds, so a snapshot that is due gets time to be written.
		const pauses = 5000
		for n := 0; float64(stats.DiskBytes) > 1.8*float64(stats.LiveBytes)+256<<10 && n < pauses; n++ {
			time.Sleep(200 * time.Microsecond)
			stats = s.Stats()
		}
		if now > retentionMS {
			peakRatio = max(peakRatio, float64(stats.DiskBytes)/float64(stats.LiveBytes))
		}
	}
	stats := s.Stats()
	endRatio := float64(stats.DiskBytes) / float64(stats.LiveBytes)
	return []Figure{
		{"store.bytes_for_a_live_byte_after_an_hour", endRatio, "x", "<=", 2},
		{"store.bytes_for_a_live_byte_between_snapshots", peakRatio, "x", "<=", 2},
		{"store.snapshots_in_an_hour", float64(stats.Snapshots), "", ">=", 1},
	}, nil
}
