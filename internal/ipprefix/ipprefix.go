// Package ipprefix finds the longest address prefix that contains an address. It uses a path-compressed binary trie and
// supports IPv4 and IPv6.
package ipprefix

import (
	"math/bits"
	"net/netip"
)

// Table maps address prefixes to values. The zero value is an empty table.
type Table[V any] struct {
	roots [2]*node[V] // IPv4, IPv6
	count int
}

// node represents the prefix of the first length bits of key. Its children differ in the next bit.
type node[V any] struct {
	key      [16]byte
	length   int
	hasValue bool // false: the node only branches
	value    V
	children [2]*node[V]
}

// Len returns the number of prefixes.
func (t *Table[V]) Len() int { return t.count }

func bitAt(key *[16]byte, index int) int { return int(key[index/8]>>(7-index%8)) & 1 }

// commonBits returns the length of the common prefix of two keys, at most limit.
func commonBits(a, b *[16]byte, limit int) int {
	for i := range a {
		if diff := a[i] ^ b[i]; diff != 0 {
			return min(limit, 8*i+bits.LeadingZeros8(diff))
		}
		if 8*(i+1) >= limit {
			break
		}
	}
	return limit
}

// rootAndKey returns the index of the root for an address, and the bits of the address.
func rootAndKey(addr netip.Addr) (root int, key [16]byte) {
	addr = addr.Unmap()
	if addr.Is4() {
		b := addr.As4()
		copy(key[:], b[:])
		return 0, key
	}
	return 1, addr.As16()
}

// Put sets the value of a prefix.
func (t *Table[V]) Put(prefix netip.Prefix, value V) {
	prefix = prefix.Masked()
	root, key := rootAndKey(prefix.Addr())
	length := prefix.Bits()
	if prefix.Addr().Is4In6() {
		length -= 96
	}
	link := &t.roots[root]
	for {
		current := *link
		if current == nil {
			*link = &node[V]{key: key, length: length, hasValue: true, value: value}
			t.count++
			return
		}
		common := commonBits(&key, &current.key, min(length, current.length))
		switch {
		case common == current.length && common == length:
			if !current.hasValue {
				t.count++
			}
			current.hasValue, current.value = true, value
			return
		case common == current.length:
			link = &current.children[bitAt(&key, common)]
		default:
			*link = split(current, common, &node[V]{key: key, length: length, hasValue: true, value: value})
			t.count++
			return
		}
	}
}

// split returns the parent of an existing and an added node that share their first common bits. The parent is the added
// node itself if it is no longer than that, and a node without a value otherwise.
func split[V any](existing *node[V], common int, added *node[V]) *node[V] {
	parent := added
	if common < added.length {
		parent = &node[V]{key: added.key, length: common}
		parent.children[bitAt(&added.key, common)] = added
	}
	parent.children[bitAt(&existing.key, common)] = existing
	return parent
}

// Get returns the value of the longest prefix that contains an address. Ok is false if no prefix does.
func (t *Table[V]) Get(addr netip.Addr) (value V, ok bool) {
	if !addr.IsValid() {
		return value, false
	}
	root, key := rootAndKey(addr)
	width := 32 + 96*root
	current := t.roots[root]
	for current != nil && commonBits(&key, &current.key, current.length) == current.length {
		if current.hasValue {
			value, ok = current.value, true
		}
		if current.length == width {
			break
		}
		current = current.children[bitAt(&key, current.length)]
	}
	return value, ok
}
