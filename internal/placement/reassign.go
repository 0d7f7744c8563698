package placement

import "slices"

// Reassign replaces lost replicas where there are members for them, and reports whether anything changed. Copies is how many copies are
// wanted; 0 leaves that as it is. A replica that cannot be replaced stays the lost member's, and is missed in each quorum.
func (t *Table) Reassign(members []Member, copies int) (changed bool) {
	if copies > 0 && copies <= maxCopies && t.Copies != copies {
		t.Copies = copies
		changed = true
	}
	if t.Copies == 0 {
		return changed
	}
	index := indexMembers(members)
	want := ReplicaCount(t.Copies)
	if t.Partitions == nil {
		if countLiveMembers(members) < want {
			return changed
		}
		t.Partitions = make([]Partition, PartitionCount)
	}
	replaced := false
	for n := range t.Partitions {
		if t.reassignPartition(n, members, index, want) {
			replaced = true
		}
	}
	if replaced {
		t.Version++
	}
	dropped := t.dropClaimsOfLost(index)
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

// dropClaimsOfLost drops the claims of successors that are lost, too: others may claim.
func (t *Table) dropClaimsOfLost(index memberIndex) bool {
	before := len(t.Claims)
	t.Claims = slices.DeleteFunc(t.Claims, func(c AdoptionClaim) bool {
		return !index.isLive(c.Successor, c.SuccessorIncarnation)
	})
	return len(t.Claims) != before
}

// reassignPartition replaces the lost replicas of a partition, and reports whether any was.
func (t *Table) reassignPartition(n int, members []Member, index memberIndex, want int) (changed bool) {
	p := &t.Partitions[n]
	first := len(p.Current) == 0
	next := resize(p.Current, index, want)
	for i := range next {
		if index.hasReplica(next[i]) {
			continue
		}
		if m := bestCandidate(n, members, index, next); m != nil {
			next[i] = Replica{Name: m.Name, Incarnation: m.Incarnation, Ready: first}
		}
	}
	next = slices.DeleteFunc(next, func(r Replica) bool { return r.Name == "" })
	if slices.EqualFunc(next, p.Current, sameReplica) {
		p.finishChange(index)
		return false
	}
	if !first && p.Previous == nil {
		p.Previous = p.Current
	}
	p.Current = next
	p.finishChange(index)
	return true
}

func sameReplica(a, b Replica) bool { return a.Name == b.Name && a.Incarnation == b.Incarnation }

// resize returns a copy of replicas of the length wanted, with empty ones at its end. Lost ones are the first to go.
func resize(replicas []Replica, index memberIndex, want int) []Replica {
	next := slices.Clone(replicas)
	if len(next) > want {
		slices.SortStableFunc(next, func(a, b Replica) int { return rank(!index.hasReplica(a)) - rank(!index.hasReplica(b)) })
		next = next[:want]
	}
	for len(next) < want {
		next = append(next, Replica{})
	}
	return next
}

func rank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// bestCandidate returns the member for one more replica of a partition: of the zones with the fewest replicas, the one with the highest
// score; nil if there is none.
func bestCandidate(n int, members []Member, index memberIndex, replicas []Replica) (best *Member) {
	inZone := map[string]int{}
	for _, r := range replicas {
		if index.hasReplica(r) {
			inZone[index[r.Name].Zone]++
		}
	}
	for i := range members {
		m := &members[i]
		if m.Lost || slices.ContainsFunc(replicas, func(r Replica) bool { return r.Name == m.Name && index.hasReplica(r) }) {
			continue
		}
		fewer := best == nil || inZone[m.Zone] < inZone[best.Zone]
		if fewer || inZone[m.Zone] == inZone[best.Zone] && score(n, m.Name) > score(n, best.Name) {
			best = m
		}
	}
	return best
}

// finishChange forgets the previous replicas once all live current ones, and a majority, are ready. It reports whether it did.
func (p *Partition) finishChange(index memberIndex) bool {
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

// MarkReady marks the replicas of an incarnation in these partitions as ready. It counts only for the version of the table that it was
// reported for, or a later one.
func (t *Table) MarkReady(members []Member, name string, incarnation uint64, partitions uint32, version uint64) (changed bool) {
	if version > t.Version {
		return false
	}
	index := indexMembers(members)
	for n := range t.Partitions {
		if partitions&(1<<n) == 0 {
			continue
		}
		p := &t.Partitions[n]
		for i := range p.Current {
			r := &p.Current[i]
			if r.Name == name && r.Incarnation == incarnation && !r.Ready {
				r.Ready = true
				changed = true
			}
		}
		if p.finishChange(index) {
			changed = true
		}
	}
	return changed
}

// Reinitialize begins partitions anew that lost their quorum, once nobody needs to know any more what their replicas knew.
func (t *Table) Reinitialize(members []Member, partitions uint32) (changed bool) {
	index := indexMembers(members)
	for n := range t.Partitions {
		p := &t.Partitions[n]
		if partitions&(1<<n) == 0 || !p.quorumLost(index) || !index.majorityLive(p.Current) {
			continue
		}
		for i := range p.Current {
			p.Current[i].Ready = true
		}
		p.Previous = nil
		changed = true
	}
	if changed {
		t.Version++
	}
	return changed
}

// quorumLost reports whether the replicas that know the partition have lost their majority.
func (p *Partition) quorumLost(index memberIndex) bool {
	if p.Previous != nil {
		return !index.majorityLive(p.Previous)
	}
	return !index.majorityLive(p.Current)
}
