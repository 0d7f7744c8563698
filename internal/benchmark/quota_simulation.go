package benchmark

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"liftshift/internal/quota"
	"liftshift/scheduler"
)

// queuedRequest is a request that waits for a simulated executor.
type queuedRequest struct {
	id               string
	team             string
	queuedAt, workMS float64
}

// discipline orders the requests that wait.
type discipline interface {
	add(now float64, x queuedRequest)
	next(now float64) (queuedRequest, bool)
	finish(now float64, x queuedRequest)
	tick(now float64)
}

// fifo serves first come, first served.
type fifo struct{ queue []queuedRequest }

func (f *fifo) add(_ float64, x queuedRequest) { f.queue = append(f.queue, x) }

func (f *fifo) next(float64) (x queuedRequest, ok bool) {
	if len(f.queue) > 0 {
		x = f.queue[0]
		f.queue = f.queue[1:]
		return x, true
	}
	return x, false
}

func (f *fifo) finish(float64, queuedRequest) {}

func (f *fifo) tick(float64) {}

// strictPriority serves one team before all others.
type strictPriority struct{ first, second fifo }

func (s *strictPriority) add(now float64, x queuedRequest) {
	if x.team == "model" {
		s.first.add(now, x)
	} else {
		s.second.add(now, x)
	}
}

func (s *strictPriority) next(now float64) (queuedRequest, bool) {
	if x, ok := s.first.next(now); ok {
		return x, true
	}
	return s.second.next(now)
}

func (s *strictPriority) finish(float64, queuedRequest) {}

func (s *strictPriority) tick(float64) {}

// quotaDiscipline serves by the quota tree.
type quotaDiscipline struct {
	tree   *quota.Tree
	queued map[string]queuedRequest
	ready  []string
}

// lookupSettings has one class, of one thread.
func lookupSettings(ageMS float64) quota.Settings {
	s := quota.DefaultSettings()
	s.Classes, s.AgeMS = []scheduler.RequestClass{scheduler.DefaultClass("look", scheduler.Idempotent)}, ageMS
	return s
}

func newQuotaDiscipline(threads float64, age float64) *quotaDiscipline {
	t, err := quota.New([]quota.Team{{Name: "model", Weight: 3}, {Name: "render"}, {Name: "other", Weight: 1e-3}}, "other",
		lookupSettings(age))
	if err != nil {
		return nil // of constants alone
	}
	t.Step(0, &quota.Event{Kind: quota.CapacityChanged, Cores: threads / 1.2})
	return &quotaDiscipline{tree: t, queued: map[string]queuedRequest{}}
}

func (f *quotaDiscipline) step(now float64, ev *quota.Event) {
	for _, e := range f.tree.Step(now, ev) {
		if e.Kind != quota.Offer {
			continue
		}
		if e.Immediate {
			f.step(now, &quota.Event{Kind: quota.RequestReturned, ID: e.ID})
			continue
		}
		f.ready = append(f.ready, e.ID)
	}
}

func (f *quotaDiscipline) add(now float64, x queuedRequest) {
	f.queued[x.id] = x
	f.step(now, &quota.Event{Kind: quota.RequestQueued, ID: x.id, Team: x.team, Class: "look", WorkMS: x.workMS, Deadline: now + 1e7})
}

func (f *quotaDiscipline) next(now float64) (x queuedRequest, ok bool) {
	if len(f.ready) == 0 {
		return x, false
	}
	x = f.queued[f.ready[0]]
	f.ready = f.ready[1:]
	f.step(now, &quota.Event{Kind: quota.AttemptStarted, ID: x.id})
	return x, true
}

func (f *quotaDiscipline) finish(now float64, x queuedRequest) {
	delete(f.queued, x.id)
	f.step(now, &quota.Event{Kind: quota.AttemptEnded, ID: x.id})
	f.step(now, &quota.Event{Kind: quota.RequestClosed, ID: x.id})
}

func (f *quotaDiscipline) tick(now float64) { f.step(now, &quota.Event{Kind: quota.Ticked}) }

// runningRequest is a request at an executor.
type runningRequest struct {
	queuedRequest
	endsAt float64
}

// simulate runs both teams on 16 threads: render keeps 200 requests waiting, model sends them at random from a time on.
func simulate(d discipline, until, from, load float64, each func(now float64)) (work map[string]float64, waits map[string][]float64, takenBack float64) {
	random := rand.New(rand.NewPCG(7, 7))
	work, waits = map[string]float64{}, map[string][]float64{}
	n, queued, free := 0, map[string]int{}, 16
	var runs []runningRequest
	next, since := from, map[string]float64{}
	for now := 0.0; now < until; now++ {
		put := func(team string, ms float64) {
			n++
			queued[team]++
			d.add(now, queuedRequest{strconv.Itoa(n), team, now, ms})
		}
		for queued["render"] < 200 {
			put("render", 300)
		}
		for ; next <= now; next += random.ExpFloat64() * 50 / (16 * load) {
			put("model", 50)
		}
		for k := 0; k < len(runs); k++ {
			if runs[k].endsAt <= now {
				work[runs[k].team] += runs[k].workMS
				if now >= from && now < from+10_000 {
					since[runs[k].team] += runs[k].workMS
				}
				d.finish(now, runs[k].queuedRequest)
				runs = slices.Delete(runs, k, k+1)
				free++
				k--
			}
		}
		if int(now)%100 == 0 {
			d.tick(now)
		}
		for free > 0 {
			x, ok := d.next(now)
			if !ok {
				break
			}
			queued[x.team]--
			free--
			waits[x.team] = append(waits[x.team], now-x.queuedAt)
			runs = append(runs, runningRequest{x, now + x.workMS})
		}
		if takenBack == 0 && now > from {
			model := 0
			for _, r := range runs {
				if r.team == "model" {
					model++
				}
			}
			if float64(model) >= 0.9*16*min(load, 0.75) {
				takenBack = now - from
			}
		}
		if each != nil {
			each(now)
		}
	}
	return work, waits, takenBack
}

// measureDisciplines compares quotas with first come, first served, and with strict priority, with simulated executors.
func measureDisciplines(string, string) ([]Figure, error) {
	var all []Figure
	p99 := map[string]float64{}
	for _, c := range []struct {
		name string
		make func() discipline
	}{{"budgets", func() discipline { return newQuotaDiscipline(16, 3000) }}, {"fifo", func() discipline { return &fifo{} }},
		{"strict", func() discipline { return &strictPriority{} }}} {
		_, waits, _ := simulate(c.make(), 60_000, 5000, 0.5, nil)
		over, _, back := simulate(c.make(), 60_000, 5000, 1.2, nil)
		// Only quotas have targets: the others are what they are compared with.
		taken, least := math.Inf(1), 0.0
		if c.name == "budgets" {
			taken, least = 2000, 0.2
		}
		p99[c.name] = quantile(waits["model"], 0.99)
		share := over["render"] / (over["render"] + over["model"])
		all = append(all, Figure{"budgets.simulated_lookup_wait_p99_" + c.name, p99[c.name], "ms", ">=", 0},
			Figure{"budgets.simulated_share_taken_back_" + c.name, back, "ms", "<=", taken},
			Figure{"budgets.simulated_share_left_to_the_other_" + c.name, share, "", ">=", least})
	}
	f, worst := newQuotaDiscipline(16, 1000), 0.0
	var bounds []float64
	_, waits, _ := simulate(f, 60_000, 0, 1.2, func(float64) { bounds = append(bounds, f.tree.MaxWaitMS()) })
	for _, team := range []string{"model", "render"} {
		worst = max(worst, quantile(waits[team], 1))
	}
	c := f.tree.Counts()
	return append(all, Figure{"budgets.simulated_lookup_wait_p99_against_strict", p99["budgets"] / p99["strict"], "x", "<=", 1.5}, Figure{"budgets.longest_wait_against_bound", worst / slices.Max(bounds), "x", "<=", 1},
		Figure{"budgets.pressed_and_eased_a_second", float64(c.Capped+c.Uncapped) / 60, "1/s", "<=", 50}), nil
}
