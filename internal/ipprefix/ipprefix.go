// Package ipprefix finds the longest address prefix that contains an address: a path-compressed binary trie, for IPv4 and IPv6. It does
// not know what a prefix stands for.
package ipprefix

import (
	"math/bits"
	"net/netip"
)

// Table holds a value for each of some prefixes. Its zero value is empty and ready.
type Table[V any] struct {
	roots [2]*node[V] // IPv4, IPv6
	count int
}

// node stands for the first bits of key. Its children differ in the next bit.
type node[V any] struct {
	key      [16]byte
	bits     int
	set      bool
	value    V
	children [2]*node[V]
}

// Len returns the number of prefixes.
func (t *Table[V]) Len() int { return t.count }

func bit(key *[16]byte, at int) int { return int(key[at/8]>>(7-at%8)) & 1 }

// commonBits returns how many of the first limit bits two keys share.
func commonBits(a, b *[16]byte, limit int) int {
	for i := range a {
		if d := a[i] ^ b[i]; d != 0 {
			return min(limit, 8*i+bits.LeadingZeros8(d))
		}
		if 8*(i+1) >= limit {
			break
		}
	}
	return limit
}

// rootAndKey returns the index of an address's root, and its bits.
func rootAndKey(a netip.Addr) (root int, key [16]byte) {
	a = a.Unmap()
	if a.Is4() {
		b := a.As4()
		copy(key[:], b[:])
		return 0, key
	}
	return 1, a.As16()
}

// Put sets the value of a prefix.
func (t *Table[V]) Put(p netip.Prefix, v V) {
	p = p.Masked()
	root, key := rootAndKey(p.Addr())
	length := p.Bits()
	if p.Addr().Is4In6() {
		length -= 96
	}
	at := &t.roots[root]
	for {
		n := *at
		if n == nil {
			*at = &node[V]{key: key, bits: length, set: true, value: v}
			t.count++
			return
		}
		common := commonBits(&key, &n.key, min(length, n.bits))
		switch {
		case common == n.bits && common == length:
			if !n.set {
				t.count++
			}
			n.set, n.value = true, v
			return
		case common == n.bits:
			at = &n.children[bit(&key, common)]
		default:
			*at = split(n, common, &node[V]{key: key, bits: length, set: true, value: v})
			t.count++
			return
		}
	}
}

// split returns the parent of a node and a new one that shares only its first common bits; the new one itself where it has no more.
func split[V any](n *node[V], common int, added *node[V]) *node[V] {
	parent := added
	if common < added.bits {
		parent = &node[V]{key: added.key, bits: common}
		parent.children[bit(&added.key, common)] = added
	}
	parent.children[bit(&n.key, common)] = n
	return parent
}

// Get returns the value of the longest prefix that contains an address.
func (t *Table[V]) Get(a netip.Addr) (v V, ok bool) {
	if !a.IsValid() {
		return v, false
	}
	root, key := rootAndKey(a)
	width := 32 + 96*root
	n := t.roots[root]
	for n != nil && commonBits(&key, &n.key, n.bits) == n.bits {
		if n.set {
			v, ok = n.value, true
		}
		if n.bits == width {
			break
		}
		n = n.children[bit(&key, n.bits)]
	}
	return v, ok
}
