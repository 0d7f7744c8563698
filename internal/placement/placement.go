// Package placement decides which members keep the copies of which part of all open work, and who inherits what of a life that is lost.
// It is a table that the council holds: each change of it is an entry that all apply alike. It owns no clock, socket or goroutine,
// and chooses by hash alone, so that the same entries give the same table everywhere.
//
// What it promises: two owners that each have the word of a quorum of a part, in whatever order chairs were filled anew between
// them, share a chair that knows of the one when it is asked by the other, or one of the two has no quorum.
package placement

import (
	"hash/fnv"
	"slices"
)

// Parts is into how many parts all work is cut, by the hash of its key.
const PartitionCount = 32

const (
	mostClaims = 1024 // claims that are kept; those of a life that is all settled go by themselves
	mostCopies = 3
)

// Replica is a place among those that keep a part, and who has it.
type Replica struct {
	Name        string `json:"Name"`
	Incarnation uint64 `json:"Life"`
	Ready       bool   `json:"Ready,omitempty"` // it knows all that those before it knew
}

// Partition is who keeps a part. While Was is there, a word needs a quorum of both.
type Partition struct {
	Current  []Replica `json:"Now,omitempty"`
	Previous []Replica `json:"Was,omitempty"`
}

// AdoptionClaim is what of a lost life's work its heir takes over.
type AdoptionClaim struct {
	Name                 string `json:"Name"` // who is lost
	Incarnation          uint64 `json:"Life"`
	Successor            string `json:"Heir"`
	SuccessorIncarnation uint64 `json:"HeirLife"`
	Partitions           uint32 `json:"Mask"` // parts
}

// Member is a member as the council has it.
type Member struct {
	Name        string `json:"Name"`
	Incarnation uint64 `json:"Life"`
	Lost        bool   `json:"Lost"`
	Zone        string `json:"Zone"`
}

// Table is what is agreed.
type Table struct {
	Version    uint64          `json:"Version,omitempty"` // grows whenever another sits: a word counts in one version alone
	Step       uint64          `json:"Step,omitempty"`    // grows with each change, also of who is lost and of claims
	Copies     int             `json:"Copies,omitempty"`
	Partitions []Partition     `json:"Parts,omitempty"`
	Claims     []AdoptionClaim `json:"Claims,omitempty"`
}

// ReplicaCount is how many chairs a part has for so many copies: any two halves and one more share a chair, and of each such there are so
// many copies besides the owner's.
func ReplicaCount(copies int) int { return 2*copies + 1 }

// Quorum is how many of a number of chairs make a word.
func Quorum(chairs int) int { return chairs/2 + 1 }

// score ranks members for a part; the same everywhere.
func score(part int, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte{byte(part)})
	_, _ = h.Write([]byte(name))
	x := h.Sum64() // its high bits hardly differ for names that end alike
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// index finds places by name.
func index(places []Member) map[string]*Member {
	by := make(map[string]*Member, len(places))
	for k := range places {
		by[places[k].Name] = &places[k]
	}
	return by
}

func (c *Replica) sits(by map[string]*Member) bool {
	p := by[c.Name]
	return p != nil && !p.Lost && p.Incarnation == c.Incarnation
}

// Reassign fills the chairs of those that are lost, where there is somebody for them, and tells whether anything changed. Copies is
// what is wanted; 0: as it is. A chair that nobody can take stays that of the lost one, and is missed in each quorum.
func (t *Table) Reassign(places []Member, copies int) (changed bool) {
	if copies > 0 && copies <= mostCopies && t.Copies != copies {
		t.Copies, changed = copies, true
	}
	if t.Copies == 0 {
		return changed
	}
	by, want := index(places), ReplicaCount(t.Copies)
	living := 0
	for k := range places {
		if !places[k].Lost {
			living++
		}
	}
	if t.Partitions == nil {
		if living < want {
			return changed
		}
		t.Partitions = make([]Partition, PartitionCount)
	}
	seated := false
	for p := range t.Partitions {
		seated = t.reseat(p, places, by, want) || seated
	}
	if seated {
		t.Version++
	}
	changed = changed || seated
	t.Claims = slices.DeleteFunc(t.Claims, func(c AdoptionClaim) bool {
		h := by[c.Successor]
		gone := h == nil || h.Lost || h.Incarnation != c.SuccessorIncarnation // another may claim
		changed = changed || gone
		return gone
	})
	return changed
}

func (t *Table) reseat(n int, places []Member, by map[string]*Member, want int) (changed bool) {
	p := &t.Partitions[n]
	first := len(p.Current) == 0
	next := slices.Clone(p.Current)
	if len(next) > want { // fewer copies are wanted: the holes go first
		slices.SortStableFunc(next, func(a, b Replica) int { return rankOf(!a.sits(by)) - rankOf(!b.sits(by)) })
		next = next[:want]
	}
	for len(next) < want {
		next = append(next, Replica{})
	}
	for k := range next {
		if next[k].sits(by) {
			continue
		}
		if who := fittest(n, places, by, next); who != nil {
			next[k] = Replica{Name: who.Name, Incarnation: who.Incarnation, Ready: first}
		}
	}
	next = slices.DeleteFunc(next, func(c Replica) bool { return c.Name == "" })
	if slices.EqualFunc(next, p.Current, func(a, b Replica) bool { return a.Name == b.Name && a.Incarnation == b.Incarnation }) {
		t.settle(p, by)
		return false
	}
	if !first && p.Previous == nil {
		p.Previous = p.Current
	}
	p.Current = next
	t.settle(p, by)
	return true
}

func rankOf(b bool) int {
	if b {
		return 1
	}
	return 0
}

// fittest gives who takes a free chair: of the zones with the fewest chairs here, the one with the highest rank; nil: nobody.
func fittest(n int, places []Member, by map[string]*Member, chairs []Replica) (best *Member) {
	zones := map[string]int{}
	for k := range chairs {
		if p := by[chairs[k].Name]; p != nil && chairs[k].sits(by) {
			zones[p.Zone]++
		}
	}
	for k := range places {
		p := &places[k]
		if p.Lost || slices.ContainsFunc(chairs, func(c Replica) bool { return c.Name == p.Name && c.sits(by) }) {
			continue
		}
		if best == nil || zones[p.Zone] < zones[best.Zone] ||
			zones[p.Zone] == zones[best.Zone] && score(n, p.Name) > score(n, best.Name) {
			best = p
		}
	}
	return best
}

// settle ends a change once all that sit now know all.
func (t *Table) settle(p *Partition, by map[string]*Member) bool {
	if p.Previous == nil || slices.ContainsFunc(p.Current, func(c Replica) bool { return !c.Ready && c.sits(by) }) {
		return false
	}
	if ready(p.Current, by) < Quorum(len(p.Current)) {
		return false
	}
	p.Previous = nil
	return true
}

func ready(chairs []Replica, by map[string]*Member) (n int) {
	for k := range chairs {
		if chairs[k].Ready && chairs[k].sits(by) {
			n++
		}
	}
	return n
}

// MarkReady has it that a life in a chair of these parts knows all by now. It counts only for the table that it was said of.
func (t *Table) MarkReady(places []Member, name string, life uint64, mask uint32, version uint64) (changed bool) {
	if version > t.Version {
		return false
	}
	by := index(places)
	for n := range t.Partitions {
		if mask&(1<<n) == 0 {
			continue
		}
		p := &t.Partitions[n]
		for k := range p.Current {
			if c := &p.Current[k]; c.Name == name && c.Incarnation == life && !c.Ready {
				c.Ready, changed = true, true
			}
		}
		changed = t.settle(p, by) || changed
	}
	return changed
}

// Reinitialize begins parts anew whose former chairs are lost beyond a quorum, once nobody needs to know any more what they knew.
func (t *Table) Reinitialize(places []Member, mask uint32) (changed bool) {
	by := index(places)
	for n := range t.Partitions {
		p := &t.Partitions[n]
		if mask&(1<<n) == 0 || p.Previous == nil && sitting(p.Current, by) >= Quorum(len(p.Current)) || p.Previous != nil && sitting(p.Previous, by) >= Quorum(len(p.Previous)) {
			continue
		}
		if sitting(p.Current, by) < Quorum(len(p.Current)) {
			continue // there are not enough yet for anything to be known again
		}
		for k := range p.Current {
			p.Current[k].Ready = true
		}
		p.Previous, changed = nil, true
	}
	if changed {
		t.Version++
	}
	return changed
}

func sitting(chairs []Replica, by map[string]*Member) (n int) {
	for k := range chairs {
		if chairs[k].sits(by) {
			n++
		}
	}
	return n
}

// lost tells whether a life is over, as agreed.
func lost(by map[string]*Member, name string, life uint64) bool {
	p := by[name]
	return p != nil && (p.Incarnation > life || p.Incarnation == life && p.Lost)
}

// Claim gives the parts of a lost life's work to an heir, as far as no other living one has them.
func (t *Table) Claim(places []Member, c AdoptionClaim) (changed bool) {
	by := index(places)
	h := by[c.Successor]
	if h == nil || h.Lost || h.Incarnation != c.SuccessorIncarnation || !lost(by, c.Name, c.Incarnation) {
		return false
	}
	var mine *AdoptionClaim
	for k := range t.Claims {
		o := &t.Claims[k]
		if o.Name != c.Name || o.Incarnation != c.Incarnation {
			continue
		}
		if o.Successor == c.Successor && o.SuccessorIncarnation == c.SuccessorIncarnation {
			mine = o
		} else {
			c.Partitions &^= o.Partitions
		}
	}
	switch {
	case c.Partitions == 0 || mine != nil && mine.Partitions|c.Partitions == mine.Partitions:
		return false
	case mine != nil:
		mine.Partitions |= c.Partitions
	case len(t.Claims) >= mostClaims:
		return false
	default:
		t.Claims = append(t.Claims, c)
	}
	return true
}

// Settle ends an heir's claim on parts that hold nothing of the lost one any more.
func (t *Table) Settle(c AdoptionClaim) (changed bool) {
	for k := range t.Claims {
		o := &t.Claims[k]
		if o.Name == c.Name && o.Incarnation == c.Incarnation && o.Successor == c.Successor && o.SuccessorIncarnation == c.SuccessorIncarnation && o.Partitions&c.Partitions != 0 {
			o.Partitions, changed = o.Partitions&^c.Partitions, true
		}
	}
	t.Claims = slices.DeleteFunc(t.Claims, func(o AdoptionClaim) bool { return o.Partitions == 0 })
	return changed
}

// SuccessorOf gives who has claimed a part of a lost life's work.
func (t *Table) SuccessorOf(name string, life uint64, part int) (heir string, heirLife uint64, claimed bool) {
	for k := range t.Claims {
		if c := &t.Claims[k]; c.Name == name && c.Incarnation == life && c.Partitions&(1<<part) != 0 {
			return c.Successor, c.SuccessorIncarnation, true
		}
	}
	return "", 0, false
}

// Clone gives a copy that later changes leave alone.
func (t *Table) Clone() Table {
	c := *t
	c.Partitions = slices.Clone(t.Partitions)
	for k := range c.Partitions {
		c.Partitions[k].Current, c.Partitions[k].Previous = slices.Clone(c.Partitions[k].Current), slices.Clone(c.Partitions[k].Previous)
	}
	c.Claims = slices.Clone(t.Claims)
	return c
}
