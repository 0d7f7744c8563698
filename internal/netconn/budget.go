package netconn

import "sync/atomic"

// ByteBudget limits the bytes that all connections together buffer. It is safe for concurrent use.
type ByteBudget struct {
	limit    int64
	reserved atomic.Int64
}

// NewByteBudget returns a budget with a limit in bytes.
func NewByteBudget(limit int64) *ByteBudget { return &ByteBudget{limit: limit} }

// Reserve reserves n bytes if they fit into the budget, and returns whether they do.
func (b *ByteBudget) Reserve(n int) bool {
	if b.reserved.Add(int64(n)) > b.limit {
		b.reserved.Add(int64(-n))
		return false
	}
	return true
}

// Reserved returns the number of reserved bytes.
func (b *ByteBudget) Reserved() int64 { return b.reserved.Load() }

// Free returns n reserved bytes to the budget. A negative n reserves -n bytes even if they exceed the limit.
func (b *ByteBudget) Free(n int) { b.reserved.Add(int64(-n)) }
