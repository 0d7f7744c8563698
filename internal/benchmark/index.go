package benchmark

import (
	"container/heap"
	"fmt"
	"runtime"
	"testing"

	"liftshift/internal/index"
)

// expiry is the expiry time of a key in a plainIndex.
type expiry struct {
	at  int64
	key string
}

type expiryHeap []expiry

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(a, b int) bool { return h[a].at < h[b].at }

func (h expiryHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiry)) }

func (h *expiryHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type indexValue struct{ a, b, c uint32 }

// plainIndex is the baseline of the index: a map of values and a heap of expiry times.
type plainIndex struct {
	values   map[string]indexValue
	expiries expiryHeap
}

func (p *plainIndex) put(key string, value indexValue, expiresAt int64) {
	p.values[key] = value
	heap.Push(&p.expiries, expiry{expiresAt, key})
}

func (p *plainIndex) expire(now int64) {
	for len(p.expiries) > 0 && p.expiries[0].at <= now {
		delete(p.values, heap.Pop(&p.expiries).(expiry).key)
	}
}

// measureIndex compares the index with a plainIndex, at a million keys.
func measureIndex(string) ([]Figure, error) {
	const n = 1_000_000
	texts := make([]string, n)
	for k := range texts {
		texts[k] = fmt.Sprintf("%032x", uint64(k)*keyMultiplier)
	}
	fill := func(table *index.Table[indexValue]) {
		for k := range n {
			value, _ := table.Put(numberedKey(uint64(k)), int64(k))
			*value = indexValue{uint32(k), 0, 0}
		}
	}
	fillPlain := func(p *plainIndex) {
		for k := range n { // each key is a string of its own, as a key that is decoded from a message is
			p.put(string(append([]byte(nil), texts[k]...)), indexValue{uint32(k), 0, 0}, int64(k))
		}
	}
	tableBytes, kept := heapBytes(func() any {
		table := &index.Table[indexValue]{}
		fill(table)
		return table
	})
	runtime.KeepAlive(kept)
	plainBytes, kept := heapBytes(func() any {
		plain := &plainIndex{values: map[string]indexValue{}}
		fillPlain(plain)
		return plain
	})
	runtime.KeepAlive(kept)
	kept = nil
	runtime.GC()
	seconds := compareMedians(
		func() float64 {
			table := &index.Table[indexValue]{}
			return elapsedSeconds(func() {
				fill(table)
				table.Expire(n+1000, nil)
			})
		},
		func() float64 {
			plain := &plainIndex{values: map[string]indexValue{}}
			return elapsedSeconds(func() {
				fillPlain(plain)
				plain.expire(n + 1000)
			})
		})
	table := &index.Table[indexValue]{}
	fill(table)
	allocations := indexAllocations(table, n)
	return []Figure{
		{"index.bytes_a_mark", tableBytes / n, "B", "<=", 100},
		{"index.memory_against_map_and_heap", tableBytes / plainBytes, "x", "<=", 1},
		{"index.ns_a_mark", seconds[0] / n * 1e9, "ns", "<=", 1000},
		{"index.time_against_map_and_heap", seconds[0] / seconds[1], "x", "<=", 1},
		{"index.allocations_a_mark", allocations, "", "==", 0},
	}, nil
}

// indexAllocations returns the number of allocations when a key is added to, found in and removed from a filled table.
func indexAllocations(table *index.Table[indexValue], n int64) float64 {
	at := n
	return testing.AllocsPerRun(1000, func() {
		at++
		table.Put(numberedKey(uint64(at)), at)
		table.Get(numberedKey(uint64(at - 5)))
		table.Expire(at-n, nil)
	})
}
