package scheduler

// earlier tells whether an earlier request of the same key is still in hand.
func (g *Scheduler) earlier(s *request) bool {
	for k := range g.slab.places {
		if t := &g.slab.places[k]; t.used && t.seq < s.seq && t.key == s.key {
			return true
		}
	}
	return false
}

// endRests forgets the keys that rest no longer.
func (g *Scheduler) endRests() {
	for key, until := range g.rests {
		if g.now >= until {
			delete(g.rests, key)
		}
	}
}
