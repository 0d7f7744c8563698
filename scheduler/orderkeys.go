package scheduler

// orderKeyBlocked reports whether a request waits for its order key: an earlier request with it is in hand, or it is not known
// yet whether an attempt of one still runs.
func (s *Scheduler) orderKeyBlocked(r *request) bool {
	if r.orderKey == "" {
		return false
	}
	return s.now < s.orderKeyBlockedUntil[r.orderKey] || s.hasPredecessor(r)
}

// hasPredecessor reports whether an earlier request with the same order key is in hand.
func (s *Scheduler) hasPredecessor(r *request) bool {
	for slot := range s.requests.entries {
		other := s.requests.at(slot)
		if other.inUse && other.sequence < r.sequence && other.orderKey == r.orderKey {
			return true
		}
	}
	return false
}

// blockOrderKey blocks the order key of a request after an attempt of which it is not known whether it runs on.
func (s *Scheduler) blockOrderKey(r *request, outcome Outcome) {
	if r.orderKey == "" || s.settings.OrderKeyRestMS <= 0 {
		return
	}
	switch outcome {
	case TimedOut, ConnectionLost, Cancelled:
		s.orderKeyBlockedUntil[r.orderKey] = s.now + s.settings.OrderKeyRestMS
	}
}

// expireOrderKeys forgets the order keys that are blocked no longer.
func (s *Scheduler) expireOrderKeys() {
	for key, until := range s.orderKeyBlockedUntil {
		if s.now >= until {
			delete(s.orderKeyBlockedUntil, key)
		}
	}
}
