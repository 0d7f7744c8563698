package discovery

import "liftshift/scheduler"

// listUpdate is an update of the endpoint list for the event loop. It may stand for several changes of one page.
type listUpdate struct {
	event     scheduler.Event
	executors map[uint32]bool // those that the event is about
}

func newListUpdate(event scheduler.Event) listUpdate {
	update := listUpdate{event: event, executors: make(map[uint32]bool, len(event.Endpoints))}
	for _, endpoint := range event.Endpoints {
		update.executors[endpoint.Executor] = true
	}
	return update
}

// appendUpdate appends an update, or adds it to the last one if the two can be applied as one: the scheduler then acts
// only on what the list says after both.
func appendUpdate(updates []listUpdate, next listUpdate) []listUpdate {
	if len(updates) == 0 || !updates[len(updates)-1].canInclude(&next) {
		return append(updates, next)
	}
	updates[len(updates)-1].include(&next)
	return updates
}

// canInclude returns whether an update can be followed by the next one in the same event. An executor that both are
// about has to change step by step, and a complete list begins a new event.
func (u *listUpdate) canInclude(next *listUpdate) bool {
	if next.event.List != scheduler.ListDelta {
		return false
	}
	for executor := range next.executors {
		if u.executors[executor] {
			return false
		}
	}
	return true
}

// include adds the next update to an update.
func (u *listUpdate) include(next *listUpdate) {
	u.event.ListVersion = next.event.ListVersion
	u.event.Endpoints = append(u.event.Endpoints, next.event.Endpoints...)
	for executor := range next.executors {
		u.executors[executor] = true
	}
}
