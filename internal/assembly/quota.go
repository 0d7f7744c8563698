package assembly

import (
	"maps"
	"slices"

	"liftshift/internal/dispatch"
	"liftshift/internal/operatorconfig"
	"liftshift/internal/quota"
	"liftshift/internal/quotashare"
	"liftshift/internal/waitestimate"
	"liftshift/scheduler"
)

// quotaManager implements dispatch.QuotaManager. It connects the quota tree, the attribution of requests to teams, the
// wait estimates and this controller's share of the teams' ceilings to the event loop.
type quotaManager struct {
	tree          *quota.Tree
	file          *operatorconfig.Quotas
	estimator     *waitestimate.Estimator
	settings      *scheduler.Settings
	shares        *quotashare.Shares
	ceilingShare  float64            // set in tree last
	cores         map[uint32]float64 // cores of the active executors, by executor id
	openRequests  map[string]*openRequest
	subscribed    map[string]struct{} // ids of queued requests whose clients want wait estimates
	wantsEstimate bool                // WantsWaitEstimate of the request that TeamOf got last, for trackRequest
}

// openRequest is a request that has not ended, with the wait estimates made for it.
type openRequest struct {
	team, class   string
	firstEstimate waitestimate.Estimate // made when the request was queued
	lastEstimate  waitestimate.Estimate // compared with the current one to find changes
	started       bool
}

func newQuotaManager(
	now float64, file *operatorconfig.Quotas, settings *scheduler.Settings,
) (*quotaManager, error) {
	tree, err := quota.New(file.Teams, file.Default, quota.Settings{
		Controllers: settings.Controllers,
		Classes:     settings.Classes,
		AgeMS:       file.AgeMS,
	})
	if err != nil {
		return nil, err
	}
	return &quotaManager{
		tree:      tree,
		file:      file,
		estimator: waitestimate.New(),
		settings:  settings,
		shares: quotashare.New(
			now, settings.Controllers, settings.ControllerIndex, settings.MayMessagePeers, uint64(now*1000),
		),
		cores:        map[uint32]float64{},
		openRequests: map[string]*openRequest{},
		subscribed:   map[string]struct{}{},
	}, nil
}

// TeamOf implements dispatch.QuotaManager. A request that no attribution rule matches belongs to the default team.
func (m *quotaManager) TeamOf(request *dispatch.Request) string {
	m.wantsEstimate = request.WantsWaitEstimate
	team := m.file.Attribution.TeamOf(request.Team, request.ClientAddr, request.Class, request.Schema)
	if team == "" {
		team = m.file.Default
	}
	return team
}

// EndpointsUpdated implements dispatch.QuotaManager. It passes the total number of cores of the active executors to the
// quota tree.
func (m *quotaManager) EndpointsUpdated(
	now float64, list scheduler.ListKind, endpoints []scheduler.Endpoint,
) []quota.Effect {
	if list != scheduler.ListDelta {
		clear(m.cores)
	}
	for _, e := range endpoints {
		delete(m.cores, e.Executor)
		if e.Availability == scheduler.Active {
			m.cores[e.Executor] = m.settings.Kind(e.Kind).Cores
		}
	}
	sum := 0.0
	for _, n := range m.cores {
		sum += n
	}
	return m.tree.Step(now, &quota.Event{Kind: quota.CapacityChanged, Cores: sum})
}

// Step implements dispatch.QuotaManager. It passes an event to the quota tree and updates the wait estimates.
func (m *quotaManager) Step(now float64, event *quota.Event) []quota.Effect {
	if event.Kind == quota.Ticked { // before the tree's step, so that a new share applies to this tick
		m.updateCeilingShare(now)
	}
	effects := m.tree.Step(now, event)
	if event.Kind == quota.RequestQueued {
		m.trackRequest(now, event)
		return effects
	}
	request := m.openRequests[event.ID]
	if request == nil {
		return effects
	}
	switch {
	case event.Kind == quota.AttemptStarted && !request.started:
		request.started = true
		delete(m.subscribed, event.ID)
		m.estimator.Started(now, request.team, request.class, request.firstEstimate)
	case event.Kind == quota.RequestClosed:
		if event.Succeeded {
			m.estimator.Ended(now, request.team, request.class, request.firstEstimate)
		}
		delete(m.openRequests, event.ID)
		delete(m.subscribed, event.ID)
	}
	return effects
}

func (m *quotaManager) updateCeilingShare(now float64) {
	share := m.shares.Share(now)
	if share == m.ceilingShare {
		return
	}
	m.ceilingShare = share
	m.tree.SetCeilingShare(share)
}

// trackRequest records a request that was queued, with its first wait estimate.
func (m *quotaManager) trackRequest(now float64, event *quota.Event) {
	request := &openRequest{team: event.Team, class: event.Class}
	request.firstEstimate = m.estimate(now, event.ID, request)
	request.lastEstimate = request.firstEstimate
	m.openRequests[event.ID] = request
	if m.wantsEstimate {
		m.subscribed[event.ID] = struct{}{}
	}
}

func (m *quotaManager) estimate(now float64, id string, request *openRequest) waitestimate.Estimate {
	aheadMS, threads, runMS := m.tree.WorkAhead(id)
	backlog := waitestimate.Backlog{AheadMS: aheadMS, Threads: threads, RunMS: runMS}
	return m.estimator.Estimate(now, request.team, request.class, backlog)
}

// PeerMessages implements dispatch.QuotaManager. The messages are about shares of the ceilings.
func (m *quotaManager) PeerMessages(now float64) []quotashare.Message {
	used, waits := m.tree.CeilingUse()
	return m.shares.Tick(now, used, waits)
}

// HandlePeerMessage implements dispatch.QuotaManager.
func (m *quotaManager) HandlePeerMessage(now float64, from int, data []byte) []quotashare.Message {
	return m.shares.HandleMessage(now, from, data)
}

// WaitEstimate implements dispatch.QuotaManager. Both times are -1 if there is no estimate.
func (m *quotaManager) WaitEstimate(now float64, id string) (startMS, endMS float64) {
	request := m.openRequests[id]
	if request == nil {
		return -1, -1
	}
	estimate := m.estimate(now, id, request)
	if !estimate.Known {
		return -1, -1
	}
	return estimate.StartMS, estimate.EndMS
}

// ChangedEstimates implements dispatch.QuotaManager. It reports in the order of the request ids.
func (m *quotaManager) ChangedEstimates(now float64, report func(id string, startMS, endMS float64)) {
	for _, id := range slices.Sorted(maps.Keys(m.subscribed)) {
		request := m.openRequests[id]
		estimate := m.estimate(now, id, request)
		if !waitestimate.Changed(request.lastEstimate, estimate) {
			continue
		}
		request.lastEstimate = estimate
		if estimate.Known {
			report(id, estimate.StartMS, estimate.EndMS)
		} else {
			report(id, -1, -1)
		}
	}
}

// reload applies the limits of a file that was read again.
func (m *quotaManager) reload(loop *dispatch.Loop, now float64, next *operatorconfig.Quotas) {
	for _, team := range next.Teams {
		m.setLimits(loop, now, team)
	}
}

// setLimits changes the limits of a team and has the loop carry out the commands that follow. It must run on the loop's
// goroutine, or before the loop runs.
func (m *quotaManager) setLimits(loop *dispatch.Loop, now float64, team quota.Team) {
	effects := m.tree.Step(now, &quota.Event{Kind: quota.TeamChanged, NewLimits: team})
	loop.Execute(dispatch.AppendQuotaCommands(nil, effects))
}
