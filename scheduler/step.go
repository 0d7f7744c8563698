package scheduler

// Step takes one event and appends what is to be done about it.
func (g *Scheduler) Step(now float64, ev *Event, out []Action) []Action {
	g.now, g.out = now, out
	switch ev.Kind {
	case Started:
		g.began = now
		g.do(Action{Kind: SetTimer, AfterMS: beatMS})
	case EndpointsUpdated:
		g.list(ev)
	case RequestArrived:
		g.take(ev)
	case ClientLeft:
		if i, ok := g.slab.find(ev.Request); ok && ev.HalfClosed {
			g.request(i, hopeless)
		} else if ok {
			g.request(i, finished)
		}
	case AttemptEnded, ProgressReported, ResponseStarted:
		if i, h := g.attemptOf(ev); h != nil && ev.Kind == AttemptEnded {
			g.ended(i, h, ev)
		} else if h != nil && ev.Kind == ProgressReported {
			g.note(i, h, ev)
		} else if h != nil {
			g.slab.places[i].bound = true
		}
	case HealthChecked:
		g.probed(ev)
	case TimerFired:
		g.beat()
		g.tell()
	case PriorityCapped:
		if i, ok := g.slab.find(ev.Request); ok {
			g.press(i, ev)
		}
	case StateRestored:
		g.recall(ev)
	case ShutdownStarted:
		g.stop(ev.Deadline)
	case ControllersCounted:
		g.present = ev.Value
		g.reckonShare()
	case ReachabilityChanged:
		g.reach(ev.Reaches)
	case PeerMessage:
		g.heard(ev.FromPeer, ev.Payload)
	}
	if g.dirty && g.placeNow() {
		g.place()
	}
	out, g.out = g.out, nil
	return out
}
