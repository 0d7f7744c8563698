package scheduler

// Step takes one event and appends what is to be done about it.
func (g *Gateway) Step(now float64, ev *Event, out []Action) []Action {
	g.now, g.out = now, out
	switch ev.Kind {
	case Began:
		g.began = now
		g.do(Action{Kind: Wake, AfterMS: beatMS})
	case Listed:
		g.list(ev)
	case Taken:
		g.take(ev)
	case Left:
		if i, ok := g.slab.find(ev.Request); ok && ev.HalfClosed {
			g.request(i, hopeless)
		} else if ok {
			g.request(i, finished)
		}
	case Ended, Noted, Streaming:
		if i, h := g.attemptOf(ev); h != nil && ev.Kind == Ended {
			g.ended(i, h, ev)
		} else if h != nil && ev.Kind == Noted {
			g.note(i, h, ev)
		} else if h != nil {
			g.slab.places[i].bound = true
		}
	case Probed:
		g.probed(ev)
	case Rang:
		g.beat()
		g.tell()
	case Pressed:
		if i, ok := g.slab.find(ev.Request); ok {
			g.press(i, ev)
		}
	case Kept:
		g.recall(ev)
	case Closing:
		g.stop(ev.Until)
	case Counted:
		g.present = ev.Value
		g.reckonShare()
	case Opened:
		g.reach(ev.Reaches)
	case Heard:
		g.heard(ev.FromPeer, ev.Data)
	}
	if g.dirty && g.placeNow() {
		g.place()
	}
	out, g.out = g.out, nil
	return out
}
