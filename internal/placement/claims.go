package placement

import "slices"

// sameOwner reports whether two claims are on the requests of the same lost incarnation.
func (c *AdoptionClaim) sameOwner(other *AdoptionClaim) bool {
	return c.Name == other.Name && c.Incarnation == other.Incarnation
}

// sameSuccessor reports whether two claims belong to the same successor incarnation.
func (c *AdoptionClaim) sameSuccessor(other *AdoptionClaim) bool {
	return c.Successor == other.Successor && c.SuccessorIncarnation == other.SuccessorIncarnation
}

// Claim grants a successor the partitions of a lost incarnation's requests that no other successor has claimed. It
// reports whether the table changed. A claim is ignored unless the successor is live and the owner is lost.
func (t *Table) Claim(members []Member, claim AdoptionClaim) (changed bool) {
	index := indexMembers(members)
	if !index.isLive(claim.Successor, claim.SuccessorIncarnation) || !index.isLost(claim.Name, claim.Incarnation) {
		return false
	}
	var existing *AdoptionClaim
	for i := range t.Claims {
		other := &t.Claims[i]
		if !other.sameOwner(&claim) {
			continue
		}
		if other.sameSuccessor(&claim) {
			existing = other
		} else {
			claim.Partitions &^= other.Partitions
		}
	}
	if claim.Partitions == 0 {
		return false
	}
	if existing != nil {
		before := existing.Partitions
		existing.Partitions |= claim.Partitions
		return existing.Partitions != before
	}
	if len(t.Claims) >= maxClaims {
		return false
	}
	t.Claims = append(t.Claims, claim)
	return true
}

// Settle removes from a successor's claim the partitions in which no request of the lost incarnation is left to adopt.
// It reports whether the table changed.
func (t *Table) Settle(settled AdoptionClaim) (changed bool) {
	for i := range t.Claims {
		claim := &t.Claims[i]
		if claim.sameOwner(&settled) && claim.sameSuccessor(&settled) && claim.Partitions&settled.Partitions != 0 {
			claim.Partitions &^= settled.Partitions
			changed = true
		}
	}
	t.Claims = slices.DeleteFunc(t.Claims, func(claim AdoptionClaim) bool { return claim.Partitions == 0 })
	return changed
}

// SuccessorOf returns the member that has claimed a partition of a lost incarnation's requests.
func (t *Table) SuccessorOf(name string, incarnation uint64, partitionID int) (
	successor string, successorIncarnation uint64, claimed bool,
) {
	for i := range t.Claims {
		claim := &t.Claims[i]
		if claim.Name == name && claim.Incarnation == incarnation && claim.Partitions&(1<<partitionID) != 0 {
			return claim.Successor, claim.SuccessorIncarnation, true
		}
	}
	return "", 0, false
}
