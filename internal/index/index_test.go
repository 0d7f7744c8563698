package index

import (
	"encoding/binary"
	"flag"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// The same cases are drawn in every run, and no files are left behind, unless the command line says otherwise.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}

// key spreads few numbers over few homes, so that chains of colliding keys come up and are cut.
func key(n int) (k Key) {
	binary.LittleEndian.PutUint64(k[:8], uint64(n%5))
	binary.LittleEndian.PutUint64(k[8:], uint64(n))
	return k
}

// TestTable_MatchesAMap: whatever is put, deleted and expires, the table holds what a plain map holds, and each entry expires in its time.
func TestTable_MatchesAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table[int]
		plain := map[Key][2]int64{}
		now := int64(rapid.IntRange(0, 1<<41).Draw(t, "start"))
		table.Expire(now, nil)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			k := key(rapid.IntRange(0, 40).Draw(t, "key"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				at := int64(0)
				if rapid.Bool().Draw(t, "expires") {
					at = now + int64(rapid.SampledFrom([]int{1, 100, 9000, 600_000, 1 << 34, 1 << 40}).Draw(t, "span"))
				}
				v, added := table.Put(k, at)
				_, there := plain[k]
				assert.Equal(t, !there, added)
				*v++
				plain[k] = [2]int64{at, plain[k][1] + 1}
			case 2:
				_, there := plain[k]
				assert.Equal(t, there, table.Delete(k))
				delete(plain, k)
			case 3:
				now += int64(rapid.SampledFrom([]int{1, 128, 5000, 700_000, 1 << 35}).Draw(t, "later"))
				table.Expire(now, func(k Key, v *int) {
					assert.LessOrEqual(t, plain[k][0], now, "nothing expires early")
					assert.Equal(t, plain[k][1], int64(*v))
					delete(plain, k)
				})
				for _, e := range plain {
					assert.True(t, e[0] == 0 || e[0] > now-2*tickMS, "nothing stays two ticks past its time")
				}
			}
			assert.Equal(t, len(plain), table.Len())
			for k, e := range plain {
				if v := table.Get(k); assert.NotNil(t, v) {
					assert.Equal(t, e[1], int64(*v))
				}
			}
		}
		n := 0
		for p := range table.Places() {
			if k, at, v := table.Next(p); v != nil {
				n++
				assert.Equal(t, plain[k], [2]int64{at, int64(*v)})
			}
		}
		assert.Equal(t, len(plain), n)
	})
}

// TestTable_ReusesPlacesWithoutAllocating: a steady load of entries that expire allocates nothing once the pages are there.
func TestTable_ReusesPlacesWithoutAllocating(t *testing.T) {
	var table Table[int]
	now := int64(1 << 40)
	table.Expire(now, nil)
	step := func(n int) {
		for k := range 500 {
			table.Put(key(n*500+k), now+1000)
		}
		now += 500
		table.Expire(now, nil)
	}
	for n := range 20 {
		step(n)
	}
	places, n := table.Places(), 20
	assert.Zero(t, testing.AllocsPerRun(20, func() { step(n); n++ }))
	assert.Equal(t, places, table.Places())
	assert.True(t, slices.Contains([]int{1000, 1500}, table.Len()), "those of the last second and a tick")
}
