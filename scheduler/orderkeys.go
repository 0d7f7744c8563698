package scheduler

// hasPredecessor tells whether an earlier request of the same key is still in hand.
func (s *Scheduler) hasPredecessor(r *request) bool {
	for k := range s.requests.entries {
		if other := &s.requests.entries[k]; other.inUse && other.sequence < r.sequence && other.orderKey == r.orderKey {
			return true
		}
	}
	return false
}

// expireOrderKeys forgets the keys that rest no longer.
func (s *Scheduler) expireOrderKeys() {
	for key, until := range s.orderKeyBlockedUntil {
		if s.now >= until {
			delete(s.orderKeyBlockedUntil, key)
		}
	}
}
