package benchmark

import (
	"fmt"

	"liftshift/scheduler"
)

// reachCost returns what the choice of an executor costs with reachable zones, against without.
func reachCost() float64 {
	cost := func(reaches []scheduler.ZoneReach) func() float64 {
		settings := scheduler.DefaultSettings()
		settings.Controllers = 3
		settings.Kinds = []scheduler.ExecutorKind{{Name: "big", Cores: 8, MemoryMB: 65536}}
		look := scheduler.DefaultClass("look", scheduler.Idempotent)
		look.SoftDeadlineMS, look.DeadlineMS = 1000, 5000
		settings.Classes = []scheduler.RequestClass{look}
		g := scheduler.New(1, settings)
		ev := scheduler.Event{Kind: scheduler.EndpointsUpdated, List: scheduler.ListComplete}
		for k := range 60 {
			ev.Endpoints = append(ev.Endpoints, scheduler.Endpoint{Executor: uint32(k + 1), Zone: fmt.Sprint("z", k%3), Kind: "big"})
		}
		g.Step(1, &ev, nil)
		g.Step(1, &scheduler.Event{Kind: scheduler.ReachabilityChanged, RemoteZones: reaches}, nil)
		n := 0
		return func() float64 {
			return elapsedSeconds(func() {
				for range 2000 {
					n++
					id, now := fmt.Sprint(n), float64(1000+n)
					g.Step(now, &scheduler.Event{Kind: scheduler.RequestArrived, Request: id, Class: "look", TableGroup: uint64(n), WorkMS: 10, Deadline: now + 5000}, nil)
					g.Step(now, &scheduler.Event{Kind: scheduler.AttemptEnded, Request: id, Outcome: scheduler.Succeeded, Final: true}, nil)
				}
			})
		}
	}
	s := compareMedians(cost([]scheduler.ZoneReach{{Zone: "z1", Tier: 1, Capacity: 8}, {Zone: "z2", Tier: 1, Capacity: 8}}), cost(nil))
	return s[0] / s[1]
}
