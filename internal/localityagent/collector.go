package localityagent

import (
	"liftshift/internal/dispatch"
	"liftshift/internal/locality"
	"liftshift/scheduler"
)

const (
	observeMS  = 90    // between two observations: with each tick of the dispatch loop
	evidenceMS = 10000 // for which an attempt's progress or a load report is evidence of an executor
)

// collector keeps what the dispatch loop knows of executors and requests. It belongs to that loop's goroutine.
type collector struct {
	endpoints       map[uint32]scheduler.Endpoint
	coresByKind     map[string]float64 // of an executor
	threadsByClass  map[string]float64 // of a request
	demandThreads   float64            // of all requests in hand
	listUnavailable bool
	observedAt      float64
	appliedVersion  uint64 // of the limits that the scheduler has
}

func newCollector(settings *scheduler.Settings) collector {
	c := collector{endpoints: map[uint32]scheduler.Endpoint{}, coresByKind: map[string]float64{}, threadsByClass: map[string]float64{}}
	for _, kind := range settings.Kinds {
		c.coresByKind[kind.Name] = kind.Cores
	}
	for _, class := range settings.Classes {
		c.threadsByClass[class.Name] = float64(max(1, class.Threads))
	}
	return c
}

// Handle implements dispatch.Extension: it keeps track of requests and endpoints, and passes an observation to the monitor with each tick.
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
		if now < c.observedAt+observeMS {
			break
		}
		c.observedAt = now
		executors, _ := ev.SchedulerState()
		observed := &locality.Event{Kind: locality.Observed, DemandThreads: c.demandThreads, WithoutList: c.listUnavailable,
			Applied: c.appliedVersion, Executors: c.executors(executors)}
		go a.transport.Post(func(now float64) { a.step(now, observed) }) // the dispatch loop must not wait
	}
	return out
}

// executors returns the executors whose endpoint is known.
func (c *collector) executors(views []scheduler.ExecutorView) (list []locality.Executor) {
	for k := range views {
		v := &views[k]
		endpoint, known := c.endpoints[v.Executor]
		if !known {
			continue
		}
		list = append(list, locality.Executor{Zone: endpoint.Zone, Kind: endpoint.Kind, Cores: max(1, c.coresByKind[endpoint.Kind]),
			Listed: v.Availability == scheduler.Active, Known: hasEvidence(v), Ejected: v.Ejected, WarmingUp: v.WarmingUp,
			InFlight: float64(v.Threads)})
	}
	return list
}

// hasEvidence reports whether the scheduler knows anything recent of an executor.
func hasEvidence(v *scheduler.ExecutorView) bool {
	isInUse := v.Ejected || v.ConsecutiveFailures > 0 || v.InFlight > 0
	return isInUse || isRecent(v.SinceActivityMS) || isRecent(v.SinceReportMS)
}

// isRecent reports whether something happened within evidenceMS. Below 0, it never did.
func isRecent(sinceMS float64) bool { return sinceMS >= 0 && sinceMS < evidenceMS }

// updateEndpoints takes a complete endpoint list, or changes to it.
func (c *collector) updateEndpoints(list *scheduler.Event) {
	if list.List != scheduler.ListDelta {
		clear(c.endpoints)
	}
	for _, endpoint := range list.Endpoints {
		delete(c.endpoints, endpoint.Executor)
		if endpoint.Availability != scheduler.Removed {
			c.endpoints[endpoint.Executor] = endpoint
		}
	}
}
