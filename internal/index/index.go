// Package index keeps fixed-size entries under 16-byte keys, each with a time at which it expires: a slab in pages, an open-addressed
// hash table of places in the slab, and a hierarchical timing wheel. It allocates nothing but pages, and a larger hash table when
// that grows. It does not know what the entries mean and has no clock.
package index

import "encoding/binary"

// Key names an entry. Its first eight bytes must be spread evenly, as those of a hash are.
type Key [16]byte

const (
	pageBits = 10 // entries of a page: 1024, so that growing never copies an entry
	minSlots = 64 // of the hash table
)

type entry[V any] struct {
	key        Key
	expires    int64  // ms; 0: never
	next, prev uint32 // place + 1 in the list of the wheel slot; of a free entry: the next free place + 1
	wheelSlot  uint16 // or slotFree, slotNone
	value      V
}

const (
	slotFree = 1<<16 - 1 // the entry is free
	slotNone = 1<<16 - 2 // the entry is on no wheel
)

// Table is the index. Its zero value is empty and ready. It is not safe for concurrent use.
type Table[V any] struct {
	slots      []uint32 // place + 1; 0: empty
	pages      [][]entry[V]
	placesUsed uint32 // places ever used
	firstFree  uint32 // place + 1; 0: none
	count      int
	tick       int64                            // up to which entries have expired
	wheels     [wheelLevels << wheelBits]uint32 // place + 1 of the first entry
}

// Len returns the number of entries.
func (t *Table[V]) Len() int { return t.count }

// Places returns the number of places that Next may name.
func (t *Table[V]) Places() uint32 { return t.placesUsed }

// Next returns the entry at a place; its value is nil if there is none. An entry keeps its place, so that all can be gone through in
// steps while others come and go.
func (t *Table[V]) Next(place uint32) (k Key, expires int64, v *V) {
	if e := t.entry(place); e.wheelSlot != slotFree {
		return e.key, e.expires, &e.value
	}
	return k, 0, nil
}

// Get returns the value under a key, or nil. It may be changed until the entry is gone.
func (t *Table[V]) Get(k Key) *V {
	if t.count == 0 {
		return nil
	}
	if slot, ok := t.find(&k); ok {
		return &t.entry(t.slots[slot] - 1).value
	}
	return nil
}

// Put returns the value under a key, a zero one if the entry is new, and sets when it expires in ms; 0: never.
func (t *Table[V]) Put(k Key, expires int64) (v *V, added bool) {
	if (t.count+1)*4 > len(t.slots)*3 {
		t.grow()
	}
	slot, found := t.find(&k)
	if found {
		place := t.slots[slot] - 1
		e := t.entry(place)
		if e.expires != expires {
			t.unlink(place)
			e.expires = expires
			t.link(place)
		}
		return &e.value, false
	}
	place := t.takePlace()
	t.count++
	t.slots[slot] = place + 1
	e := t.entry(place)
	*e = entry[V]{key: k, expires: expires}
	t.link(place)
	return &e.value, true
}

// Delete removes the entry under a key and tells whether there was one.
func (t *Table[V]) Delete(k Key) bool {
	if t.count == 0 {
		return false
	}
	slot, ok := t.find(&k)
	if ok {
		t.remove(slot)
	}
	return ok
}

func (t *Table[V]) entry(place uint32) *entry[V] {
	return &t.pages[place>>pageBits][place&(1<<pageBits-1)]
}

// takePlace returns a free place, on a new page where there is none.
func (t *Table[V]) takePlace() uint32 {
	if t.firstFree != 0 {
		place := t.firstFree - 1
		t.firstFree = t.entry(place).next
		return place
	}
	place := t.placesUsed
	t.placesUsed++
	if place>>pageBits >= uint32(len(t.pages)) {
		t.pages = append(t.pages, make([]entry[V], 1<<pageBits))
	}
	return place
}

// homeSlot returns the hash of a key; under the mask of the table it is the slot where the key is looked for first.
func homeSlot(k *Key) uint32 {
	h := binary.LittleEndian.Uint64(k[:8]) * 0x9E3779B97F4A7C15
	return uint32(h >> 32)
}

// find returns the slot of a key, or the empty one where it would stand.
func (t *Table[V]) find(k *Key) (slot uint32, found bool) {
	mask := uint32(len(t.slots) - 1)
	for slot = homeSlot(k) & mask; ; slot = (slot + 1) & mask {
		p := t.slots[slot]
		if p == 0 {
			return slot, false
		}
		if t.entry(p-1).key == *k {
			return slot, true
		}
	}
}

func (t *Table[V]) grow() {
	t.slots = make([]uint32, max(minSlots, 2*len(t.slots)))
	for place := range t.placesUsed {
		if e := t.entry(place); e.wheelSlot != slotFree {
			slot, _ := t.find(&e.key)
			t.slots[slot] = place + 1
		}
	}
}

// remove frees the entry at a slot and closes the gap, so that the entries behind it are found from their home slots.
func (t *Table[V]) remove(slot uint32) {
	place, mask := t.slots[slot]-1, uint32(len(t.slots)-1)
	t.unlink(place)
	*t.entry(place) = entry[V]{wheelSlot: slotFree, next: t.firstFree}
	t.firstFree = place + 1
	t.count--
	for hole := slot; ; {
		slot = (slot + 1) & mask
		p := t.slots[slot]
		if p == 0 {
			t.slots[hole] = 0
			return
		}
		home := homeSlot(&t.entry(p-1).key) & mask
		if (slot-home)&mask >= (slot-hole)&mask {
			t.slots[hole] = p
			hole = slot
		}
	}
}
