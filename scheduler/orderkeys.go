package scheduler

// orderKeyBlocked reports whether a request has to wait because of its order key: an earlier request with the key is
// open, or an attempt at one may still be running.
func (s *Scheduler) orderKeyBlocked(r *request) bool {
	if r.orderKey == "" {
		return false
	}
	return s.now < s.orderKeyBlockedUntil[r.orderKey] || s.hasPredecessor(r)
}

// hasPredecessor reports whether an earlier request with the same order key is still open.
func (s *Scheduler) hasPredecessor(r *request) bool {
	for slot := range s.requests.entries {
		other := s.requests.at(slot)
		if other.inUse && other.sequence < r.sequence && other.orderKey == r.orderKey {
			return true
		}
	}
	return false
}

// blockOrderKey blocks the order key of a request for OrderKeyHoldoffMS after an attempt that may still be running on
// its executor.
func (s *Scheduler) blockOrderKey(r *request, outcome Outcome) {
	if r.orderKey == "" || s.settings.OrderKeyHoldoffMS <= 0 {
		return
	}
	switch outcome {
	case TimedOut, ConnectionLost, Cancelled:
		s.orderKeyBlockedUntil[r.orderKey] = s.now + s.settings.OrderKeyHoldoffMS
	}
}

// expireOrderKeys removes the order keys that are no longer blocked.
func (s *Scheduler) expireOrderKeys() {
	for key, until := range s.orderKeyBlockedUntil {
		if s.now >= until {
			delete(s.orderKeyBlockedUntil, key)
		}
	}
}
