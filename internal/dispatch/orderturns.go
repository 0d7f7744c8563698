package dispatch

import (
	"cmp"
	"slices"

	"liftshift/scheduler"
)

// orderTurnMarginMS is the time before its deadline, or that of a shutdown, at which a request no longer waits for its
// turn: a tick, and what is left for its answer.
const orderTurnMarginMS = 250

// orderTurn is a request that waits for its turn among those with its order key.
type orderTurn struct {
	request *Request
	arrival *scheduler.Event // of the request once nothing but its turn holds it up; nil before
}

// orderTurns are the suspended requests that have an order key, by that key and in the order of their arrival. The
// scheduler keeps the order in which it gets requests; while they are suspended, this does.
type orderTurns map[string][]orderTurn

// add puts a request that arrives behind all others with its order key.
func (t orderTurns) add(request *Request) {
	if request.OrderKey != "" {
		t[request.OrderKey] = append(t[request.OrderKey], orderTurn{request: request})
	}
}

// find returns the turn of a request, or nil if it has none.
func (t orderTurns) find(request *Request) *orderTurn {
	turns := t[request.OrderKey]
	i := slices.IndexFunc(turns, func(turn orderTurn) bool { return turn.request == request })
	if i < 0 {
		return nil
	}
	return &turns[i]
}

// isFirst returns whether no earlier request with the order key of a request waits.
func (t orderTurns) isFirst(request *Request) bool {
	turns := t[request.OrderKey]
	return len(turns) == 0 || turns[0].request == request
}

// remove ends the turn of a request.
func (t orderTurns) remove(request *Request) {
	turns := slices.DeleteFunc(t[request.OrderKey], func(turn orderTurn) bool { return turn.request == request })
	if len(turns) == 0 {
		delete(t, request.OrderKey)
		return
	}
	t[request.OrderKey] = turns
}

// resumeInTurn queues the arrival of a suspended request, or has the request wait for its turn.
func (l *Loop) resumeInTurn(request *Request, arrival scheduler.Event) {
	if !l.orderTurns.isFirst(request) && !l.turnIsOverdue(request, l.clock.Now()) {
		l.orderTurns.find(request).arrival = &arrival
		return
	}
	arrival.Blocked = arrival.Blocked || !l.orderTurns.isFirst(request)
	l.takeSuspended(request.ID)
	l.queueResumed(request, arrival)
	l.passTurn(request.OrderKey)
}

// passTurn queues the arrivals of the requests with an order key that waited only for earlier ones that are gone.
func (l *Loop) passTurn(key string) {
	for turns := l.orderTurns[key]; len(turns) > 0 && turns[0].arrival != nil; turns = l.orderTurns[key] {
		first := turns[0]
		l.takeSuspended(first.request.ID)
		l.queueResumed(first.request, *first.arrival)
	}
}

// waitsOnlyForTurn returns whether a suspended request would have been resumed but for earlier ones with its order key.
func (l *Loop) waitsOnlyForTurn(request *Request) bool {
	turn := l.orderTurns.find(request)
	return turn != nil && turn.arrival != nil
}

// resumeBlocked queues the arrival of a request that waits only for its turn. It may not be sent, as an earlier one has
// not been.
func (l *Loop) resumeBlocked(request *Request) {
	arrival := *l.orderTurns.find(request).arrival
	arrival.Blocked = true
	l.takeSuspended(request.ID)
	l.queueResumed(request, arrival)
}

// turnIsOverdue returns whether a request has no time left to wait for its turn.
func (l *Loop) turnIsOverdue(request *Request, now float64) bool {
	return now >= min(request.Deadline, l.shutdownDeadline)-orderTurnMarginMS
}

// resumeOverdueTurns resumes the requests that have no time left to wait for their turn.
func (l *Loop) resumeOverdueTurns(now float64) {
	var overdue []*Request
	for _, turns := range l.orderTurns {
		for _, turn := range turns {
			if turn.arrival != nil && l.turnIsOverdue(turn.request, now) {
				overdue = append(overdue, turn.request)
			}
		}
	}
	slices.SortFunc(overdue, func(a, b *Request) int { return cmp.Compare(a.ID, b.ID) })
	for _, request := range overdue {
		l.resumeBlocked(request)
	}
}
