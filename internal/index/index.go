// Package index implements a hash table of fixed-size entries with 16-byte keys and expiry times.
//
// The entries lie in a slab of pages; the index of an entry in the slab is its place. An open-addressed hash table with
// linear probing maps keys to places, and a hierarchical timing wheel finds the entries that have expired. Memory is
// allocated only for a new page and when the hash table grows. The package has no clock: callers pass the time.
package index

import "encoding/binary"

// Key identifies an entry. Its first eight bytes must be uniformly distributed, as in a hash.
type Key [16]byte

const (
	pageBits = 10 // log2 of the entries per page; adding a page copies no entry
	minSlots = 64 // initial size of the hash table

	fibonacciMultiplier = 0x9E3779B97F4A7C15 // 2^64 divided by the golden ratio, for Fibonacci hashing
)

// entry is an element of the slab: a key with its value, or a member of the list of free places.
type entry[V any] struct {
	key        Key
	expires    int64  // in ms; 0 means never
	next, prev uint32 // place + 1 of the neighbours in the list of the wheel slot; next also links free places
	wheelSlot  uint16 // slot of the timing wheel, slotFree or slotNone
	value      V
}

// Values of entry.wheelSlot that are no slots.
const (
	slotFree = 1<<16 - 1 // the place is free
	slotNone = 1<<16 - 2 // the entry is on no wheel
)

// Table is a hash table whose entries expire. Its zero value is an empty table. It is not safe for concurrent use.
type Table[V any] struct {
	slots       []uint32 // hash table: place + 1, or 0 for an empty slot
	pages       [][]entry[V]
	placesUsed  uint32 // number of places that have ever held an entry
	firstFree   uint32 // place + 1 of the first free place; 0 means none
	count       int
	currentTick int64                            // the last tick that Expire has processed
	wheels      [wheelLevels << wheelBits]uint32 // by wheel slot: place + 1 of the first entry of its list
}

// Len returns the number of entries.
func (t *Table[V]) Len() int { return t.count }

// Places returns the number of places that EntryAt accepts: 0 up to, but not including, that number.
func (t *Table[V]) Places() uint32 { return t.placesUsed }

// EntryAt returns the entry at a place. The value is nil if the place is free. An entry keeps its place until it is
// removed, so the table can be iterated in steps while other entries are added and removed.
func (t *Table[V]) EntryAt(place uint32) (key Key, expires int64, value *V) {
	if e := t.entry(place); e.wheelSlot != slotFree {
		return e.key, e.expires, &e.value
	}
	return key, 0, nil
}

// Get returns a pointer to the value of a key, or nil if there is none. The caller may modify the value through the
// pointer, which is valid until the entry is removed.
func (t *Table[V]) Get(key Key) *V {
	if t.count == 0 {
		return nil
	}
	if slot, ok := t.find(&key); ok {
		return &t.entry(t.slots[slot] - 1).value
	}
	return nil
}

// Put returns a pointer to the value of a key and sets the time in ms at which its entry expires; 0 means never. If
// the key was not in the table, Put adds an entry with the zero value and returns true.
func (t *Table[V]) Put(key Key, expires int64) (value *V, added bool) {
	if (t.count+1)*4 > len(t.slots)*3 {
		t.grow()
	}
	slot, found := t.find(&key)
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
	*e = entry[V]{key: key, expires: expires}
	t.link(place)
	return &e.value, true
}

// Delete removes the entry of a key and returns whether there was one.
func (t *Table[V]) Delete(key Key) bool {
	if t.count == 0 {
		return false
	}
	slot, ok := t.find(&key)
	if ok {
		t.remove(slot)
	}
	return ok
}

func (t *Table[V]) entry(place uint32) *entry[V] {
	return &t.pages[place>>pageBits][place&(1<<pageBits-1)]
}

// takePlace returns a free place. It allocates a page if all pages are full.
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

// hash returns the hash of a key. Its low bits are the key's home slot, at which probing begins.
func hash(key *Key) uint32 {
	h := binary.LittleEndian.Uint64(key[:8]) * fibonacciMultiplier
	return uint32(h >> 32)
}

// find returns the slot that holds a key, or the empty slot into which the key has to be inserted.
func (t *Table[V]) find(key *Key) (slot uint32, found bool) {
	mask := uint32(len(t.slots) - 1)
	for slot = hash(key) & mask; ; slot = (slot + 1) & mask {
		occupant := t.slots[slot]
		if occupant == 0 {
			return slot, false
		}
		if t.entry(occupant-1).key == *key {
			return slot, true
		}
	}
}

// grow doubles the hash table and inserts all entries anew.
func (t *Table[V]) grow() {
	t.slots = make([]uint32, max(minSlots, 2*len(t.slots)))
	for place := range t.placesUsed {
		if e := t.entry(place); e.wheelSlot != slotFree {
			slot, _ := t.find(&e.key)
			t.slots[slot] = place + 1
		}
	}
}

// remove frees the entry of a slot. It shifts later entries of the same probe sequence back into the gap, so that
// probing from their home slots still finds them.
func (t *Table[V]) remove(slot uint32) {
	place, mask := t.slots[slot]-1, uint32(len(t.slots)-1)
	t.unlink(place)
	*t.entry(place) = entry[V]{wheelSlot: slotFree, next: t.firstFree}
	t.firstFree = place + 1
	t.count--
	for gap := slot; ; {
		slot = (slot + 1) & mask
		occupant := t.slots[slot]
		if occupant == 0 {
			t.slots[gap] = 0
			return
		}
		home := hash(&t.entry(occupant-1).key) & mask
		if (slot-home)&mask >= (slot-gap)&mask {
			t.slots[gap] = occupant
			gap = slot
		}
	}
}
