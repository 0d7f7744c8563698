package handoff

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A member can read a reply that maps a request's id to its idempotency key. Clocks count ms since 1970, so that a time
// of 0 in such a reply is far out of range.
func TestReadBatch_AcceptsIDMapping(t *testing.T) {
	const now = 1.8e12
	stored := &storedCopy{idMapping: true}
	stored.RequestData = RequestData{ID: "request", IdempotencyKey: "key"}
	stored.Deadline = now + 1000
	reply := &Batch{From: Member{"c1", 1}, Version: 1, Items: []Item{describe(stored)}}

	received, err := ReadBatch(reply.Append(nil, now), now)

	require.NoError(t, err)
	require.Len(t, received.Items, 1)
	require.NotNil(t, received.Items[0].Copy)
	assert.Equal(t, "key", received.Items[0].Copy.IdempotencyKey)
	assert.Equal(t, Unknown, received.Items[0].Copy.Outcome)
}
