package handoff

import "liftshift/internal/placement"

// ownerCopies indexes the open copies of one owner by partition.
type ownerCopies struct {
	partitions [placement.PartitionCount]map[Key]*storedCopy
	notified   [placement.PartitionCount]lossNotice // see updateLostOwners
	count      int                                  // of copies in all partitions
}

// lossNotice records which notification of their owner's loss all copies of a partition have received.
type lossNotice uint8

const (
	noticeNone lossNotice = iota
	noticeLost
	noticeClaimed
)

var lossNoticeNames = [...]string{"none", "lost", "claimed"}

// String returns the name of the notice.
func (n lossNotice) String() string { return lossNoticeNames[n] }

// noticeFor returns the notification for copies of a lost owner, which a successor may have claimed.
func noticeFor(claimed bool) lossNotice {
	if claimed {
		return noticeClaimed
	}
	return noticeLost
}

// inPartition returns the copies in a partition. A nil ownerCopies has none.
func (o *ownerCopies) inPartition(partition int) map[Key]*storedCopy {
	if o == nil {
		return nil
	}
	return o.partitions[partition]
}

// mask returns the partitions in which there are copies, as a bit mask.
func (o *ownerCopies) mask() (mask uint32) {
	for partition := range placement.PartitionCount {
		if len(o.inPartition(partition)) > 0 {
			mask |= 1 << partition
		}
	}
	return mask
}

// indexOpen adds a copy to the index of open copies by owner.
func (m *Manager) indexOpen(stored *storedCopy) {
	set := m.openByOwner[stored.Owner]
	if set == nil {
		set = &ownerCopies{}
		m.openByOwner[stored.Owner] = set
	}
	partition := stored.key.Partition()
	if set.partitions[partition] == nil {
		set.partitions[partition] = map[Key]*storedCopy{}
	}
	if _, indexed := set.partitions[partition][stored.key]; !indexed {
		set.count++
	}
	set.partitions[partition][stored.key] = stored
	set.notified[partition] = noticeNone
}

// unindexOpen removes a copy from the index of open copies by owner, if it is there.
func (m *Manager) unindexOpen(stored *storedCopy) {
	set := m.openByOwner[stored.Owner]
	partition := stored.key.Partition()
	if set == nil || set.partitions[partition][stored.key] == nil {
		return
	}
	delete(set.partitions[partition], stored.key)
	set.count--
	if set.count == 0 {
		delete(m.openByOwner, stored.Owner)
	}
}
