package service

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against open requests that take more than their share of the memory, whatever the platform allows.
func TestMaxOpenRequests(t *testing.T) {
	for _, test := range []struct {
		platformLimit int
		memoryMB      float64
		want          int
	}{
		{20000, 48, 2013},
		{0, 48, 2013},
		{500, 48, 500},
		{20000, 1024, 20000},
	} {
		limit := maxOpenRequests(test.platformLimit, test.memoryMB)
		assert.Equal(t, test.want, limit, "platform %d, %v MB", test.platformLimit, test.memoryMB)
		used := float64(limit) * openRequestBytes
		assert.LessOrEqual(t, used, test.memoryMB*(1<<20)*openRequestShare, "bytes of %d open requests", limit)
	}
}
