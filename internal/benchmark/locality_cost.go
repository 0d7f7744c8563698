package benchmark

import (
	"fmt"

	"liftshift/scheduler"
)

// reachCost returns the ratio of the time that the scheduler takes to choose an executor with remote zones to the time
// that it takes without them.
func reachCost() float64 {
	seconds := compareMedians(
		choiceTime([]scheduler.ZoneReach{{Zone: "z1", Tier: 1, Capacity: 8}, {Zone: "z2", Tier: 1, Capacity: 8}}),
		choiceTime(nil))
	return seconds[0] / seconds[1]
}

// choiceTime returns a function that measures how long a scheduler with some remote zones takes for 2000 requests.
func choiceTime(remoteZones []scheduler.ZoneReach) func() float64 {
	settings := scheduler.DefaultSettings()
	settings.Controllers = 3
	settings.Kinds = []scheduler.ExecutorKind{{Name: "big", Cores: 8, MemoryMB: 65536}}
	look := scheduler.DefaultClass("look", scheduler.Idempotent)
	look.SoftDeadlineMS, look.DeadlineMS = 1000, 5000
	settings.Classes = []scheduler.RequestClass{look}
	sched := scheduler.New(1, settings)
	update := scheduler.Event{Kind: scheduler.EndpointsUpdated, List: scheduler.ListComplete}
	for k := range 60 {
		endpoint := scheduler.Endpoint{Executor: uint32(k + 1), Zone: fmt.Sprint("z", k%3), Kind: "big"}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	sched.Step(1, &update, nil)
	sched.Step(1, &scheduler.Event{Kind: scheduler.ReachabilityChanged, RemoteZones: remoteZones}, nil)
	n := 0
	return func() float64 {
		return elapsedSeconds(func() {
			for range 2000 {
				n++
				id, now := fmt.Sprint(n), float64(1000+n)
				sched.Step(now, &scheduler.Event{Kind: scheduler.RequestArrived, Request: id, Class: "look",
					TableGroup: uint64(n), WorkMS: 10, Deadline: now + 5000}, nil)
				sched.Step(now, &scheduler.Event{Kind: scheduler.AttemptEnded, Request: id,
					Outcome: scheduler.Succeeded, Final: true}, nil)
			}
		})
	}
}
