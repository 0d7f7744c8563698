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

// teams joins the tree of budgets, the rules of whose a search is and the book of waits to a desk. It decides nothing.
type teams struct {
	tree     *quota.Tree
	file     *operatorconfig.Quotas
	book     *waitestimate.Estimator
	settings *scheduler.Settings
	parts    *quotashare.Shares
	part     float64
	cores    map[uint32]float64 // of listed executors that are not gone
	open     map[string]*waiting
	asked    map[string]struct{} // those of them whose client wants to know
	seen     bool                // the search that is being asked for wants to know
}

// waiting is a search that has not ended, with what was told of it.
type waiting struct {
	team, offering string
	told, last     waitestimate.Estimate
	started        bool
}

func newTeams(now float64, file *operatorconfig.Quotas, settings *scheduler.Settings) (*teams, error) {
	tree, err := quota.New(file.Teams, file.Default, quota.Settings{Controllers: settings.Controllers, Classes: settings.Classes, AgeMS: file.AgeMS})
	p := quotashare.New(now, settings.Controllers, settings.Slot, settings.MayMessagePeers, uint64(now*1000))
	return &teams{parts: p, tree: tree, file: file, book: waitestimate.New(), settings: settings, cores: map[uint32]float64{}, open: map[string]*waiting{},
		asked: map[string]struct{}{}}, err
}

// TeamOf tells the team of a search.
func (t *teams) TeamOf(s *dispatch.Request) string {
	t.seen = s.WantsWaitEstimate
	team := t.file.Attribution.TeamOf(s.Team, s.ClientAddr, s.Class, s.Schema)
	if team == "" {
		team = t.file.Default
	}
	return team
}

// EndpointsUpdated counts the cores that there are.
func (t *teams) EndpointsUpdated(now float64, list scheduler.ListKind, entries []scheduler.Endpoint) []quota.Effect {
	if list != scheduler.ListDelta {
		clear(t.cores)
	}
	for _, e := range entries {
		if delete(t.cores, e.Executor); e.Availability == scheduler.Active {
			t.cores[e.Executor] = t.settings.Kind(e.Kind).Cores
		}
	}
	sum := 0.0
	for _, n := range t.cores {
		sum += n
	}
	return t.tree.Step(now, &quota.Event{Kind: quota.CapacityChanged, Cores: sum})
}

// Step tells the tree, and the book of waits, of an event.
func (t *teams) Step(now float64, ev *quota.Event) []quota.Effect {
	if ev.Kind == quota.Ticked { // a change of the part counts from the tick on
		if part := t.parts.Share(now); part != t.part {
			t.part = part
			t.tree.Part(part)
		}
	}
	effects := t.tree.Step(now, ev)
	switch w := t.open[ev.ID]; {
	case ev.Kind == quota.RequestQueued:
		w = &waiting{team: ev.Team, offering: ev.Class}
		w.told = t.tell(now, ev.ID, w)
		w.last = w.told
		if t.open[ev.ID] = w; t.seen {
			t.asked[ev.ID] = struct{}{}
		}
	case w == nil:
	case ev.Kind == quota.AttemptStarted && !w.started:
		w.started = true
		delete(t.asked, ev.ID)
		t.book.Started(now, w.team, w.offering, w.told)
	case ev.Kind == quota.RequestClosed:
		if ev.Succeeded {
			t.book.Ended(now, w.team, w.offering, w.told)
		}
		delete(t.open, ev.ID)
		delete(t.asked, ev.ID)
	}
	return effects
}

func (t *teams) tell(now float64, id string, w *waiting) waitestimate.Estimate {
	ahead, threads, run := t.tree.WaitQueue(id)
	return t.book.Estimate(now, w.team, w.offering, waitestimate.Backlog{AheadMS: ahead, Threads: threads, RunMS: run})
}

// PeerMessages looks at the ceilings and gives what other controllers are to hear.
func (t *teams) PeerMessages(now float64) []quotashare.Message {
	used, waits := t.tree.Ceilings()
	return t.parts.Tick(now, used, waits)
}

// HandlePeerMessage takes what another controller tells of ceilings.
func (t *teams) HandlePeerMessage(now float64, from int, data []byte) []quotashare.Message {
	return t.parts.HandleMessage(now, from, data)
}

// WaitEstimate gives how long a search waits from now on.
func (t *teams) WaitEstimate(now float64, id string) (startMS, endMS float64) {
	w := t.open[id]
	if w == nil {
		return -1, -1
	}
	if told := t.tell(now, id, w); told.Known {
		return told.StartMS, told.EndMS
	}
	return -1, -1
}

// ChangedEstimates gives the figures that have changed much, of those whose clients asked.
func (t *teams) ChangedEstimates(now float64, each func(id string, startMS, endMS float64)) {
	for _, id := range slices.Sorted(maps.Keys(t.asked)) {
		w := t.open[id]
		told := t.tell(now, id, w)
		if !waitestimate.Changed(w.last, told) {
			continue
		}
		if w.last = told; told.Known {
			each(id, told.StartMS, told.EndMS)
		} else {
			each(id, -1, -1)
		}
	}
}
