package handoff

const secondMS = 1000

// prolong sets when a copy expires: one with an idempotency key, once the key cannot come again.
func (m *Manager) prolong(stored *storedCopy) {
	m.copyBytes -= stored.bytes
	stored.bytes = len(stored.Body) + len(stored.Answer)
	m.copyBytes += stored.bytes

	at := max(m.expiry(stored), m.now+1)
	if at <= stored.expiresAt {
		return
	}
	first := stored.expiresAt == 0
	stored.expiresAt = at
	if first {
		m.scheduleExpiry(stored.key, wheelSecond(at))
	}
}

func (m *Manager) expiry(stored *storedCopy) float64 {
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

// wheelSecond is the second of the expiry wheel at whose end a time is past.
func wheelSecond(at float64) int64 { return int64(at/secondMS) + 1 }

func (m *Manager) scheduleExpiry(key Key, second int64) {
	m.expiryWheel[second] = append(m.expiryWheel[second], key)
}

// expireCopies drops copies that nobody can ask for any more.
func (m *Manager) expireCopies() {
	upTo := int64(m.now / secondMS)
	if m.sweptUpTo == 0 {
		m.sweptUpTo = upTo - 1
	}
	for ; m.sweptUpTo < upTo; m.sweptUpTo++ {
		second := m.sweptUpTo + 1
		for _, key := range m.expiryWheel[second] {
			stored := m.copies[key]
			switch {
			case stored == nil:
			case stored.expiresAt > m.now: // it was prolonged
				m.scheduleExpiry(key, max(second+1, wheelSecond(stored.expiresAt)))
			default:
				m.transition(stored, inputRetired)
			}
		}
		delete(m.expiryWheel, second)
	}
}
