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

// Store measures the store, the index and the ledger in a directory, which is on the file system that is measured.
func Store(dir string, programs string) ([]Figure, error) {
	var all []Figure
	for k, part := range []func(string) ([]Figure, error){measureGroupCommit, measureRecovery, measureChurn, measureIndex, measureLedger,
		func(dir string) ([]Figure, error) { return measureLookupsAndHolds(dir, programs) }} {
		at := filepath.Join(dir, fmt.Sprint("part-", k))
		figures, err := part(at)
		if err != nil {
			return all, err
		}
		all = append(all, figures...)
		if err := os.RemoveAll(at); err != nil {
			return all, err
		}
	}
	return all, nil
}

func keyNumber(n uint64) (k store.Key) {
	binary.LittleEndian.PutUint64(k[:8], n*0x9E3779B97F4A7C15)
	binary.LittleEndian.PutUint64(k[8:], n)
	return k
}

const recordBytes = 120 // of an idempotency key's record

// plainLog is the structure that the store is compared with: each writer's record is written and synced by itself.
type plainLog struct {
	mu sync.Mutex
	f  *os.File
}

func (p *plainLog) write(b []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, err := p.f.Write(b); err != nil {
		return err
	}
	return p.f.Sync()
}

// writeRate has writers write for a time and returns the records a second.
func writeRate(writers int, write func(n uint64) error) (float64, error) {
	const span = 250 * time.Millisecond
	var all sync.WaitGroup
	var mu sync.Mutex
	var failed error
	total, began := 0, time.Now()
	for w := range writers {
		all.Add(1)
		go func() {
			defer all.Done()
			n := 0
			var err error
			for ; time.Since(began) < span && err == nil; n++ {
				err = write(uint64(w)<<32 | uint64(n))
			}
			mu.Lock()
			defer mu.Unlock()
			if total += n; err != nil {
				failed = err
			}
		}()
	}
	all.Wait()
	return float64(total) / time.Since(began).Seconds(), failed
}

// measureGroupCommit compares shared syncs with a sync for each record.
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
	f, err := os.Create(filepath.Join(dir, "plain"))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	plain := &plainLog{f: f}
	value := make([]byte, recordBytes)
	for _, writers := range []int{1, 8, 64, 512} {
		var failed error
		note := func(r float64, err error) float64 {
			if err != nil {
				failed = err
			}
			return r
		}
		m := compareMedians(
			func() float64 {
				return note(writeRate(writers, func(n uint64) error {
					b := &store.Batch{}
					b.Put(keyNumber(n%5000), 0, value)
					return s.Write(0, b)
				}))
			},
			func() float64 { return note(writeRate(writers, func(uint64) error { return plain.write(value) })) })
		if failed != nil {
			return nil, failed
		}
		want := 0.0
		if writers == 64 {
			want = 10
		}
		all = append(all, Figure{fmt.Sprintf("store.records_a_second_%d", writers), m[0], "1/s", ">=", 1},
			Figure{fmt.Sprintf("store.group_commit_gain_%d", writers), m[0] / m[1], "x", ">=", want})
	}
	return all, nil
}

// unsyncedDir is a directory whose syncs do nothing: for filling it fast.
type unsyncedDir struct{ vfs.Dir }

// unsyncedFile is a file whose syncs do nothing.
type unsyncedFile struct{ vfs.File }

// Sync does nothing.
func (unsyncedFile) Sync() error { return nil }

// SyncDir does nothing.
func (unsyncedDir) SyncDir() error { return nil }

// Create makes a file whose syncs do nothing.
func (u unsyncedDir) Create(name string) (vfs.File, error) {
	f, err := u.Dir.Create(name)
	if err != nil {
		return nil, err
	}
	return unsyncedFile{f}, nil
}

// measureRecovery measures how long a store of so many records takes to open.
func measureRecovery(dir string) (all []Figure, err error) {
	var took []float64
	sizes := []int{1e4, 1e5, 1e6}
	for _, n := range sizes {
		at := filepath.Join(dir, fmt.Sprint(n))
		real, err := vfs.OpenDir(at, true)
		if err != nil {
			return nil, err
		}
		s, _, err := store.Open(unsyncedDir{real}, store.Options{SnapshotRatio: 100}, nil)
		if err != nil {
			return nil, err
		}
		value := make([]byte, recordBytes)
		b := &store.Batch{}
		for k := 0; k < n; {
			b.Reset()
			for range 100 {
				b.Put(keyNumber(uint64(k)), 0, value)
				k++
			}
			if err := s.Write(0, b); err != nil {
				return nil, err
			}
		}
		if err := s.Close(); err != nil {
			return nil, err
		}
		var failed error
		m := compareMedians(func() float64 {
			return elapsedSeconds(func() {
				read := 0
				s, _, err := store.Open(unsyncedDir{real}, store.Options{SnapshotRatio: 100}, func(store.Key, int64, []byte) { read++ })
				if err == nil {
					err = s.Close()
				}
				if err != nil || read != n {
					failed = fmt.Errorf("%d of %d records read: %w", read, n, err)
				}
			})
		})
		if failed != nil {
			return nil, failed
		}
		took = append(took, m[0])
		all = append(all, Figure{fmt.Sprintf("store.recovery_%d", n), m[0], "s", "<=", 2})
		_ = os.RemoveAll(at)
	}
	return append(all, Figure{"store.recovery_growth_per_tenfold", took[2] / took[1], "x", "<=", 12}), nil
}

// measureChurn writes and expires the records of an hour of requests, and looks at the disk.
func measureChurn(dir string) ([]Figure, error) {
	real, err := vfs.OpenDir(dir, true)
	if err != nil {
		return nil, err
	}
	s, _, err := store.Open(unsyncedDir{real}, store.Options{}, nil)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	const aSecond, keptMS = 100, 620_000
	value, b, peak := make([]byte, recordBytes), &store.Batch{}, 0.0
	for now := int64(0); now < 3600_000; now += 1000 {
		b.Reset()
		for n := range aSecond { // a request and its key, then both again with the outcome
			k := uint64(now)*1000 + uint64(n)
			for range 2 {
				b.Put(keyNumber(k), now+keptMS, value)
				b.Put(keyNumber(k+1e12), now+keptMS, value)
			}
		}
		if err := s.Write(now, b); err != nil {
			return nil, err
		}
		f := s.Stats()
		// A second of the hour takes some milliseconds here: a snapshot that falls due gets its part of that second.
		for waited := 0; float64(f.DiskBytes) > 1.8*float64(f.LiveBytes)+256<<10 && waited < 5000; waited++ {
			time.Sleep(200 * time.Microsecond)
			f = s.Stats()
		}
		if now > keptMS {
			peak = max(peak, float64(f.DiskBytes)/float64(f.LiveBytes))
		}
	}
	f := s.Stats()
	return []Figure{{"store.bytes_for_a_live_byte_after_an_hour", float64(f.DiskBytes) / float64(f.LiveBytes), "x", "<=", 2},
		{"store.bytes_for_a_live_byte_between_snapshots", peak, "x", "<=", 2}, {"store.snapshots_in_an_hour", float64(f.Snapshots), "", ">=", 1}}, nil
}
