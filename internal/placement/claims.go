package placement

import "slices"

// sameOwner reports whether two claims are on the same lost incarnation.
func (c *AdoptionClaim) sameOwner(o *AdoptionClaim) bool {
	return c.Name == o.Name && c.Incarnation == o.Incarnation
}

// sameSuccessor reports whether two claims are the same incarnation's.
func (c *AdoptionClaim) sameSuccessor(o *AdoptionClaim) bool {
	return c.Successor == o.Successor && c.SuccessorIncarnation == o.SuccessorIncarnation
}

// Claim gives partitions of a lost incarnation's requests to a successor, as far as no other live one has them. It reports whether
// anything changed.
func (t *Table) Claim(members []Member, c AdoptionClaim) (changed bool) {
	index := indexMembers(members)
	if !index.isLive(c.Successor, c.SuccessorIncarnation) || !index.isLost(c.Name, c.Incarnation) {
		return false
	}
	var own *AdoptionClaim
	for i := range t.Claims {
		o := &t.Claims[i]
		if !o.sameOwner(&c) {
			continue
		}
		if o.sameSuccessor(&c) {
			own = o
		} else {
			c.Partitions &^= o.Partitions
		}
	}
	if c.Partitions == 0 {
		return false
	}
	if own != nil {
		before := own.Partitions
		own.Partitions |= c.Partitions
		return own.Partitions != before
	}
	if len(t.Claims) >= maxClaims {
		return false
	}
	t.Claims = append(t.Claims, c)
	return true
}

// Settle ends a successor's claim on partitions in which nothing of the lost incarnation is left. It reports whether anything changed.
func (t *Table) Settle(c AdoptionClaim) (changed bool) {
	for i := range t.Claims {
		o := &t.Claims[i]
		if o.sameOwner(&c) && o.sameSuccessor(&c) && o.Partitions&c.Partitions != 0 {
			o.Partitions &^= c.Partitions
			changed = true
		}
	}
	t.Claims = slices.DeleteFunc(t.Claims, func(o AdoptionClaim) bool { return o.Partitions == 0 })
	return changed
}

// SuccessorOf returns who has claimed a partition of a lost incarnation's requests.
func (t *Table) SuccessorOf(name string, incarnation uint64, partition int) (successor string, successorIncarnation uint64, claimed bool) {
	for i := range t.Claims {
		c := &t.Claims[i]
		if c.Name == name && c.Incarnation == incarnation && c.Partitions&(1<<partition) != 0 {
			return c.Successor, c.SuccessorIncarnation, true
		}
	}
	return "", 0, false
}
