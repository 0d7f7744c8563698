package scheduler

import "slices"

// remoteZone is a zone to which only limited traffic may be sent, with the threads in use there.
type remoteZone struct {
	ZoneReach
	threads int // of this controller's attempts
}

// updateRemoteZones replaces the remote zones. If the own zone is named, all others are closed: a zone may appear in the
// endpoint list before its limit is known. Otherwise they are near.
func (s *Scheduler) updateRemoteZones(ev *Event) {
	s.ownZone = ev.OwnZone
	s.remoteZones = s.remoteZones[:0]
	for _, zone := range ev.RemoteZones {
		s.remoteZones = append(s.remoteZones, remoteZone{ZoneReach: zone})
	}
	s.recountRemoteThreads()
	s.dispatchNeeded = true
}

// recountRemoteThreads recounts the threads in remote zones after the set of zones or of executors has changed.
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

// addRemoteThreads adds threads to those in use in a zone, if it is remote. A negative number releases threads.
func (s *Scheduler) addRemoteThreads(name string, threads int) {
	for i := range s.remoteZones {
		if s.remoteZones[i].Zone == name {
			s.remoteZones[i].threads += threads
		}
	}
}

// closedZone stands for each zone whose limit is not known. It has no capacity.
var closedZone remoteZone

// remoteZoneFor returns the zone with a name if it is remote for a class, otherwise nil.
func (s *Scheduler) remoteZoneFor(class *classState, name string) *remoteZone {
	for i := range s.remoteZones {
		zone := &s.remoteZones[i]
		if zone.Zone != name {
			continue
		}
		if zone.isNearFor(class) {
			return nil
		}
		return zone
	}
	if s.ownZone != "" && name != s.ownZone {
		return &closedZone
	}
	return nil
}

// tier returns the tier of a zone. Near zones, for which z is nil, have tier 0.
func (z *remoteZone) tier() int {
	if z == nil {
		return 0
	}
	return z.Tier
}

// isNearFor reports whether the zone counts as near for a class: all kinds of the class are exclusive to the zone.
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

// allows reports whether a list of permitted names contains a name. A nil list permits all names.
func allows(names []string, name string) bool { return names == nil || slices.Contains(names, name) }
