package benchmark

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"liftshift/internal/quota"
	"liftshift/scheduler"
)

// The simulated executor and its load.
const (
	simulatedThreads  = 16
	threadsPerCore    = 1.2
	lookupWorkMS      = 50
	renderWorkMS      = 300
	queuedRenders     = 200  // requests that the team "render" keeps waiting
	modelShare        = 0.75 // of the team "model" by its weight
	reclaimedShare    = 0.9  // of the threads to which the team "model" is entitled
	simulatedMS       = 60_000
	simulatedSeconds  = simulatedMS / 1000
	disciplineTickMS  = 100
	lookupsFromMS     = 5000
	maxReclaimMS      = 2000 // target
	minOtherTeamShare = 0.2  // target
)

// queuedRequest is a request that waits for a simulated executor.
type queuedRequest struct {
	id               string
	team             string
	queuedAt, workMS float64
}

// discipline orders waiting requests.
type discipline interface {
	add(now float64, req queuedRequest)
	next(now float64) (queuedRequest, bool)
	finish(now float64, req queuedRequest)
	tick(now float64)
}

// fifo serves requests in the order of their arrival.
type fifo struct{ queue []queuedRequest }

func (f *fifo) add(_ float64, req queuedRequest) { f.queue = append(f.queue, req) }

func (f *fifo) next(float64) (req queuedRequest, ok bool) {
	if len(f.queue) > 0 {
		req = f.queue[0]
		f.queue = f.queue[1:]
		return req, true
	}
	return req, false
}

func (f *fifo) finish(float64, queuedRequest) {}

func (f *fifo) tick(float64) {}

// strictPriority serves the requests of the team "model" before all others.
type strictPriority struct{ model, others fifo }

func (s *strictPriority) add(now float64, req queuedRequest) {
	if req.team == "model" {
		s.model.add(now, req)
	} else {
		s.others.add(now, req)
	}
}

func (s *strictPriority) next(now float64) (queuedRequest, bool) {
	if req, ok := s.model.next(now); ok {
		return req, true
	}
	return s.others.next(now)
}

func (s *strictPriority) finish(float64, queuedRequest) {}

func (s *strictPriority) tick(float64) {}

// quotaDiscipline serves requests in the order of a quota tree.
type quotaDiscipline struct {
	tree   *quota.Tree
	queued map[string]queuedRequest
	ready  []string
}

// lookupSettings returns quota settings with one class, whose requests use one thread.
func lookupSettings(ageMS float64) quota.Settings {
	settings := quota.DefaultSettings()
	settings.Classes = []scheduler.RequestClass{scheduler.DefaultClass("look", scheduler.Idempotent)}
	settings.AgeMS = ageMS
	return settings
}

func newQuotaDiscipline(ageMS float64) *quotaDiscipline {
	teams := []quota.Team{{Name: "model", Weight: 3}, {Name: "render"}, {Name: "other", Weight: 1e-3}}
	tree, err := quota.New(teams, "other", lookupSettings(ageMS))
	if err != nil {
		return nil // cannot happen: the teams and settings are valid constants
	}
	threads := float64(simulatedThreads)
	tree.Step(0, &quota.Event{Kind: quota.CapacityChanged, Cores: threads / threadsPerCore})
	return &quotaDiscipline{tree: tree, queued: map[string]queuedRequest{}}
}

func (d *quotaDiscipline) step(now float64, event *quota.Event) {
	for _, effect := range d.tree.Step(now, event) {
		if effect.Kind != quota.Offer {
			continue
		}
		if effect.Immediate {
			d.step(now, &quota.Event{Kind: quota.RequestReturned, ID: effect.ID})
			continue
		}
		d.ready = append(d.ready, effect.ID)
	}
}

func (d *quotaDiscipline) add(now float64, req queuedRequest) {
	d.queued[req.id] = req
	d.step(now, &quota.Event{Kind: quota.RequestQueued, ID: req.id, Team: req.team, Class: "look",
		WorkMS: req.workMS, Deadline: now + 1e7})
}

func (d *quotaDiscipline) next(now float64) (req queuedRequest, ok bool) {
	if len(d.ready) == 0 {
		return req, false
	}
	req = d.queued[d.ready[0]]
	d.ready = d.ready[1:]
	d.step(now, &quota.Event{Kind: quota.AttemptStarted, ID: req.id})
	return req, true
}

func (d *quotaDiscipline) finish(now float64, req queuedRequest) {
	delete(d.queued, req.id)
	d.step(now, &quota.Event{Kind: quota.AttemptEnded, ID: req.id})
	d.step(now, &quota.Event{Kind: quota.RequestClosed, ID: req.id})
}

func (d *quotaDiscipline) tick(now float64) { d.step(now, &quota.Event{Kind: quota.Ticked}) }

// runningRequest is a request that a simulated executor runs.
type runningRequest struct {
	queuedRequest
	endsAt float64
}

// quotaSimulation runs two teams on one executor: "render" keeps a number of requests waiting, and "model" sends
// requests at random from a time on.
type quotaSimulation struct {
	discipline   discipline
	lookupsFrom  float64 // when "model" begins to send requests, in milliseconds
	lookupLoad   float64 // of "model", as a share of the threads
	random       *rand.Rand
	lastID       int
	queued       map[string]int // by team
	freeThreads  int
	running      []runningRequest
	nextLookupAt float64

	workMS      map[string]float64   // work done, by team
	waitsMS     map[string][]float64 // of the requests that started, by team
	reclaimedMS float64              // until "model" first had reclaimedShare of its threads; 0: never
}

// runQuotaSimulation simulates simulatedMS. It calls afterStep, unless it is nil, after each millisecond.
func runQuotaSimulation(d discipline, lookupsFrom, lookupLoad float64, afterStep func(now float64)) *quotaSimulation {
	s := &quotaSimulation{
		discipline:   d,
		lookupsFrom:  lookupsFrom,
		lookupLoad:   lookupLoad,
		random:       rand.New(rand.NewPCG(7, 7)),
		queued:       map[string]int{},
		freeThreads:  simulatedThreads,
		nextLookupAt: lookupsFrom,
		workMS:       map[string]float64{},
		waitsMS:      map[string][]float64{},
	}
	for now := 0.0; now < simulatedMS; now++ {
		s.submitRequests(now)
		s.finishRequests(now)
		if int(now)%disciplineTickMS == 0 {
			d.tick(now)
		}
		s.startRequests(now)
		s.observeReclaim(now)
		if afterStep != nil {
			afterStep(now)
		}
	}
	return s
}

func (s *quotaSimulation) submit(now float64, team string, workMS float64) {
	s.lastID++
	s.queued[team]++
	s.discipline.add(now, queuedRequest{strconv.Itoa(s.lastID), team, now, workMS})
}

func (s *quotaSimulation) submitRequests(now float64) {
	for s.queued["render"] < queuedRenders {
		s.submit(now, "render", renderWorkMS)
	}
	for s.nextLookupAt <= now {
		s.submit(now, "model", lookupWorkMS)
		s.nextLookupAt += s.random.ExpFloat64() * lookupWorkMS / (simulatedThreads * s.lookupLoad)
	}
}

func (s *quotaSimulation) finishRequests(now float64) {
	for k := 0; k < len(s.running); k++ {
		if s.running[k].endsAt <= now {
			s.workMS[s.running[k].team] += s.running[k].workMS
			s.discipline.finish(now, s.running[k].queuedRequest)
			s.running = slices.Delete(s.running, k, k+1)
			s.freeThreads++
			k--
		}
	}
}

func (s *quotaSimulation) startRequests(now float64) {
	for s.freeThreads > 0 {
		req, ok := s.discipline.next(now)
		if !ok {
			return
		}
		s.queued[req.team]--
		s.freeThreads--
		s.waitsMS[req.team] = append(s.waitsMS[req.team], now-req.queuedAt)
		s.running = append(s.running, runningRequest{req, now + req.workMS})
	}
}

// observeReclaim notes when "model" has most of the threads that its weight entitles it to, or that its load needs.
func (s *quotaSimulation) observeReclaim(now float64) {
	if s.reclaimedMS != 0 || now <= s.lookupsFrom {
		return
	}
	threads := 0
	for _, running := range s.running {
		if running.team == "model" {
			threads++
		}
	}
	if float64(threads) >= reclaimedShare*simulatedThreads*min(s.lookupLoad, modelShare) {
		s.reclaimedMS = now - s.lookupsFrom
	}
}

// measureDisciplines compares quotas with FIFO and with strict priority, with a simulated executor.
func measureDisciplines(string, string) ([]Figure, error) {
	set := figureSet{prefix: "budgets."}
	waitP99 := map[string]float64{}
	for _, c := range []struct {
		name string
		make func() discipline
	}{
		{"budgets", func() discipline { return newQuotaDiscipline(3000) }},
		{"fifo", func() discipline { return &fifo{} }},
		{"strict", func() discipline { return &strictPriority{} }},
	} {
		halfLoad := runQuotaSimulation(c.make(), lookupsFromMS, 0.5, nil)
		overload := runQuotaSimulation(c.make(), lookupsFromMS, 1.2, nil)
		// Only quotas have targets; the other disciplines are baselines.
		maxReclaim, minShare := math.Inf(1), 0.0
		if c.name == "budgets" {
			maxReclaim, minShare = maxReclaimMS, minOtherTeamShare
		}
		waitP99[c.name] = quantile(halfLoad.waitsMS["model"], 0.99)
		share := overload.workMS["render"] / (overload.workMS["render"] + overload.workMS["model"])
		set.add("simulated_lookup_wait_p99_"+c.name, waitP99[c.name], "ms", ">=", 0)
		set.add("simulated_share_taken_back_"+c.name, overload.reclaimedMS, "ms", "<=", maxReclaim)
		set.add("simulated_share_left_to_the_other_"+c.name, share, "", ">=", minShare)
	}
	quotas, longestWait := newQuotaDiscipline(1000), 0.0
	var bounds []float64
	overload := runQuotaSimulation(quotas, 0, 1.2, func(float64) { bounds = append(bounds, quotas.tree.MaxWaitMS()) })
	for _, team := range []string{"model", "render"} {
		longestWait = max(longestWait, quantile(overload.waitsMS[team], 1))
	}
	counts := quotas.tree.Counts()
	capChanges := float64(counts.Capped+counts.Uncapped) / simulatedSeconds
	set.add("simulated_lookup_wait_p99_against_strict", waitP99["budgets"]/waitP99["strict"], "x", "<=", 1.5)
	set.add("longest_wait_against_bound", longestWait/slices.Max(bounds), "x", "<=", 1)
	set.add("pressed_and_eased_a_second", capChanges, "1/s", "<=", 50)
	return set.figures, nil
}
