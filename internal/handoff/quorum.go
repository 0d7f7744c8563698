package handoff

import (
	"slices"

	"liftshift/internal/placement"
)

// hasPlacement reports whether there are replicas at all.
func (m *Manager) hasPlacement() bool {
	return m.table != nil && len(m.table.Partitions) == placement.PartitionCount
}

// replicaNames returns the replicas of a partition, and its previous ones as long as they count.
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

// isLive reports whether a replica is the current incarnation of a member that is not lost.
func (m *Manager) isLive(r placement.Replica) bool {
	member := m.members[r.Name]
	return member != nil && !member.Lost && member.Incarnation == r.Incarnation
}

// isLost reports whether an incarnation is over, as agreed.
func (m *Manager) isLost(owner Member) bool {
	member := m.members[owner.Name]
	if member == nil {
		return false
	}
	return member.Incarnation > owner.Incarnation || member.Incarnation == owner.Incarnation && member.Lost
}

// hasQuorum reports whether these members are a quorum of a partition.
func (m *Manager) hasQuorum(partition int, members []Member) bool {
	p := &m.table.Partitions[partition]
	return isMajority(p.Current, members) && (p.Previous == nil || isMajority(p.Previous, members))
}

// quorumImpossible reports whether the others than those that refused are no quorum of a partition.
func (m *Manager) quorumImpossible(partition int, refusals []Member) bool {
	p := &m.table.Partitions[partition]
	return blocksMajority(p.Current, refusals) || p.Previous != nil && blocksMajority(p.Previous, refusals)
}

// quorumReachable reports whether enough replicas of a partition are live.
func (m *Manager) quorumReachable(partition int) bool {
	p := &m.table.Partitions[partition]
	return m.majorityLive(p.Current) && (p.Previous == nil || m.majorityLive(p.Previous))
}

func (m *Manager) majorityLive(replicas []placement.Replica) bool {
	live := 0
	for _, r := range replicas {
		if m.isLive(r) {
			live++
		}
	}
	return live >= placement.Quorum(len(replicas))
}

func isMajority(replicas []placement.Replica, members []Member) bool {
	return countAmong(replicas, members) >= placement.Quorum(len(replicas))
}

func blocksMajority(replicas []placement.Replica, members []Member) bool {
	return len(replicas)-countAmong(replicas, members) < placement.Quorum(len(replicas))
}

// countAmong counts the replicas that are among the members.
func countAmong(replicas []placement.Replica, members []Member) (n int) {
	for _, r := range replicas {
		if slices.Contains(members, Member{r.Name, r.Incarnation}) {
			n++
		}
	}
	return n
}

// isSelf reports whether a replica is this controller's.
func (m *Manager) isSelf(r placement.Replica) bool {
	return r.Name == m.self.Name && r.Incarnation == m.self.Incarnation
}

// ownReplica returns this controller's own among the current replicas of a partition, or nil.
func (m *Manager) ownReplica(partition int) *placement.Replica {
	current := m.table.Partitions[partition].Current
	i := slices.IndexFunc(current, m.isSelf)
	if i < 0 {
		return nil
	}
	return &current[i]
}

// isReplica reports whether this controller is a replica of a partition, or a previous one that still counts.
func (m *Manager) isReplica(partition int) bool {
	p := &m.table.Partitions[partition]
	return slices.ContainsFunc(p.Current, m.isSelf) || slices.ContainsFunc(p.Previous, m.isSelf)
}

// isReady reports whether this controller's replica of a partition has all that the replicas before it had.
func (m *Manager) isReady(partition int) bool {
	if slices.ContainsFunc(m.table.Partitions[partition].Previous, m.isSelf) {
		return true
	}
	r := m.ownReplica(partition)
	return r != nil && r.Ready
}

// notAcknowledged returns the replicas of a partition whose current incarnations are not among those that acknowledged.
func (m *Manager) notAcknowledged(partition int, acks []Member) (names []string) {
	for _, name := range m.replicaNames(partition) {
		if !slices.Contains(acks, Member{name, m.members[name].Incarnation}) {
			names = append(names, name)
		}
	}
	return names
}
