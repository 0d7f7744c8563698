package netconn

import "sync/atomic"

// ByteBudget bounds the bytes that all connections together hold. It is safe for concurrent use.
type ByteBudget struct {
	max      int64
	reserved atomic.Int64
}

// NewByteBudget returns a budget of so many bytes.
func NewByteBudget(bytes int64) *ByteBudget { return &ByteBudget{max: bytes} }

// Reserve reserves n bytes and returns whether they fit; where they don't, they are not reserved.
func (b *ByteBudget) Reserve(n int) bool {
	if b.reserved.Add(int64(n)) > b.max {
		b.reserved.Add(int64(-n))
		return false
	}
	return true
}

// Held returns how many bytes are reserved.
func (b *ByteBudget) Held() int64 { return b.reserved.Load() }

// Free gives n bytes back. A negative n reserves bytes past the budget.
func (b *ByteBudget) Free(n int) { b.reserved.Add(int64(-n)) }
