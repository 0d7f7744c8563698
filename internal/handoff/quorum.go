package handoff

import (
	"slices"

	"liftshift/internal/placement"
)

// hasPlacement reports whether replicas are assigned to the partitions.
func (m *Manager) hasPlacement() bool {
	return m.table != nil && len(m.table.Partitions) == placement.PartitionCount
}

// replicaNames returns the names of a partition's live replicas, including the previous ones while they count towards
// a quorum.
func (m *Manager) replicaNames(partition int) (names []string) {
	p := &m.table.Partitions[partition]
	for _, replicas := range [][]placement.Replica{p.Current, p.Previous} {
		for _, r := range replicas {
			if m.isLive(r) && !slices.Contains(names, r.Name) {
				names = append(names, r.Name)
			}
		}
	}
	return names
}

// isLive reports whether a replica is the current incarnation of a member that is not declared lost.
func (m *Manager) isLive(r placement.Replica) bool {
	member := m.members[r.Name]
	return member != nil && !member.Lost && member.Incarnation == r.Incarnation
}

// isLost reports whether the consensus group declared an incarnation lost or admitted a later one of its member.
func (m *Manager) isLost(owner Member) bool {
	member := m.members[owner.Name]
	if member == nil {
		return false
	}
	return member.Incarnation > owner.Incarnation || member.Incarnation == owner.Incarnation && member.Lost
}

// hasQuorum reports whether the members include a quorum of a partition's replicas.
func (m *Manager) hasQuorum(partition int, members []Member) bool {
	p := &m.table.Partitions[partition]
	return isMajority(p.Current, members) && (p.Previous == nil || isMajority(p.Previous, members))
}

// quorumImpossible reports whether the replicas of a partition that have not refused are too few for a quorum.
func (m *Manager) quorumImpossible(partition int, refusals []Member) bool {
	p := &m.table.Partitions[partition]
	return blocksMajority(p.Current, refusals) || p.Previous != nil && blocksMajority(p.Previous, refusals)
}

// quorumReachable reports whether enough replicas of a partition are live for a quorum.
func (m *Manager) quorumReachable(partition int) bool {
	p := &m.table.Partitions[partition]
	return m.hasLiveMajority(p.Current) && (p.Previous == nil || m.hasLiveMajority(p.Previous))
}

func (m *Manager) hasLiveMajority(replicas []placement.Replica) bool {
	live := 0
	for _, r := range replicas {
		if m.isLive(r) {
			live++
		}
	}
	return live >= placement.Quorum(len(replicas))
}

func isMajority(replicas []placement.Replica, members []Member) bool {
	return countReplicasAmong(replicas, members) >= placement.Quorum(len(replicas))
}

// blocksMajority reports whether the replicas that are not among the members are too few for a majority.
func blocksMajority(replicas []placement.Replica, members []Member) bool {
	return len(replicas)-countReplicasAmong(replicas, members) < placement.Quorum(len(replicas))
}

// countReplicasAmong counts the replicas that are among the members.
func countReplicasAmong(replicas []placement.Replica, members []Member) (n int) {
	for _, r := range replicas {
		if slices.Contains(members, Member{r.Name, r.Incarnation}) {
			n++
		}
	}
	return n
}

// isSelf reports whether a replica is this incarnation of this controller.
func (m *Manager) isSelf(r placement.Replica) bool {
	return r.Name == m.self.Name && r.Incarnation == m.self.Incarnation
}

// ownReplica returns this controller's entry among the current replicas of a partition, or nil.
func (m *Manager) ownReplica(partition int) *placement.Replica {
	current := m.table.Partitions[partition].Current
	i := slices.IndexFunc(current, m.isSelf)
	if i < 0 {
		return nil
	}
	return &current[i]
}

// isReplica reports whether this controller is a current replica of a partition, or a previous one that still counts
// towards a quorum.
func (m *Manager) isReplica(partition int) bool {
	p := &m.table.Partitions[partition]
	return slices.ContainsFunc(p.Current, m.isSelf) || slices.ContainsFunc(p.Previous, m.isSelf)
}

// isReady reports whether this controller stores everything that the previous replicas of a partition stored.
func (m *Manager) isReady(partition int) bool {
	if slices.ContainsFunc(m.table.Partitions[partition].Previous, m.isSelf) {
		return true
	}
	r := m.ownReplica(partition)
	return r != nil && r.Ready
}

// notAcknowledged returns the names of a partition's live replicas that are not among the acknowledging members.
func (m *Manager) notAcknowledged(partition int, acks []Member) (names []string) {
	for _, name := range m.replicaNames(partition) {
		if !slices.Contains(acks, Member{name, m.members[name].Incarnation}) {
			names = append(names, name)
		}
	}
	return names
}
