package handoff

// secondMS is the length in ms of one slot of the expiry wheel.
const secondMS = 1000

// extendExpiry updates the size of a copy and moves its expiry to a later time if what is known of the request calls
// for it.
func (m *Manager) extendExpiry(stored *storedCopy) {
	m.copyBytes -= stored.countedBytes
	stored.countedBytes = len(stored.Body) + len(stored.Answer)
	m.copyBytes += stored.countedBytes

	expiresAt := max(m.expiryTime(stored), m.now+1)
	if expiresAt <= stored.expiresAt {
		return
	}
	first := stored.expiresAt == 0
	stored.expiresAt = expiresAt
	if first {
		m.scheduleExpiry(stored.key, wheelSecond(expiresAt))
	}
}

// expiryTime returns the time after which no client or replica can need a copy. A copy of an idempotent request is of
// no use past the deadline; any other is stored until no repeat of its key can arrive.
func (m *Manager) expiryTime(stored *storedCopy) float64 {
	class := m.class(stored.Class)
	switch {
	case stored.Idempotent:
		return stored.Deadline + ageUncertaintyMS
	case class != nil && stored.IdempotencyKey != "":
		return max(stored.Deadline, stored.FirstAttemptAt+class.dedupWindowMS) + m.keyRetentionMS
	default:
		return stored.Deadline + m.keyRetentionMS
	}
}

// wheelSecond returns the slot of the expiry wheel, as a number of seconds, that is swept once a time in ms is past.
func wheelSecond(at float64) int64 { return int64(at/secondMS) + 1 }

// scheduleExpiry enters a key into the slot of a second of the expiry wheel.
func (m *Manager) scheduleExpiry(key Key, second int64) {
	m.expiryWheel[second] = append(m.expiryWheel[second], key)
}

// expireCopies sweeps the expiry wheel up to the current second: it drops copies that have expired and schedules again
// those whose expiry was moved since.
func (m *Manager) expireCopies() {
	currentSecond := int64(m.now / secondMS)
	if m.sweptUpTo == 0 {
		m.sweptUpTo = currentSecond - 1
	}
	for ; m.sweptUpTo < currentSecond; m.sweptUpTo++ {
		second := m.sweptUpTo + 1
		for _, key := range m.expiryWheel[second] {
			stored := m.copies[key]
			switch {
			case stored == nil:
			case stored.expiresAt > m.now: // its expiry was moved
				m.scheduleExpiry(key, max(second+1, wheelSecond(stored.expiresAt)))
			default:
				m.transition(stored, inputRetired)
			}
		}
		delete(m.expiryWheel, second)
	}
}
