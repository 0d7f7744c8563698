package localityagent

import (
	"liftshift/internal/dispatch"
	"liftshift/internal/locality"
	"liftshift/scheduler"
)

const (
	observationIntervalMS = 90    // least time between two observations; below the interval of the loop's ticks
	evidenceMaxAgeMS      = 10000 // how long an attempt's progress or a load report is evidence of an executor
)

// collector keeps what the dispatch loop knows of executors and requests. It belongs to that loop's goroutine.
type collector struct {
	endpoints       map[uint32]scheduler.Endpoint // by executor
	coresByKind     map[string]float64            // cores of an executor of the kind
	threadsByClass  map[string]float64            // threads of a request of the class
	demandThreads   float64                       // threads of all open requests
	listUnavailable bool
	observedAt      float64 // time of the last observation
	appliedVersion  uint64  // version of the limits that the scheduler has applied
}

func newCollector(settings *scheduler.Settings) collector {
	c := collector{
		endpoints:      map[uint32]scheduler.Endpoint{},
		coresByKind:    map[string]float64{},
		threadsByClass: map[string]float64{},
	}
	for _, kind := range settings.Kinds {
		c.coresByKind[kind.Name] = kind.Cores
	}
	for _, class := range settings.Classes {
		c.threadsByClass[class.Name] = float64(max(1, class.Threads))
	}
	return c
}

// Handle implements dispatch.Extension. It keeps track of the open requests and the endpoints and, on ticks, passes an
// observation to the monitor.
func (a *Agent) Handle(now float64, ev *dispatch.Event, out []dispatch.Command) []dispatch.Command {
	c := &a.collector
	switch ev.Kind {
	case dispatch.RequestAdmitted:
		c.demandThreads += c.threadsByClass[ev.Request.Class]
	case dispatch.RequestClosed:
		c.demandThreads = max(0, c.demandThreads-c.threadsByClass[ev.Request.Class])
	case dispatch.EndpointsUpdated:
		c.listUnavailable = false
		c.updateEndpoints(ev.EndpointsUpdate)
	case dispatch.ListUnavailable:
		c.listUnavailable = true
	case dispatch.Ticked:
		if now < c.observedAt+observationIntervalMS {
			break
		}
		c.observedAt = now
		executors, _ := ev.SchedulerState()
		observed := &locality.Event{Kind: locality.Observed, DemandThreads: c.demandThreads,
			ListUnavailable: c.listUnavailable, AppliedReachVersion: c.appliedVersion, Executors: c.executors(executors)}
		// Post blocks while the transport's queue is full, and the dispatch loop must not block.
		go a.transport.Post(func(now float64) { a.step(now, observed) })
	}
	return out
}

// executors translates the scheduler's views of the executors whose endpoint is known.
func (c *collector) executors(views []scheduler.ExecutorView) (executors []locality.Executor) {
	for k := range views {
		view := &views[k]
		endpoint, known := c.endpoints[view.Executor]
		if !known {
			continue
		}
		executors = append(executors, locality.Executor{Zone: endpoint.Zone, Kind: endpoint.Kind,
			Cores: max(1, c.coresByKind[endpoint.Kind]), Listed: view.Availability == scheduler.Active,
			HasEvidence: hasEvidence(view), Ejected: view.Ejected, WarmingUp: view.WarmingUp,
			InFlight: float64(view.Threads)})
	}
	return executors
}

// hasEvidence reports whether the scheduler has recent evidence of an executor's health, good or bad.
func hasEvidence(view *scheduler.ExecutorView) bool {
	isInUse := view.Ejected || view.ConsecutiveFailures > 0 || view.InFlight > 0
	return isInUse || isRecent(view.SinceActivityMS) || isRecent(view.SinceReportMS)
}

// isRecent reports whether an event happened within evidenceMaxAgeMS. A negative time means that it never happened.
func isRecent(sinceMS float64) bool { return sinceMS >= 0 && sinceMS < evidenceMaxAgeMS }

// updateEndpoints applies a complete endpoint list, or changes to the current one.
func (c *collector) updateEndpoints(update *scheduler.Event) {
	if update.List != scheduler.ListDelta {
		clear(c.endpoints)
	}
	for _, endpoint := range update.Endpoints {
		delete(c.endpoints, endpoint.Executor)
		if endpoint.Availability != scheduler.Removed {
			c.endpoints[endpoint.Executor] = endpoint
		}
	}
}
