package clustersim

import (
	"fmt"
	"slices"

	"liftshift/internal/locality"
	"liftshift/scheduler"
)

// agreedPlan is a plan with the time at which the controllers agreed on it.
type agreedPlan struct {
	at   float64
	plan locality.Plan
}

const (
	planLeader       = 1      // index of the leading controller, which is not in the lost zone
	agreementMS      = 20.0   // time that a consensus group takes to agree on a plan
	maxEvidenceAgeMS = 10_000 // age from which the knowledge of an executor is out of date
)

// Intervals of the monitors, in steps of localityStepMS.
const (
	monitorIntervalSteps = 5
	observeIntervalSteps = 10
	reportIntervalSteps  = 50 // no observation is made in these steps
	memberIntervalSteps  = 25
	confirmIntervalSteps = 100 // between two confirmations of the plan by a controller
	confirmSlots         = 20  // the controllers spread their confirmations over this many slots of an interval
)

// isCutOff reports whether a controller can't reach any other controller.
func (s *localitySim) isCutOff(controllerIndex int) bool {
	return s.now >= s.LostAtMS && s.zoneOf(controllerIndex) == 0 && controllerIndex/s.Zones < s.CutOffControllers
}

// currentPlan returns the latest agreed plan, or an empty plan if there is none.
func (s *localitySim) currentPlan() locality.Plan {
	if len(s.agreed) == 0 {
		return locality.Plan{}
	}
	return s.agreed[len(s.agreed)-1].plan
}

// runMonitors passes observations, members, plan confirmations and ticks to all monitors, each at its interval. There
// is no consensus group: see proposePlan.
func (s *localitySim) runMonitors(step int) {
	if step%monitorIntervalSteps != 0 {
		return
	}
	var members []locality.Member
	for k := range s.controllers {
		members = append(members, locality.Member{
			Name: controllerName(k), Zone: zoneName(s.zoneOf(k)), Region: "r", Live: !s.isCutOff(k),
		})
	}
	for k := range s.controllers {
		if step%observeIntervalSteps == 0 && step%reportIntervalSteps != 0 {
			s.stepMonitor(k, s.observation(k))
		}
		if step%memberIntervalSteps == 0 {
			s.sendMembers(k, members)
		}
		if step%confirmIntervalSteps == k%confirmSlots*monitorIntervalSteps && !s.isCutOff(k) {
			number := s.currentPlan().Number
			if s.Policy == Uncoordinated {
				number = s.controllers[k].monitor.Plan().Number
			}
			s.stepMonitor(k, &locality.Event{Kind: locality.PlanConfirmed, Number: number, RequestedAt: s.now})
		}
		s.stepMonitor(k, &locality.Event{Kind: locality.Ticked, UnixMS: int64(s.now)})
	}
}

// sendMembers passes the members and an observation to a controller's monitor. With the Uncoordinated policy each
// controller leads, and extrapolates the demand of its zone from its own demand.
func (s *localitySim) sendMembers(controllerIndex int, members []locality.Member) {
	changed := &locality.Event{Kind: locality.MembersChanged, Members: members, Leader: controllerName(planLeader),
		Leads: controllerIndex == planLeader}
	observed := s.observation(controllerIndex)
	if s.Policy == Uncoordinated {
		changed.Leader = controllerName(controllerIndex)
		changed.Leads = true
		observed.DemandThreads *= float64(s.Controllers) / float64(s.Zones)
	}
	s.stepMonitor(controllerIndex, changed)
	s.stepMonitor(controllerIndex, observed)
}

// observation returns a controller's demand and its view of the executors, as input for its monitor.
func (s *localitySim) observation(controllerIndex int) *locality.Event {
	controller := s.controllers[controllerIndex]
	event := &locality.Event{Kind: locality.Observed, DemandThreads: controller.demand, AppliedReachVersion: controller.appliedPlan}
	for _, view := range controller.scheduler.ExecutorViews(s.schedulerTime(), nil) {
		executor := s.executors[view.Executor-1]
		event.Executors = append(event.Executors, locality.Executor{Zone: zoneName(executor.zone), Kind: "big",
			Cores: s.Cores, Listed: view.Availability == scheduler.Active, Ejected: view.Ejected,
			WarmingUp: view.WarmingUp, InFlight: float64(view.Threads), HasEvidence: hasEvidence(&view)})
	}
	return event
}

// hasEvidence reports whether a controller has up-to-date knowledge of an executor's state.
func hasEvidence(view *scheduler.ExecutorView) bool {
	if view.Ejected || view.InFlight > 0 {
		return true
	}
	return isRecent(view.SinceActivityMS) || isRecent(view.SinceReportMS)
}

// isRecent reports whether the last contact with an executor is recent enough to be evidence of its state. A negative
// age means that there was none.
func isRecent(ageMS float64) bool { return ageMS >= 0 && ageMS < maxEvidenceAgeMS }

// stepMonitor passes an event to a controller's monitor and applies the effects.
func (s *localitySim) stepMonitor(controllerIndex int, event *locality.Event) {
	for _, effect := range slices.Clone(s.controllers[controllerIndex].monitor.Step(s.now, event)) {
		switch effect.Kind {
		case locality.SendReport:
			s.sendToMonitor(controllerIndex, effect.To, locality.Event{Kind: locality.ReportReceived, Data: effect.Data})
		case locality.AnnouncePlan:
			s.sendToMonitor(controllerIndex, effect.To, locality.Event{Kind: locality.PlanAnnounced, Number: effect.Number})
		case locality.RequestLoan:
			s.sendToMonitor(controllerIndex, effect.To,
				locality.Event{Kind: locality.LoanRequested, Zone: effect.Zone, Number: effect.Number})
		case locality.GrantLoan:
			s.sendToMonitor(controllerIndex, effect.To, locality.Event{
				Kind: locality.LoanGranted, Zone: effect.Zone, Number: effect.Number, Threads: effect.Threads,
			})
		case locality.FetchPlan:
			s.sendToController(controllerIndex, effect.To, func(int) { s.deliverPlan(controllerIndex, s.currentPlan()) })
		case locality.ProposePlan:
			s.proposePlan(controllerIndex, *effect.Plan)
		case locality.SetReach:
			s.controllers[controllerIndex].appliedPlan = effect.Number
			s.stepScheduler(controllerIndex, &scheduler.Event{
				Kind: scheduler.ReachabilityChanged, OwnZone: effect.Zone, RemoteZones: effect.Reaches,
			})
		}
	}
}

// sendToController simulates a message between controllers. It calls arrived after a network delay with the index of
// the named receiver, or with -1 if the name is not that of a controller. Messages from or to a controller that is
// cut off are lost.
func (s *localitySim) sendToController(from int, name string, arrived func(to int)) {
	to := -1
	_, _ = fmt.Sscanf(name, "c%d", &to)
	if s.isCutOff(from) || to >= 0 && s.isCutOff(to) {
		return
	}
	s.after(1+10*s.random.Float64(), func() { arrived(to) })
}

// sendToMonitor sends an event from one controller to the monitor of another.
func (s *localitySim) sendToMonitor(from int, name string, event locality.Event) {
	event.From = controllerName(from)
	s.sendToController(from, name, func(to int) { s.stepMonitor(to, &event) })
}

// proposePlan simulates the agreement on a plan. It stands in for a consensus group, which accepts a plan only if its
// number follows that of the current plan. With the Uncoordinated policy a controller uses its plan without an
// agreement.
func (s *localitySim) proposePlan(controllerIndex int, plan locality.Plan) {
	if s.Policy == Uncoordinated {
		s.deliverPlan(controllerIndex, plan)
		return
	}
	s.after(agreementMS, func() {
		if plan.Number == s.currentPlan().Number+1 {
			s.agreed = append(s.agreed, agreedPlan{at: s.now, plan: plan})
			s.deliverPlan(planLeader, plan)
		}
	})
}

// deliverPlan passes an agreed plan to a controller's monitor.
func (s *localitySim) deliverPlan(controllerIndex int, plan locality.Plan) {
	s.stepMonitor(controllerIndex, &locality.Event{Kind: locality.PlanAgreed, Plan: &plan})
}
