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
const Parts = 32

const (
	mostClaims = 1024 // claims that are kept; those of a life that is all settled go by themselves
	mostCopies = 3
)

// Chair is a place among those that keep a part, and who has it.
type Chair struct {
	Name  string `json:"Name"`
	Life  uint64 `json:"Life"`
	Ready bool   `json:"Ready,omitempty"` // it knows all that those before it knew
}

// Part is who keeps a part. While Was is there, a word needs a quorum of both.
type Part struct {
	Now []Chair `json:"Now,omitempty"`
	Was []Chair `json:"Was,omitempty"`
}

// Claim is what of a lost life's work its heir takes over.
type Claim struct {
	Name     string `json:"Name"` // who is lost
	Life     uint64 `json:"Life"`
	Heir     string `json:"Heir"`
	HeirLife uint64 `json:"HeirLife"`
	Mask     uint32 `json:"Mask"` // parts
}

// Place is a member as the council has it.
type Place struct {
	Name string `json:"Name"`
	Life uint64 `json:"Life"`
	Lost bool   `json:"Lost"`
	Zone string `json:"Zone"`
}

// Table is what is agreed.
type Table struct {
	Version uint64  `json:"Version,omitempty"` // grows whenever another sits: a word counts in one version alone
	Step    uint64  `json:"Step,omitempty"`    // grows with each change, also of who is lost and of claims
	Copies  int     `json:"Copies,omitempty"`
	Parts   []Part  `json:"Parts,omitempty"`
	Claims  []Claim `json:"Claims,omitempty"`
}

// Seats is how many chairs a part has for so many copies: any two halves and one more share a chair, and of each such there are so
// many copies besides the owner's.
func Seats(copies int) int { return 2*copies + 1 }

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
func index(places []Place) map[string]*Place {
	by := make(map[string]*Place, len(places))
	for k := range places {
		by[places[k].Name] = &places[k]
	}
	return by
}

func (c *Chair) sits(by map[string]*Place) bool {
	p := by[c.Name]
	return p != nil && !p.Lost && p.Life == c.Life
}

// Reseat fills the chairs of those that are lost, where there is somebody for them, and tells whether anything changed. Copies is
// what is wanted; 0: as it is. A chair that nobody can take stays that of the lost one, and is missed in each quorum.
func (t *Table) Reseat(places []Place, copies int) (changed bool) {
	if copies > 0 && copies <= mostCopies && t.Copies != copies {
		t.Copies, changed = copies, true
	}
	if t.Copies == 0 {
		return changed
	}
	by, want := index(places), Seats(t.Copies)
	living := 0
	for k := range places {
		if !places[k].Lost {
			living++
		}
	}
	if t.Parts == nil {
		if living < want {
			return changed
		}
		t.Parts = make([]Part, Parts)
	}
	seated := false
	for p := range t.Parts {
		seated = t.reseat(p, places, by, want) || seated
	}
	if seated {
		t.Version++
	}
	changed = changed || seated
	t.Claims = slices.DeleteFunc(t.Claims, func(c Claim) bool {
		h := by[c.Heir]
		gone := h == nil || h.Lost || h.Life != c.HeirLife // another may claim
		changed = changed || gone
		return gone
	})
	return changed
}

func (t *Table) reseat(n int, places []Place, by map[string]*Place, want int) (changed bool) {
	p := &t.Parts[n]
	first := len(p.Now) == 0
	next := slices.Clone(p.Now)
	if len(next) > want { // fewer copies are wanted: the holes go first
		slices.SortStableFunc(next, func(a, b Chair) int { return rankOf(!a.sits(by)) - rankOf(!b.sits(by)) })
		next = next[:want]
	}
	for len(next) < want {
		next = append(next, Chair{})
	}
	for k := range next {
		if next[k].sits(by) {
			continue
		}
		if who := fittest(n, places, by, next); who != nil {
			next[k] = Chair{Name: who.Name, Life: who.Life, Ready: first}
		}
	}
	next = slices.DeleteFunc(next, func(c Chair) bool { return c.Name == "" })
	if slices.EqualFunc(next, p.Now, func(a, b Chair) bool { return a.Name == b.Name && a.Life == b.Life }) {
		t.settle(p, by)
		return false
	}
	if !first && p.Was == nil {
		p.Was = p.Now
	}
	p.Now = next
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
func fittest(n int, places []Place, by map[string]*Place, chairs []Chair) (best *Place) {
	zones := map[string]int{}
	for k := range chairs {
		if p := by[chairs[k].Name]; p != nil && chairs[k].sits(by) {
			zones[p.Zone]++
		}
	}
	for k := range places {
		p := &places[k]
		if p.Lost || slices.ContainsFunc(chairs, func(c Chair) bool { return c.Name == p.Name && c.sits(by) }) {
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
func (t *Table) settle(p *Part, by map[string]*Place) bool {
	if p.Was == nil || slices.ContainsFunc(p.Now, func(c Chair) bool { return !c.Ready && c.sits(by) }) {
		return false
	}
	if ready(p.Now, by) < Quorum(len(p.Now)) {
		return false
	}
	p.Was = nil
	return true
}

func ready(chairs []Chair, by map[string]*Place) (n int) {
	for k := range chairs {
		if chairs[k].Ready && chairs[k].sits(by) {
			n++
		}
	}
	return n
}

// Ready has it that a life in a chair of these parts knows all by now. It counts only for the table that it was said of.
func (t *Table) Ready(places []Place, name string, life uint64, mask uint32, version uint64) (changed bool) {
	if version > t.Version {
		return false
	}
	by := index(places)
	for n := range t.Parts {
		if mask&(1<<n) == 0 {
			continue
		}
		p := &t.Parts[n]
		for k := range p.Now {
			if c := &p.Now[k]; c.Name == name && c.Life == life && !c.Ready {
				c.Ready, changed = true, true
			}
		}
		changed = t.settle(p, by) || changed
	}
	return changed
}

// Anew begins parts anew whose former chairs are lost beyond a quorum, once nobody needs to know any more what they knew.
func (t *Table) Anew(places []Place, mask uint32) (changed bool) {
	by := index(places)
	for n := range t.Parts {
		p := &t.Parts[n]
		if mask&(1<<n) == 0 || p.Was == nil && sitting(p.Now, by) >= Quorum(len(p.Now)) || p.Was != nil && sitting(p.Was, by) >= Quorum(len(p.Was)) {
			continue
		}
		if sitting(p.Now, by) < Quorum(len(p.Now)) {
			continue // there are not enough yet for anything to be known again
		}
		for k := range p.Now {
			p.Now[k].Ready = true
		}
		p.Was, changed = nil, true
	}
	if changed {
		t.Version++
	}
	return changed
}

func sitting(chairs []Chair, by map[string]*Place) (n int) {
	for k := range chairs {
		if chairs[k].sits(by) {
			n++
		}
	}
	return n
}

// lost tells whether a life is over, as agreed.
func lost(by map[string]*Place, name string, life uint64) bool {
	p := by[name]
	return p != nil && (p.Life > life || p.Life == life && p.Lost)
}

// Claim gives the parts of a lost life's work to an heir, as far as no other living one has them.
func (t *Table) Claim(places []Place, c Claim) (changed bool) {
	by := index(places)
	h := by[c.Heir]
	if h == nil || h.Lost || h.Life != c.HeirLife || !lost(by, c.Name, c.Life) {
		return false
	}
	var mine *Claim
	for k := range t.Claims {
		o := &t.Claims[k]
		if o.Name != c.Name || o.Life != c.Life {
			continue
		}
		if o.Heir == c.Heir && o.HeirLife == c.HeirLife {
			mine = o
		} else {
			c.Mask &^= o.Mask
		}
	}
	switch {
	case c.Mask == 0 || mine != nil && mine.Mask|c.Mask == mine.Mask:
		return false
	case mine != nil:
		mine.Mask |= c.Mask
	case len(t.Claims) >= mostClaims:
		return false
	default:
		t.Claims = append(t.Claims, c)
	}
	return true
}

// Settled ends an heir's claim on parts that hold nothing of the lost one any more.
func (t *Table) Settled(c Claim) (changed bool) {
	for k := range t.Claims {
		o := &t.Claims[k]
		if o.Name == c.Name && o.Life == c.Life && o.Heir == c.Heir && o.HeirLife == c.HeirLife && o.Mask&c.Mask != 0 {
			o.Mask, changed = o.Mask&^c.Mask, true
		}
	}
	t.Claims = slices.DeleteFunc(t.Claims, func(o Claim) bool { return o.Mask == 0 })
	return changed
}

// HeirOf gives who has claimed a part of a lost life's work.
func (t *Table) HeirOf(name string, life uint64, part int) (heir string, heirLife uint64, claimed bool) {
	for k := range t.Claims {
		if c := &t.Claims[k]; c.Name == name && c.Life == life && c.Mask&(1<<part) != 0 {
			return c.Heir, c.HeirLife, true
		}
	}
	return "", 0, false
}

// Clone gives a copy that later changes leave alone.
func (t *Table) Clone() Table {
	c := *t
	c.Parts = slices.Clone(t.Parts)
	for k := range c.Parts {
		c.Parts[k].Now, c.Parts[k].Was = slices.Clone(c.Parts[k].Now), slices.Clone(c.Parts[k].Was)
	}
	c.Claims = slices.Clone(t.Claims)
	return c
}
