package ipprefix

import (
	"flag"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// The same cases are drawn in every run, and no files are left behind, unless the command line says otherwise.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}

// TestTable_FindsTheLongestPrefix compares with going through all prefixes.
func TestTable_FindsTheLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		address := func(name string) netip.Addr {
			b := rapid.SliceOfN(rapid.SampledFrom([]byte{0, 1, 128, 255}), 16, 16).Draw(t, name)
			if rapid.Bool().Draw(t, "four") {
				return netip.AddrFrom4([4]byte(b[:4]))
			}
			return netip.AddrFrom16([16]byte(b))
		}
		var table Table[int]
		plain := map[netip.Prefix]int{}
		for n := range rapid.IntRange(0, 30).Draw(t, "prefixes") {
			a := address("prefix")
			p := netip.PrefixFrom(a, rapid.IntRange(0, a.BitLen()).Draw(t, "bits")).Masked()
			table.Put(p, n)
			plain[p] = n
		}
		assert.Equal(t, len(plain), table.Len())
		for range 20 {
			a, best, want := address("address"), -1, 0
			for p, v := range plain {
				if p.Contains(a) && p.Bits() > best {
					best, want = p.Bits(), v
				}
			}
			v, ok := table.Get(a)
			assert.Equal(t, best >= 0, ok)
			if ok {
				assert.Equal(t, want, v)
			}
		}
	})
	var table Table[string]
	table.Put(netip.MustParsePrefix("10.0.0.0/8"), "x")
	v, ok := table.Get(netip.MustParseAddr("::ffff:10.1.2.3"))
	assert.Equal(t, []any{"x", true}, []any{v, ok})
	_, ok = table.Get(netip.Addr{})
	assert.False(t, ok)
}
