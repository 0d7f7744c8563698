package ipprefix

import (
	"flag"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// A fixed seed makes the runs reproducible. Flags on the command line override both settings.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}

// TestTable_FindsTheLongestPrefix compares Get with a linear search over all prefixes.
func TestTable_FindsTheLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		address := func(name string) netip.Addr {
			b := rapid.SliceOfN(rapid.SampledFrom([]byte{0, 1, 128, 255}), 16, 16).Draw(t, name)
			if rapid.Bool().Draw(t, "IPv4") {
				return netip.AddrFrom4([4]byte(b[:4]))
			}
			return netip.AddrFrom16([16]byte(b))
		}
		var table Table[int]
		values := map[netip.Prefix]int{}
		for n := range rapid.IntRange(0, 30).Draw(t, "prefixes") {
			addr := address("prefix")
			prefix := netip.PrefixFrom(addr, rapid.IntRange(0, addr.BitLen()).Draw(t, "bits")).Masked()
			table.Put(prefix, n)
			values[prefix] = n
		}
		assert.Equal(t, len(values), table.Len())
		for range 20 {
			addr, longest, want := address("address"), -1, 0
			for prefix, value := range values {
				if prefix.Contains(addr) && prefix.Bits() > longest {
					longest, want = prefix.Bits(), value
				}
			}
			got, ok := table.Get(addr)
			assert.Equal(t, longest >= 0, ok, "address %v", addr)
			if ok {
				assert.Equal(t, want, got, "address %v", addr)
			}
		}
	})
	var table Table[string]
	table.Put(netip.MustParsePrefix("10.0.0.0/8"), "x")
	got, ok := table.Get(netip.MustParseAddr("::ffff:10.1.2.3"))
	assert.Equal(t, []any{"x", true}, []any{got, ok})
	_, ok = table.Get(netip.Addr{})
	assert.False(t, ok)
}
