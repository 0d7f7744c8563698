package scheduler

// testSettings is a deployment with one class of each effect.
func testSettings(changes ...func(*Settings)) Settings {
	s := DefaultSettings()
	s.MaxAttempts, s.MayCancel, s.MayHealthCheck = 4, true, true
	s.HonorsGrants, s.ProgressEveryMS = true, 1000
	s.WarmupMS, s.ColdCapacity, s.CollapseMultiple, s.CollapseWindowMS = 10000, 0.3, 3, 2000
	s.NamesRetryAfter, s.MaxRetryAfterMS = true, 500
	s.Kinds = []ExecutorKind{{Name: "big", Cores: 8, MemoryMB: 16000}, {Name: "odd", Cores: 8, MemoryMB: 16000}}
	for _, c := range []RequestClass{{Name: "read", Effect: Idempotent}, {Name: "mark", Effect: Keyed}, {Name: "once", Effect: NonIdempotent}} {
		c.DedupScope, c.DedupWindowMS = DedupAll, 5000
		c.SoftDeadlineMS, c.Value, c.LateShare, c.Threads = 1000, 1, 0.5, 1
		s.Classes = append(s.Classes, c)
	}
	for _, change := range changes {
		if change != nil {
			change(&s)
		}
	}
	return s
}

// gateway is an instance at 1000 ms that knows the executors 1 to n.
func gateway(n int, changes ...func(*Settings)) *Scheduler {
	s := New(7, testSettings(changes...))
	s.startedAt = -1e6 // long ago
	var list []Endpoint
	for slot := range n {
		list = append(list, Endpoint{Executor: uint32(slot + 1), Zone: "here", Kind: "big"})
	}
	s.Step(1000, &Event{Kind: EndpointsUpdated, List: ListRestored, Endpoints: list}, nil)
	return s
}

// take hands g a request of 100 ms that has until 9000.
func take(s *Scheduler, now float64, id, offering string) []Action {
	ev := Event{Kind: RequestArrived, Request: id, Class: offering, MemoryMB: 100, WorkMS: 100, Deadline: 9000}
	return s.Step(now, &ev, nil)
}

func ended(s *Scheduler, now float64, id string, n int, o Outcome) []Action {
	return s.Step(now, &Event{Kind: AttemptEnded, Request: id, Attempt: n, Outcome: o, Final: o == Succeeded}, nil)
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
func beat(s *Scheduler, now float64) []Action {
	s.tickedAt = now - tickMS
	return s.Step(now, &Event{Kind: TimerFired}, nil)
}
