// Package ipprefix finds the longest address prefix that holds an address: a binary trie with paths pressed together, for IPv4
// and IPv6. It knows nothing of who stands behind a prefix.
package ipprefix

import (
	"math/bits"
	"net/netip"
)

// Table holds a value for each of some prefixes. Its zero value is empty and ready.
type Table[V any] struct {
	roots [2]*node[V] // IPv4, IPv6
	n     int
}

// node stands for the first length bits of key. Its children differ in the bit behind.
type node[V any] struct {
	key    [16]byte
	length int
	set    bool
	value  V
	kids   [2]*node[V]
}

// Len tells how many prefixes there are.
func (t *Table[V]) Len() int { return t.n }

func bit(key *[16]byte, at int) int { return int(key[at/8]>>(7-at%8)) & 1 }

// shared tells how many of the first most bits two keys share.
func shared(a, b *[16]byte, most int) int {
	for i := range a {
		if d := a[i] ^ b[i]; d != 0 {
			return min(most, 8*i+bits.LeadingZeros8(d))
		}
		if 8*(i+1) >= most {
			break
		}
	}
	return most
}

func family(a netip.Addr) (root int, key [16]byte) {
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
	root, key := family(p.Addr())
	length := p.Bits()
	if p.Addr().Is4In6() {
		length -= 96
	}
	at := &t.roots[root]
	for {
		n := *at
		if n == nil {
			*at = &node[V]{key: key, length: length, set: true, value: v}
			t.n++
			return
		}
		same := shared(&key, &n.key, min(length, n.length))
		switch {
		case same == n.length && same == length:
			if !n.set {
				t.n++
			}
			n.set, n.value = true, v
			return
		case same == n.length:
			at = &n.kids[bit(&key, same)]
		default: // they part within this node's path
			up := &node[V]{key: key, length: same}
			up.kids[bit(&n.key, same)] = n
			*at = up
			if same == length {
				up.set, up.value = true, v
			} else {
				up.kids[bit(&key, same)] = &node[V]{key: key, length: length, set: true, value: v}
			}
			t.n++
			return
		}
	}
}

// Get gives the value of the longest prefix that holds an address.
func (t *Table[V]) Get(a netip.Addr) (v V, ok bool) {
	if !a.IsValid() {
		return v, false
	}
	root, key := family(a)
	width := 32 + 96*root
	for n := t.roots[root]; n != nil && shared(&key, &n.key, n.length) == n.length; {
		if n.set {
			v, ok = n.value, true
		}
		if n.length == width {
			break
		}
		n = n.kids[bit(&key, n.length)]
	}
	return v, ok
}
