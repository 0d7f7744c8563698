package scheduler

import "slices"

// remoteZone is a place that is not simply near, with the threads of this instance's attempts there.
type remoteZone struct {
	ZoneReach
	threads int
}

// updateReach takes over how far places are.
func (s *Scheduler) updateReach(list []ZoneReach) {
	s.remoteZones, s.dispatchNeeded = s.remoteZones[:0], true
	for _, r := range list {
		s.remoteZones = append(s.remoteZones, remoteZone{ZoneReach: r})
	}
	s.recountRemoteThreads()
}

// recountRemoteThreads counts what is out at each place: executors may have come, or moved.
func (s *Scheduler) recountRemoteThreads() {
	for k := range s.remoteZones {
		s.remoteZones[k].threads = 0
		for index := range s.executors {
			if s.executors[index].zone == s.remoteZones[k].Zone {
				s.remoteZones[k].threads += s.executors[index].threads
			}
		}
	}
}

// addRemoteThreads counts threads that went out to a place, or came back.
func (s *Scheduler) addRemoteThreads(place string, threads int) {
	for k := range s.remoteZones {
		if s.remoteZones[k].Zone == place {
			s.remoteZones[k].threads += threads
		}
	}
}

// remoteZoneFor gives how far a place is for an offering, or nil: it is near.
func (s *Scheduler) remoteZoneFor(class *classState, place string) *remoteZone {
	for k := range s.remoteZones {
		if zone := &s.remoteZones[k]; zone.Zone == place && !zone.isNearFor(class) {
			return zone
		}
	}
	return nil
}

func (zone *remoteZone) tier() int {
	if zone == nil {
		return 0
	}
	return zone.Tier
}

// isNearFor tells whether an offering runs on kinds alone that are free at a place.
func (z *ZoneReach) isNearFor(class *classState) bool {
	return class.kinds != nil && len(z.ExclusiveKinds) > 0 && !slices.ContainsFunc(class.kinds, func(k string) bool { return !slices.Contains(z.ExclusiveKinds, k) })
}

// among tells whether a name is in a list that binds; no list binds nothing.
func among(list []string, name string) bool { return list == nil || slices.Contains(list, name) }
