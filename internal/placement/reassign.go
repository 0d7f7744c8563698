package placement

import "slices"

// Reassign sets the number of copies, unless copies is 0, and replaces lost replicas while there are live members that
// can take their place. It reports whether the table changed. A replica that cannot be replaced stays assigned to the
// lost member and counts in the size of the quorum.
func (t *Table) Reassign(members []Member, copies int) (changed bool) {
	if copies > 0 && copies <= maxCopies && t.Copies != copies {
		t.Copies = copies
		changed = true
	}
	if t.Copies == 0 {
		return changed
	}
	index := indexMembers(members)
	wanted := ReplicaCount(t.Copies)
	if t.Partitions == nil {
		if countLiveMembers(members) < wanted {
			return changed
		}
		t.Partitions = make([]Partition, PartitionCount)
	}
	replaced := false
	for partitionID := range t.Partitions {
		if t.reassignPartition(partitionID, members, index, wanted) {
			replaced = true
		}
	}
	if replaced {
		t.Version++
	}
	dropped := t.dropClaimsOfLostSuccessors(index)
	return changed || replaced || dropped
}

func countLiveMembers(members []Member) (n int) {
	for i := range members {
		if !members[i].Lost {
			n++
		}
	}
	return n
}

// dropClaimsOfLostSuccessors removes the claims of successors that are no longer live, so that other members can claim
// the partitions. It reports whether any claim was removed.
func (t *Table) dropClaimsOfLostSuccessors(index memberIndex) bool {
	before := len(t.Claims)
	t.Claims = slices.DeleteFunc(t.Claims, func(claim AdoptionClaim) bool {
		return !index.isLive(claim.Successor, claim.SuccessorIncarnation)
	})
	return len(t.Claims) != before
}

// reassignPartition replaces the lost replicas of a partition and reports whether any replica changed.
func (t *Table) reassignPartition(partitionID int, members []Member, index memberIndex, wanted int) (changed bool) {
	partition := &t.Partitions[partitionID]
	initial := len(partition.Current) == 0
	replicas := resizeReplicas(partition.Current, index, wanted)
	for i := range replicas {
		if index.isReplicaLive(replicas[i]) {
			continue
		}
		if m := bestCandidate(partitionID, members, index, replicas); m != nil {
			replicas[i] = Replica{Name: m.Name, Incarnation: m.Incarnation, Ready: initial}
		}
	}
	replicas = slices.DeleteFunc(replicas, func(r Replica) bool { return r.Name == "" })
	if slices.EqualFunc(replicas, partition.Current, sameIncarnation) {
		partition.finishReassignment(index)
		return false
	}
	if !initial && partition.Previous == nil {
		partition.Previous = partition.Current
	}
	partition.Current = replicas
	partition.finishReassignment(index)
	return true
}

// sameIncarnation reports whether two replicas are held by the same member incarnation.
func sameIncarnation(a, b Replica) bool { return a.Name == b.Name && a.Incarnation == b.Incarnation }

// resizeReplicas returns a copy of replicas with the wanted length, padded with empty replicas. Lost replicas are cut
// before live ones.
func resizeReplicas(replicas []Replica, index memberIndex, wanted int) []Replica {
	resized := slices.Clone(replicas)
	if len(resized) > wanted {
		slices.SortStableFunc(resized, func(a, b Replica) int {
			return boolToInt(!index.isReplicaLive(a)) - boolToInt(!index.isReplicaLive(b))
		})
		resized = resized[:wanted]
	}
	for len(resized) < wanted {
		resized = append(resized, Replica{})
	}
	return resized
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// bestCandidate returns the live member that should hold the next replica of a partition, or nil if every live member
// holds one. It prefers the zones with the fewest replicas of the partition and, within these, the member with the
// highest score.
func bestCandidate(partitionID int, members []Member, index memberIndex, replicas []Replica) (best *Member) {
	replicasInZone := map[string]int{}
	for _, r := range replicas {
		if index.isReplicaLive(r) {
			replicasInZone[index[r.Name].Zone]++
		}
	}
	for i := range members {
		m := &members[i]
		holdsReplica := func(r Replica) bool { return r.Name == m.Name && index.isReplicaLive(r) }
		if m.Lost || slices.ContainsFunc(replicas, holdsReplica) {
			continue
		}
		fewer := best == nil || replicasInZone[m.Zone] < replicasInZone[best.Zone]
		if fewer || replicasInZone[m.Zone] == replicasInZone[best.Zone] &&
			score(partitionID, m.Name) > score(partitionID, best.Name) {
			best = m
		}
	}
	return best
}

// finishReassignment drops the previous replicas once all live current replicas are ready and form a majority. It
// reports whether it dropped them.
func (p *Partition) finishReassignment(index memberIndex) bool {
	if p.Previous == nil {
		return false
	}
	ready := index.countReady(p.Current)
	if ready < index.countLive(p.Current) || ready < Quorum(len(p.Current)) {
		return false
	}
	p.Previous = nil
	return true
}

// MarkReady marks an incarnation's replicas of the given partitions, a bit mask, as ready. It reports whether the table
// changed. A report for a version that this table has not reached is ignored.
func (t *Table) MarkReady(
	members []Member, name string, incarnation uint64, partitions uint32, version uint64,
) (changed bool) {
	if version > t.Version {
		return false
	}
	index := indexMembers(members)
	for partitionID := range t.Partitions {
		if partitions&(1<<partitionID) == 0 {
			continue
		}
		partition := &t.Partitions[partitionID]
		for i := range partition.Current {
			r := &partition.Current[i]
			if r.Name == name && r.Incarnation == incarnation && !r.Ready {
				r.Ready = true
				changed = true
			}
		}
		if partition.finishReassignment(index) {
			changed = true
		}
	}
	return changed
}

// Reinitialize marks all current replicas as ready in those of the given partitions, a bit mask, that lost their quorum
// and again have a live majority. What only the lost replicas stored is given up, so this is proposed only once the
// idempotency keys in these partitions have expired. It reports whether the table changed.
func (t *Table) Reinitialize(members []Member, partitions uint32) (changed bool) {
	index := indexMembers(members)
	for partitionID := range t.Partitions {
		partition := &t.Partitions[partitionID]
		if partitions&(1<<partitionID) == 0 || !partition.quorumLost(index) || !index.majorityLive(partition.Current) {
			continue
		}
		for i := range partition.Current {
			partition.Current[i].Ready = true
		}
		partition.Previous = nil
		changed = true
	}
	if changed {
		t.Version++
	}
	return changed
}

// quorumLost reports whether the replicas that hold the partition's data, the previous ones during a reassignment, have
// no live majority.
func (p *Partition) quorumLost(index memberIndex) bool {
	if p.Previous != nil {
		return !index.majorityLive(p.Previous)
	}
	return !index.majorityLive(p.Current)
}
