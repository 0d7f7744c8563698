package scheduler

// given is a deployment with one offering of each effect.
func given(more Given) Given {
	g := Given{
		"controllers": 1.0, "most_shots": 4.0, "may_call_off": true, "may_probe": true, "priorities": true,
		"grants": true, "told_every_ms": 1000.0, "warm_up_ms": 10000.0, "cold_from": 0.3, "fall_multiple": 3.0,
		"fall_ms": 2000.0, "tells_come_back": true, "longest_come_back_ms": 500.0,
		"kind.0.name": "big", "kind.0.cores": 8.0, "kind.0.ram_mb": 16000.0,
		"kind.1.name": "odd", "kind.1.cores": 8.0, "kind.1.ram_mb": 16000.0,
	}
	for i, o := range []struct{ name, effect string }{
		{"read", "redoable"}, {"mark", "labelled"}, {"once", "irreversible"},
	} {
		at := "offering." + string(rune('0'+i)) + "."
		g[at+"name"], g[at+"effect"], g[at+"scope"], g[at+"window_ms"] = o.name, o.effect, "all", 5000.0
		g[at+"due_ms"], g[at+"gain"], g[at+"late_share"], g[at+"threads"] = 1000.0, 1.0, 0.5, 1.0
	}
	for k, v := range more {
		g[k] = v
	}
	return g
}

// gateway is an instance at 1000 ms that knows the executors 1 to n.
func gateway(n int, more Given) *Scheduler {
	g := New(7, given(more))
	g.began = -1e6 // long ago
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Executor: uint32(i + 1), Zone: "here", Kind: "big"})
	}
	g.Step(1000, &Event{Kind: EndpointsUpdated, List: ListRestored, Endpoints: list}, nil)
	return g
}

// take hands g a request of 100 ms that has until 9000.
func take(g *Scheduler, now float64, id, offering string) []Action {
	ev := Event{Kind: RequestArrived, Request: id, Class: offering, MemoryMB: 100, WorkMS: 100, Deadline: 9000}
	return g.Step(now, &ev, nil)
}

func ended(g *Scheduler, now float64, id string, n int, o Outcome) []Action {
	return g.Step(now, &Event{Kind: AttemptEnded, Request: id, Attempt: n, Outcome: o, Final: o == Succeeded}, nil)
}

// kinds are the actions' kinds, wake-ups left out.
func kinds(actions []Action) (k []ActionKind) {
	for _, a := range actions {
		if a.Kind != SetTimer {
			k = append(k, a.Kind)
		}
	}
	return k
}

// beat lets g look at what runs, one beat after the last.
func beat(g *Scheduler, now float64) []Action {
	g.beatAt = now - beatMS
	return g.Step(now, &Event{Kind: TimerFired}, nil)
}
