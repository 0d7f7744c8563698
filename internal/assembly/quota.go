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

// quotaManager joins the tree of quotas, the attribution of requests to teams and the wait estimates to the event loop.
type quotaManager struct {
	tree      *quota.Tree
	file      *operatorconfig.Quotas
	estimator *waitestimate.Estimator
	settings  *scheduler.Settings
	shares    *quotashare.Shares
	share     float64
	cores     map[uint32]float64 // of active executors
	open      map[string]*openRequest
	observed  map[string]struct{} // open requests whose client wants to know how long it waits
	wanted    bool                // the client of the request that is being queued wants to know
}

// openRequest is a request that has not ended, with the estimates that its client was told.
type openRequest struct {
	team, class string
	first, last waitestimate.Estimate
	started     bool
}

func newQuotaManager(now float64, file *operatorconfig.Quotas, settings *scheduler.Settings) (*quotaManager, error) {
	tree, err := quota.New(file.Teams, file.Default, quota.Settings{Controllers: settings.Controllers, Classes: settings.Classes, AgeMS: file.AgeMS})
	if err != nil {
		return nil, err
	}
	return &quotaManager{
		tree:      tree,
		file:      file,
		estimator: waitestimate.New(),
		settings:  settings,
		shares:    quotashare.New(now, settings.Controllers, settings.ControllerIndex, settings.MayMessagePeers, uint64(now*1000)),
		cores:     map[uint32]float64{},
		open:      map[string]*openRequest{},
		observed:  map[string]struct{}{},
	}, nil
}

// TeamOf returns the team of a request.
func (m *quotaManager) TeamOf(r *dispatch.Request) string {
	m.wanted = r.WantsWaitEstimate
	team := m.file.Attribution.TeamOf(r.Team, r.ClientAddr, r.Class, r.Schema)
	if team == "" {
		team = m.file.Default
	}
	return team
}

// EndpointsUpdated counts the cores that there are.
func (m *quotaManager) EndpointsUpdated(now float64, list scheduler.ListKind, endpoints []scheduler.Endpoint) []quota.Effect {
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

// Step tells the tree, and the estimator, of an event.
func (m *quotaManager) Step(now float64, ev *quota.Event) []quota.Effect {
	if ev.Kind == quota.Ticked { // a change of the share counts from the tick on
		m.updateShare(now)
	}
	effects := m.tree.Step(now, ev)
	if ev.Kind == quota.RequestQueued {
		m.queued(now, ev)
		return effects
	}
	r := m.open[ev.ID]
	if r == nil {
		return effects
	}
	switch {
	case ev.Kind == quota.AttemptStarted && !r.started:
		r.started = true
		delete(m.observed, ev.ID)
		m.estimator.Started(now, r.team, r.class, r.first)
	case ev.Kind == quota.RequestClosed:
		if ev.Succeeded {
			m.estimator.Ended(now, r.team, r.class, r.first)
		}
		delete(m.open, ev.ID)
		delete(m.observed, ev.ID)
	}
	return effects
}

func (m *quotaManager) updateShare(now float64) {
	share := m.shares.Share(now)
	if share == m.share {
		return
	}
	m.share = share
	m.tree.SetCeilingShare(share)
}

// queued notes a request that waits from now on, with the estimate of this moment.
func (m *quotaManager) queued(now float64, ev *quota.Event) {
	r := &openRequest{team: ev.Team, class: ev.Class}
	r.first = m.estimate(now, ev.ID, r)
	r.last = r.first
	m.open[ev.ID] = r
	if m.wanted {
		m.observed[ev.ID] = struct{}{}
	}
}

func (m *quotaManager) estimate(now float64, id string, r *openRequest) waitestimate.Estimate {
	ahead, threads, run := m.tree.WorkAhead(id)
	return m.estimator.Estimate(now, r.team, r.class, waitestimate.Backlog{AheadMS: ahead, Threads: threads, RunMS: run})
}

// PeerMessages returns what other controllers are to hear of the use of ceilings.
func (m *quotaManager) PeerMessages(now float64) []quotashare.Message {
	used, waits := m.tree.CeilingUse()
	return m.shares.Tick(now, used, waits)
}

// HandlePeerMessage takes what another controller tells of ceilings.
func (m *quotaManager) HandlePeerMessage(now float64, from int, data []byte) []quotashare.Message {
	return m.shares.HandleMessage(now, from, data)
}

// WaitEstimate returns how long a request waits from now on; below 0: not known.
func (m *quotaManager) WaitEstimate(now float64, id string) (startMS, endMS float64) {
	r := m.open[id]
	if r == nil {
		return -1, -1
	}
	e := m.estimate(now, id, r)
	if !e.Known {
		return -1, -1
	}
	return e.StartMS, e.EndMS
}

// ChangedEstimates calls each with the estimates that have changed much, of those whose clients want to know.
func (m *quotaManager) ChangedEstimates(now float64, each func(id string, startMS, endMS float64)) {
	for _, id := range slices.Sorted(maps.Keys(m.observed)) {
		r := m.open[id]
		e := m.estimate(now, id, r)
		if !waitestimate.Changed(r.last, e) {
			continue
		}
		r.last = e
		if e.Known {
			each(id, e.StartMS, e.EndMS)
		} else {
			each(id, -1, -1)
		}
	}
}

// reload takes over the limits of a file that was read again.
func (m *quotaManager) reload(loop *dispatch.Loop, now float64, next *operatorconfig.Quotas) {
	for _, team := range next.Teams {
		m.setLimits(loop, now, team)
	}
}

// setLimits changes the limits of a team, and does what follows.
func (m *quotaManager) setLimits(loop *dispatch.Loop, now float64, team quota.Team) {
	effects := m.tree.Step(now, &quota.Event{Kind: quota.TeamChanged, NewLimits: team})
	loop.Execute(dispatch.AppendQuotaCommands(nil, effects))
}
