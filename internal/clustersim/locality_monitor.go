package clustersim

import (
	"fmt"
	"slices"

	"liftshift/internal/locality"
	"liftshift/scheduler"
)

// agreedPlan is a plan and the time of the agreement.
type agreedPlan struct {
	at   float64
	plan locality.Plan
}

const (
	planLeader    = 1      // the controller that leads; it is not in the lost zone
	agreementMS   = 20.0   // a consensus group's time for a plan
	maxEvidenceMS = 10_000 // the age at which what is known of an executor is out of date
)

// The intervals of monitors, in steps of localityStepMS.
const (
	monitorSteps   = 5
	observeSteps   = 10
	reportSteps    = 50 // a look is left out here
	memberSteps    = 25
	confirmSteps   = 100 // each controller confirms the plan so often,
	confirmStagger = 20  // not all at once
)

// isCutOff reports whether a controller reaches no other.
func (s *localitySim) isCutOff(k int) bool {
	return s.now >= s.LostAtMS && s.zoneOf(k) == 0 && k/s.Zones < s.CutOffControllers
}

// currentPlan returns the agreed plan.
func (s *localitySim) currentPlan() locality.Plan {
	if len(s.agreed) == 0 {
		return locality.Plan{}
	}
	return s.agreed[len(s.agreed)-1].plan
}

// runMonitors gives the monitors what they see, and their ticks. In place of a consensus group, a plan that follows the current one is
// agreed at once.
func (s *localitySim) runMonitors(step int) {
	if step%monitorSteps != 0 {
		return
	}
	var members []locality.Member
	for k := range s.controllers {
		members = append(members, locality.Member{Name: controllerName(k), Zone: zoneName(s.zoneOf(k)), Region: "r", Live: !s.isCutOff(k)})
	}
	for k := range s.controllers {
		if step%observeSteps == 0 && step%reportSteps != 0 {
			s.stepMonitor(k, s.observation(k))
		}
		if step%memberSteps == 0 {
			s.sendMembers(k, members)
		}
		if step%confirmSteps == k%confirmStagger*monitorSteps && !s.isCutOff(k) {
			number := s.currentPlan().Number
			if s.Policy == Uncoordinated {
				number = s.controllers[k].monitor.Plan().Number
			}
			s.stepMonitor(k, &locality.Event{Kind: locality.PlanConfirmed, Number: number, RequestedAt: s.now})
		}
		s.stepMonitor(k, &locality.Event{Kind: locality.Ticked, UnixMS: int64(s.now)})
	}
}

// sendMembers gives a monitor the members and what its controller sees. Without coordination each leads, and takes its zone's demand for
// what it has itself.
func (s *localitySim) sendMembers(k int, members []locality.Member) {
	changed := &locality.Event{Kind: locality.MembersChanged, Members: members, Leader: controllerName(planLeader), Leads: k == planLeader}
	observed := s.observation(k)
	if s.Policy == Uncoordinated {
		changed.Leader = controllerName(k)
		changed.Leads = true
		observed.DemandThreads *= float64(s.Controllers) / float64(s.Zones)
	}
	s.stepMonitor(k, changed)
	s.stepMonitor(k, observed)
}

// observation is what a controller sees of the executors.
func (s *localitySim) observation(k int) *locality.Event {
	own := s.controllers[k]
	ev := &locality.Event{Kind: locality.Observed, DemandThreads: own.demand, AppliedReachVersion: own.appliedPlan}
	for _, view := range own.scheduler.ExecutorViews(s.schedulerTime(), nil) {
		e := s.executors[view.Executor-1]
		ev.Executors = append(ev.Executors, locality.Executor{Zone: zoneName(e.zone), Kind: "big", Cores: s.Cores, Listed: view.Availability == scheduler.Active,
			Ejected: view.Ejected, WarmingUp: view.WarmingUp, InFlight: float64(view.Threads), HasEvidence: hasEvidence(&view)})
	}
	return ev
}

// hasEvidence reports whether a controller knows how an executor is.
func hasEvidence(view *scheduler.ExecutorView) bool {
	if view.Ejected || view.InFlight > 0 {
		return true
	}
	return isRecent(view.SinceActivityMS) || isRecent(view.SinceReportMS)
}

// isRecent reports whether something came lately; a negative age is of what never came.
func isRecent(ageMS float64) bool { return ageMS >= 0 && ageMS < maxEvidenceMS }

// stepMonitor hands an event to a controller's monitor and carries out the effects.
func (s *localitySim) stepMonitor(k int, ev *locality.Event) {
	for _, e := range slices.Clone(s.controllers[k].monitor.Step(s.now, ev)) {
		switch e.Kind {
		case locality.SendReport:
			s.sendToMonitor(k, e.To, locality.Event{Kind: locality.ReportReceived, Data: e.Data})
		case locality.AnnouncePlan:
			s.sendToMonitor(k, e.To, locality.Event{Kind: locality.PlanAnnounced, Number: e.Number})
		case locality.RequestLoan:
			s.sendToMonitor(k, e.To, locality.Event{Kind: locality.LoanRequested, Zone: e.Zone, Number: e.Number})
		case locality.GrantLoan:
			s.sendToMonitor(k, e.To, locality.Event{Kind: locality.LoanGranted, Zone: e.Zone, Number: e.Number, Threads: e.Threads})
		case locality.FetchPlan:
			s.carry(k, e.To, func(int) { s.deliverPlan(k, s.currentPlan()) })
		case locality.ProposePlan:
			s.proposePlan(k, *e.Plan)
		case locality.SetReach:
			s.controllers[k].appliedPlan = e.Number
			s.stepScheduler(k, &scheduler.Event{Kind: scheduler.ReachabilityChanged, RemoteZones: e.Reaches})
		}
	}
}

// carry calls a function after the way to a controller; it gets the controller's number, or -1 where none is named. Nothing passes to or
// from a controller that is cut off.
func (s *localitySim) carry(from int, name string, arrived func(to int)) {
	to := -1
	_, _ = fmt.Sscanf(name, "c%d", &to)
	if s.isCutOff(from) || to >= 0 && s.isCutOff(to) {
		return
	}
	s.after(1+10*s.random.Float64(), func() { arrived(to) })
}

func (s *localitySim) sendToMonitor(from int, name string, ev locality.Event) {
	ev.From = controllerName(from)
	s.carry(from, name, func(to int) { s.stepMonitor(to, &ev) })
}

func (s *localitySim) proposePlan(k int, plan locality.Plan) {
	if s.Policy == Uncoordinated {
		s.deliverPlan(k, plan)
		return
	}
	s.after(agreementMS, func() {
		if plan.Number == s.currentPlan().Number+1 {
			s.agreed = append(s.agreed, agreedPlan{at: s.now, plan: plan})
			s.deliverPlan(planLeader, plan)
		}
	})
}

func (s *localitySim) deliverPlan(k int, plan locality.Plan) {
	s.stepMonitor(k, &locality.Event{Kind: locality.PlanAgreed, Plan: &plan})
}
