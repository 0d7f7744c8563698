package scheduler

// testSettings is a deployment with one class of each effect.
func testSettings(changes ...func(*Settings)) Settings {
	s := DefaultSettings()
	s.MaxAttempts, s.MayCancel, s.MayHealthCheck = 4, true, true
	s.HonorsGrants, s.ProgressEveryMS = true, 1000
	s.WarmupMS, s.ColdCapacity, s.CollapseMultiple, s.CollapseWindowMS = 10000, 0.3, 3, 2000
	s.NamesRetryAfter, s.MaxRetryAfterMS = true, 500
	s.Kinds = []ExecutorKind{{Name: "big", Cores: 8, MemoryMB: 16000}, {Name: "odd", Cores: 8, MemoryMB: 16000}}
	for _, c := range []RequestClass{{Name: "read", Effect: Idempotent}, {Name: "keyed", Effect: Keyed}, {Name: "unsafe", Effect: NonIdempotent}} {
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

// newTestScheduler returns an instance at 1000 ms that knows the executors 1 to n.
func newTestScheduler(n int, changes ...func(*Settings)) *Scheduler {
	s := New(7, testSettings(changes...))
	s.startedAt = -1e6 // long ago
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Executor: uint32(i + 1), Zone: "here", Kind: "big"})
	}
	s.Step(1000, &Event{Kind: EndpointsUpdated, List: ListRestored, Endpoints: list}, nil)
	return s
}

// arrive hands an instance a request of 100 ms with the deadline 9000.
func arrive(s *Scheduler, now float64, id, class string) []Action {
	ev := Event{Kind: RequestArrived, Request: id, Class: class, MemoryMB: 100, WorkMS: 100, Deadline: 9000}
	return s.Step(now, &ev, nil)
}

// endAttempt ends an attempt at a request.
func endAttempt(s *Scheduler, now float64, id string, n int, o Outcome) []Action {
	return s.Step(now, &Event{Kind: AttemptEnded, Request: id, Attempt: n, Outcome: o, Final: o == Succeeded}, nil)
}

// actionKinds returns the kinds of actions, timers left out.
func actionKinds(actions []Action) (k []ActionKind) {
	for _, a := range actions {
		if a.Kind != SetTimer {
			k = append(k, a.Kind)
		}
	}
	return k
}

// tickAt lets an instance tick as if the last tick had been one interval before.
func tickAt(s *Scheduler, now float64) []Action {
	s.tickedAt = now - tickMS
	return s.Step(now, &Event{Kind: TimerFired}, nil)
}

// newSmallShareScheduler returns an instance whose share of each of n executors is far below one thread.
func newSmallShareScheduler(n int, change func(*Settings)) *Scheduler {
	s := newTestScheduler(n, change)
	s.settings.Controllers, s.settings.ControllerIndex = 200, 0
	s.updateTrafficShare()
	return s
}
