package benchmark

import (
	"container/heap"
	"fmt"
	"runtime"
	"testing"

	"liftshift/internal/index"
)

// expiry is when a key of a plainIndex expires.
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

// plainIndex is the structure that the index is compared with: a map, and a heap of times.
type plainIndex struct {
	values   map[string]indexValue
	expiries expiryHeap
}

func (p *plainIndex) put(k string, v indexValue, at int64) {
	p.values[k] = v
	heap.Push(&p.expiries, expiry{at, k})
}

func (p *plainIndex) expire(now int64) {
	for len(p.expiries) > 0 && p.expiries[0].at <= now {
		delete(p.values, heap.Pop(&p.expiries).(expiry).key)
	}
}

// measureIndex compares the index with a plain map and a heap of times, at a million keys.
func measureIndex(string) ([]Figure, error) {
	const n = 1_000_000
	texts := make([]string, n)
	for k := range texts {
		texts[k] = fmt.Sprintf("%032x", uint64(k)*0x9E3779B97F4A7C15)
	}
	fill := func(t *index.Table[indexValue]) {
		for k := range n {
			v, _ := t.Put(keyNumber(uint64(k)), int64(k))
			*v = indexValue{uint32(k), 0, 0}
		}
	}
	fillPlain := func(p *plainIndex) {
		for k := range n { // each keeps a text of its own, as a message's would be
			p.put(string(append([]byte(nil), texts[k]...)), indexValue{uint32(k), 0, 0}, int64(k))
		}
	}
	ours, kept := heapBytes(func() any { t := &index.Table[indexValue]{}; fill(t); return t })
	runtime.KeepAlive(kept)
	plain, kept := heapBytes(func() any { p := &plainIndex{values: map[string]indexValue{}}; fillPlain(p); return p })
	runtime.KeepAlive(kept)
	kept = nil
	runtime.GC()
	m := compareMedians(
		func() float64 {
			t := &index.Table[indexValue]{}
			return elapsedSeconds(func() { fill(t); t.Expire(n+1000, nil) })
		},
		func() float64 {
			p := &plainIndex{values: map[string]indexValue{}}
			return elapsedSeconds(func() { fillPlain(p); p.expire(n + 1000) })
		})
	t := &index.Table[indexValue]{}
	fill(t)
	at := int64(n)
	allocs := testing.AllocsPerRun(1000, func() {
		at++
		t.Put(keyNumber(uint64(at)), at)
		t.Get(keyNumber(uint64(at - 5)))
		t.Expire(at-n, nil)
	})
	return []Figure{{"index.bytes_a_mark", ours / n, "B", "<=", 100}, {"index.memory_against_map_and_heap", ours / plain, "x", "<=", 1},
		{"index.ns_a_mark", m[0] / n * 1e9, "ns", "<=", 1000}, {"index.time_against_map_and_heap", m[0] / m[1], "x", "<=", 1},
		{"index.allocations_a_mark", allocs, "", "==", 0}}, nil
}
