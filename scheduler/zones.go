package scheduler

import "slices"

// remoteZone is a zone that is not near, with the threads of this controller's attempts there.
type remoteZone struct {
	ZoneReach
	threads int
}

// updateReach takes which zones are remote; all others are near.
func (s *Scheduler) updateReach(reaches []ZoneReach) {
	s.remoteZones = s.remoteZones[:0]
	for _, reach := range reaches {
		s.remoteZones = append(s.remoteZones, remoteZone{ZoneReach: reach})
	}
	s.recountRemoteThreads()
	s.dispatchNeeded = true
}

// recountRemoteThreads counts the threads in remote zones anew: executors may have come, or moved.
func (s *Scheduler) recountRemoteThreads() {
	for i := range s.remoteZones {
		zone := &s.remoteZones[i]
		zone.threads = 0
		for index := range s.executors {
			if s.executors[index].zone == zone.Zone {
				zone.threads += s.executors[index].threads
			}
		}
	}
}

// addRemoteThreads counts threads that went to a zone, or came back.
func (s *Scheduler) addRemoteThreads(name string, threads int) {
	for i := range s.remoteZones {
		if s.remoteZones[i].Zone == name {
			s.remoteZones[i].threads += threads
		}
	}
}

// remoteZoneFor returns a zone if it is remote for a class, otherwise nil.
func (s *Scheduler) remoteZoneFor(class *classState, name string) *remoteZone {
	for i := range s.remoteZones {
		zone := &s.remoteZones[i]
		if zone.Zone == name && !zone.isNearFor(class) {
			return zone
		}
	}
	return nil
}

// tier returns the tier of a zone; that of nil, a near one, is 0.
func (z *remoteZone) tier() int {
	if z == nil {
		return 0
	}
	return z.Tier
}

// isNearFor reports whether a class runs only on kinds for which the zone counts as near.
func (z *ZoneReach) isNearFor(class *classState) bool {
	if class.kinds == nil || len(z.ExclusiveKinds) == 0 {
		return false
	}
	for _, kind := range class.kinds {
		if !slices.Contains(z.ExclusiveKinds, kind) {
			return false
		}
	}
	return true
}

// allows reports whether a list of permitted names holds a name; nil permits all.
func allows(names []string, name string) bool { return names == nil || slices.Contains(names, name) }
