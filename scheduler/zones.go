package scheduler

import "slices"

// reached is a place that is not simply near, with the threads of this instance's attempts there.
type reached struct {
	ZoneReach
	out int
}

// reach takes over how far places are.
func (g *Scheduler) reach(list []ZoneReach) {
	g.reaches, g.dirty = g.reaches[:0], true
	for _, r := range list {
		g.reaches = append(g.reaches, reached{ZoneReach: r})
	}
	g.recountOut()
}

// recountOut counts what is out at each place: executors may have come, or moved.
func (g *Scheduler) recountOut() {
	for k := range g.reaches {
		g.reaches[k].out = 0
		for x := range g.executors {
			if g.executors[x].place == g.reaches[k].Zone {
				g.reaches[k].out += g.executors[x].threads
			}
		}
	}
}

// lent counts threads that went out to a place, or came back.
func (g *Scheduler) lent(place string, threads int) {
	for k := range g.reaches {
		if g.reaches[k].Zone == place {
			g.reaches[k].out += threads
		}
	}
}

// far gives how far a place is for an offering, or nil: it is near.
func (g *Scheduler) far(o *offering, place string) *reached {
	for k := range g.reaches {
		if r := &g.reaches[k]; r.Zone == place && !r.free(o) {
			return r
		}
	}
	return nil
}

func (r *reached) tier() int {
	if r == nil {
		return 0
	}
	return r.Tier
}

// free tells whether an offering runs on kinds alone that are free at a place.
func (r *ZoneReach) free(o *offering) bool {
	return o.kinds != nil && len(r.ExclusiveKinds) > 0 && !slices.ContainsFunc(o.kinds, func(k string) bool { return !slices.Contains(r.ExclusiveKinds, k) })
}

// among tells whether a name is in a list that binds; no list binds nothing.
func among(list []string, name string) bool { return list == nil || slices.Contains(list, name) }
