package index

import (
	"encoding/binary"
	"flag"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Makes rapid draw the same cases in every run and write no failure files. Flags on the command line take precedence.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}

// collidingKey returns a key for a number. All numbers share five home slots, so that keys collide.
func collidingKey(n int) (key Key) {
	binary.LittleEndian.PutUint64(key[:8], uint64(n%5))
	binary.LittleEndian.PutUint64(key[8:], uint64(n))
	return key
}

// expectedEntry is an entry of the map that a table is compared with.
type expectedEntry struct{ expires, value int64 }

// TestTable_MatchesAMap checks that a table holds the same entries as a map after random insertions, deletions and
// expiries, and that no entry expires early or late.
func TestTable_MatchesAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table[int]
		expected := map[Key]expectedEntry{}
		now := int64(rapid.IntRange(0, 1<<41).Draw(t, "start"))
		table.Expire(now, nil)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			key := collidingKey(rapid.IntRange(0, 40).Draw(t, "key"))
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				expires := int64(0)
				if rapid.Bool().Draw(t, "expires") {
					expires = now + int64(rapid.SampledFrom([]int{1, 100, 9000, 600_000, 1 << 34, 1 << 40}).Draw(t, "lifetime"))
				}
				value, added := table.Put(key, expires)
				_, exists := expected[key]
				assert.Equal(t, !exists, added, "Put reports whether the key was added")
				*value++
				expected[key] = expectedEntry{expires: expires, value: expected[key].value + 1}
			case 2:
				_, exists := expected[key]
				assert.Equal(t, exists, table.Delete(key), "Delete reports whether the key existed")
				delete(expected, key)
			case 3:
				now += int64(rapid.SampledFrom([]int{1, 128, 5000, 700_000, 1 << 35}).Draw(t, "elapsed"))
				table.Expire(now, func(key Key, value *int) {
					assert.LessOrEqual(t, expected[key].expires, now, "an entry expired early")
					assert.Equal(t, expected[key].value, int64(*value), "value of an expired entry")
					delete(expected, key)
				})
				for _, e := range expected {
					assert.True(t, e.expires == 0 || e.expires > now-2*tickMS, "an entry expired two ticks late or more")
				}
			}
			assert.Equal(t, len(expected), table.Len(), "number of entries")
			for key, e := range expected {
				if value := table.Get(key); assert.NotNil(t, value, "Get finds key %x", key) {
					assert.Equal(t, e.value, int64(*value), "value of key %x", key)
				}
			}
		}
		found := 0
		for place := range table.Places() {
			if key, expires, value := table.EntryAt(place); value != nil {
				found++
				assert.Equal(t, expected[key], expectedEntry{expires: expires, value: int64(*value)}, "entry at place %d", place)
			}
		}
		assert.Equal(t, len(expected), found, "number of entries found by place")
	})
}

// TestTable_ReusesPlacesWithoutAllocating checks that a steady stream of expiring entries reuses the places of expired
// entries and allocates no memory.
func TestTable_ReusesPlacesWithoutAllocating(t *testing.T) {
	var table Table[int]
	now := int64(1 << 40)
	table.Expire(now, nil)
	const entriesPerRound = 500
	runRound := func(round int) {
		for i := range entriesPerRound {
			table.Put(collidingKey(round*entriesPerRound+i), now+1000)
		}
		now += 500
		table.Expire(now, nil)
	}
	for round := range 20 {
		runRound(round)
	}
	places, round := table.Places(), 20
	assert.Zero(t, testing.AllocsPerRun(20, func() { runRound(round); round++ }), "allocations per round")
	assert.Equal(t, places, table.Places(), "number of places")
	assert.True(t, slices.Contains([]int{1000, 1500}, table.Len()),
		"%d entries, expected those of the last two or three rounds", table.Len())
}
