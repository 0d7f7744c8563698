package benchmark

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
	"time"

	"liftshift/internal/index"
	"liftshift/internal/ledger"
	"liftshift/internal/store"
	"liftshift/internal/vfs"
	"liftshift/scheduler"
)

// Store measures the store, the index and the ledger in a folder. Dir is the file system that is measured.
func Store(dir string, programs string) ([]Figure, error) {
	var all []Figure
	for k, part := range []func(string) ([]Figure, error){groupCommit, recovery, churn, marks, ledgerPath,
		func(dir string) ([]Figure, error) { return holds(dir, programs) }} {
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

func key(n uint64) (k store.Key) {
	binary.LittleEndian.PutUint64(k[:8], n*0x9E3779B97F4A7C15)
	binary.LittleEndian.PutUint64(k[8:], n)
	return k
}

const recordBytes = 120 // as a mark's record has

// plainLog is the structure compared with: each writer's record is written and synced by itself.
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

// rate lets writers write for a time and gives records a second.
func rate(writers int, write func(n uint64) error) (float64, error) {
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

// groupCommit compares shared syncs with a sync for each record.
func groupCommit(dir string) (all []Figure, err error) {
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
		m := sides(
			func() float64 {
				return note(rate(writers, func(n uint64) error {
					b := &store.Batch{}
					b.Put(key(n%5000), 0, value)
					return s.Write(0, b)
				}))
			},
			func() float64 { return note(rate(writers, func(uint64) error { return plain.write(value) })) })
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

// unsynced is a folder whose syncs do nothing: for filling it fast.
type unsynced struct{ vfs.Dir }

type unsyncedFile struct{ vfs.File }

// Sync does nothing.
func (unsyncedFile) Sync() error { return nil }

// SyncDir does nothing.
func (unsynced) SyncDir() error { return nil }

// Create makes a file whose syncs do nothing.
func (u unsynced) Create(name string) (vfs.File, error) {
	f, err := u.Dir.Create(name)
	if err != nil {
		return nil, err
	}
	return unsyncedFile{f}, nil
}

// recovery measures how long a store of so many records takes to open.
func recovery(dir string) (all []Figure, err error) {
	var took []float64
	sizes := []int{1e4, 1e5, 1e6}
	for _, n := range sizes {
		at := filepath.Join(dir, fmt.Sprint(n))
		real, err := vfs.OpenDir(at, true)
		if err != nil {
			return nil, err
		}
		s, _, err := store.Open(unsynced{real}, store.Options{SnapshotRatio: 100}, nil)
		if err != nil {
			return nil, err
		}
		value := make([]byte, recordBytes)
		b := &store.Batch{}
		for k := 0; k < n; {
			b.Reset()
			for range 100 {
				b.Put(key(uint64(k)), 0, value)
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
		m := sides(func() float64 {
			return seconds(func() {
				read := 0
				s, _, err := store.Open(unsynced{real}, store.Options{SnapshotRatio: 100}, func(store.Key, int64, []byte) { read++ })
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

// churn plays an hour of marks, each with its records, through the ledger's own expiry, and looks at the disk.
func churn(dir string) ([]Figure, error) {
	real, err := vfs.OpenDir(dir, true)
	if err != nil {
		return nil, err
	}
	s, _, err := store.Open(unsynced{real}, store.Options{}, nil)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	const aSecond, keptMS = 100, 620_000
	value, b, peak := make([]byte, recordBytes), &store.Batch{}, 0.0
	for now := int64(0); now < 3600_000; now += 1000 {
		b.Reset()
		for n := range aSecond { // a search and its mark, then both again with the outcome
			k := uint64(now)*1000 + uint64(n)
			for range 2 {
				b.Put(key(k), now+keptMS, value)
				b.Put(key(k+1e12), now+keptMS, value)
			}
		}
		if err := s.Write(now, b); err != nil {
			return nil, err
		}
		f := s.Stats()
		// A second of the hour is some ms here: a snapshot that falls due gets its part of that second.
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

// lapse and lapses are the plain structure that the index is compared with: a map, and a heap of times.
type lapse struct {
	at int64
	k  string
}
type lapses []lapse

// Len, Less, Swap, Push and Pop make a heap of it.
func (h lapses) Len() int           { return len(h) }
func (h lapses) Less(a, b int) bool { return h[a].at < h[b].at }
func (h lapses) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

// Push adds one.
func (h *lapses) Push(x any) { *h = append(*h, x.(lapse)) }

// Pop takes out the last.
func (h *lapses) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type value struct{ a, b, c uint32 }

type plainIndex struct {
	m map[string]value
	h lapses
}

func (p *plainIndex) put(k string, v value, at int64) {
	p.m[k] = v
	heap.Push(&p.h, lapse{at, k})
}

func (p *plainIndex) expire(now int64) {
	for len(p.h) > 0 && p.h[0].at <= now {
		delete(p.m, heap.Pop(&p.h).(lapse).k)
	}
}

// marks compares the index with a plain map and a heap of times, at a million marks.
func marks(string) ([]Figure, error) {
	const n = 1_000_000
	texts := make([]string, n)
	for k := range texts {
		texts[k] = fmt.Sprintf("%032x", uint64(k)*0x9E3779B97F4A7C15)
	}
	fill := func(t *index.Table[value]) {
		for k := range n {
			v, _ := t.Put(key(uint64(k)), int64(k))
			*v = value{uint32(k), 0, 0}
		}
	}
	fillPlain := func(p *plainIndex) {
		for k := range n { // each keeps a text of its own, as a message's would be
			p.put(string(append([]byte(nil), texts[k]...)), value{uint32(k), 0, 0}, int64(k))
		}
	}
	ours, kept := heapBytes(func() any { t := &index.Table[value]{}; fill(t); return t })
	runtime.KeepAlive(kept)
	plain, kept := heapBytes(func() any { p := &plainIndex{m: map[string]value{}}; fillPlain(p); return p })
	runtime.KeepAlive(kept)
	kept = nil
	runtime.GC()
	m := sides(
		func() float64 {
			t := &index.Table[value]{}
			return seconds(func() { fill(t); t.Expire(n+1000, nil) })
		},
		func() float64 {
			p := &plainIndex{m: map[string]value{}}
			return seconds(func() { fillPlain(p); p.expire(n + 1000) })
		})
	t := &index.Table[value]{}
	fill(t)
	at := int64(n)
	allocs := testing.AllocsPerRun(1000, func() {
		at++
		t.Put(key(uint64(at)), at)
		t.Get(key(uint64(at - 5)))
		t.Expire(at-n, nil)
	})
	return []Figure{{"index.bytes_a_mark", ours / n, "B", "<=", 100}, {"index.memory_against_map_and_heap", ours / plain, "x", "<=", 1},
		{"index.ns_a_mark", m[0] / n * 1e9, "ns", "<=", 1000}, {"index.time_against_map_and_heap", m[0] / m[1], "x", "<=", 1},
		{"index.allocations_a_mark", allocs, "", "==", 0}}, nil
}

// ledgerPath measures what a lookup costs the desk's goroutine in the ledger.
func ledgerPath(string) ([]Figure, error) {
	g := ledger.DefaultSettings()
	g.Classes = []scheduler.RequestClass{{Name: "look", Effect: scheduler.Idempotent, DeadlineMS: 5000}}
	g.RetryBudget.WindowMS = 10000
	l := ledger.New(g)
	l.Step(0, &ledger.Event{Kind: ledger.RecoveryDone})
	now, ids := 0.0, make([]string, 200_000)
	for k := range ids {
		ids[k] = fmt.Sprintf("%016x", k)
	}
	n := 0
	one := func() {
		now++
		id := ids[n%len(ids)]
		n++
		l.Step(now, &ledger.Event{Kind: ledger.RequestReceived, ID: id, Class: "look", Deadline: now + 5000})
		l.Step(now, &ledger.Event{Kind: ledger.AttemptStarting, ID: id, Executor: 1})
		l.Step(now, &ledger.Event{Kind: ledger.AttemptEnded, ID: id})
		l.Step(now, &ledger.Event{Kind: ledger.RequestClosed, ID: id, Outcome: ledger.Succeeded})
		if n%100 == 0 {
			l.Step(now, &ledger.Event{Kind: ledger.Ticked})
		}
	}
	for range 20_000 {
		one()
	}
	allocs := testing.AllocsPerRun(20_000, one)
	m := sides(func() float64 {
		return seconds(func() {
			for range 50_000 {
				one()
			}
		}) / 50_000
	})
	return []Figure{{"ledger.allocations_a_lookup", allocs, "", "==", 0}, {"ledger.us_a_lookup", m[0] * 1e6, "us", "<=", 10}}, nil
}
