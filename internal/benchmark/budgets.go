package benchmark

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"liftshift/internal/quota"
	"liftshift/internal/testservers"
	"liftshift/scheduler"
)

// Budgets measures budgets and waits: before the real program, before simulated executors, and the structures alone.
func Budgets(dir, programs string) ([]Figure, error) {
	var all []Figure
	for _, part := range []func(dir, programs string) ([]Figure, error){sockets, disciplines, structures} {
		figures, err := part(dir, programs)
		if all = append(all, figures...); err != nil {
			return all, err
		}
	}
	return all, nil
}

const twoTeams = `budgets {
  default = "other"
  whose   = ["field"]
  team "model" { weight = 3 }
  team "render" { weight = 1 }
  team "other" { weight = 0.001 }
}
`

// estimates are what clients say of their searches, in ms.
var estimates = map[string]float64{"look": 20, "mark": 100}

// site is a controller before two engines of eight cores.
type site struct {
	listen  string
	cmd     *exec.Cmd
	engines []*testservers.Executor
	runs    *testservers.Memory
	seq     atomic.Int64
}

func newSite(dir, programs, file string, works map[string]time.Duration, engines int) (*site, error) {
	s := &site{runs: &testservers.Memory{}}
	for k := range engines {
		e := &testservers.Executor{Name: fmt.Sprint("s-", k), Zone: "here", DedupWindow: 20 * time.Second, Cores: 8, WorkByClass: works, Memory: s.runs}
		if err := e.Start(); err != nil {
			return nil, err
		}
		s.engines = append(s.engines, e)
	}
	list, _, err := testservers.EndpointList() // ends with this program
	if err != nil {
		return nil, err
	}
	if s.listen, err = testservers.FreeAddress(); err != nil {
		return nil, err
	}
	at, err := os.MkdirTemp(dir, "site-")
	if err != nil {
		return nil, err
	}
	node := filepath.Join(at, "node.json")
	if err := os.WriteFile(node, testservers.NodeConfig(s.listen, list, 20*time.Second, s.engines...), 0o600); err != nil {
		return nil, err
	}
	s.cmd = exec.Command(filepath.Join(programs, "liftshift"))
	s.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+node)
	if file != "" {
		hcl := filepath.Join(at, "teams.hcl")
		if err := os.WriteFile(hcl, []byte(file), 0o600); err != nil {
			return nil, err
		}
		s.cmd.Env = append(s.cmd.Env, "LIFTSHIFT_FILE="+hcl)
	}
	return s, s.cmd.Start()
}

func (s *site) stop() {
	_ = s.cmd.Process.Kill()
	_ = s.cmd.Wait()
	for _, e := range s.engines {
		e.Stop()
	}
}

// asked is one answer as its client saw it.
type asked struct {
	team       string
	at         time.Time
	ms         float64
	code       int
	known      bool
	start, end float64
}

// crowd has clients of a team ask, each after the other's pause, until stop.
func (s *site) crowd(all *sync.WaitGroup, team, offering string, clients int, pause time.Duration, stop *atomic.Bool, put func(asked)) {
	for range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			c, err := testservers.Dial(s.listen, 10*time.Second)
			if err != nil {
				return
			}
			defer c.Close()
			for !stop.Load() {
				n := s.seq.Add(1)
				p := map[string]any{"req": fmt.Sprintf("%s-%d", team, n), "timeout": 4500, "ms": estimates[offering], "ram": 1, "data": "c2VsZWN0IDE=",
					"team": team, "waits": true}
				if offering == "mark" {
					p["opkey"] = fmt.Sprintf("k-%d", n)
				}
				at := time.Now()
				a, err := c.Call(offering, p, 10*time.Second)
				if err != nil {
					return
				}
				x := asked{team: team, at: at, ms: float64(time.Since(at).Microseconds()) / 1000, code: a.Code}
				if len(a.Waits) > 0 && !a.Waits[0].Unknown {
					x.known, x.start, x.end = true, a.Waits[0].Start, a.Waits[0].End
				}
				put(x)
				time.Sleep(pause)
			}
		}()
	}
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sort.Float64s(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// sockets measures the real program before stand-in engines.
func sockets(dir, programs string) (all []Figure, err error) {
	works := map[string]time.Duration{"look": 20 * time.Millisecond, "mark": 100 * time.Millisecond}
	play := func(file string, render int, scene func(*site, *atomic.Bool)) ([]asked, *site, error) {
		s, err := newSite(dir, programs, file, works, 2)
		if err != nil {
			return nil, nil, err
		}
		defer s.stop()
		var mu sync.Mutex
		var got []asked
		var clients sync.WaitGroup
		var stop atomic.Bool
		put := func(a asked) { mu.Lock(); got = append(got, a); mu.Unlock() }
		if scene == nil { // a few modellers, who pause, beside renderers without end
			s.crowd(&clients, "model", "look", 6, 15*time.Millisecond, &stop, put)
			s.crowd(&clients, "render", "mark", render, 0, &stop, put)
			time.Sleep(5 * time.Second)
		} else {
			s.crowd(&clients, "model", "look", 56, 0, &stop, put)
			s.crowd(&clients, "render", "look", 56, 0, &stop, put)
			scene(s, &stop)
		}
		stop.Store(true)
		clients.Wait()
		return got, s, nil
	}
	p99 := func(got []asked) float64 {
		var ms []float64
		for _, a := range got {
			if a.team == "model" && a.code == 0 && a.at.After(got[0].at.Add(time.Second)) {
				ms = append(ms, a.ms)
			}
		}
		return quantile(ms, 0.99)
	}
	var alone, beside, without []float64
	twice := 0
	for range 3 {
		a, _, err := play(twoTeams, 0, nil)
		if err != nil {
			return nil, err
		}
		b, s, err := play(twoTeams, 64, nil)
		if err != nil {
			return nil, err
		}
		seen := map[string]bool{}
		for _, r := range s.runs.Runs() {
			if r.IdempotencyKey != "" && seen[r.IdempotencyKey] {
				twice++
			}
			seen[r.IdempotencyKey] = true
		}
		c, _, err := play("", 64, nil)
		if err != nil {
			return nil, err
		}
		alone, beside, without = append(alone, p99(a)), append(beside, p99(b)), append(without, p99(c))
	}
	all = append(all, Figure{"budgets.lookup_p99_beside_a_saturating_team", median(beside) / median(alone), "x", "<=", 1.5},
		Figure{"budgets.the_same_without_budgets", median(without) / median(alone), "x", ">=", 0},
		Figure{"budgets.loads_run_twice", float64(twice), "", "==", 0})
	honest := estimates["mark"]
	estimates["mark"] = honest / 5 // the saturating team says a fifth of what its searches take
	var lies []float64
	for range 3 {
		b, _, err := play(twoTeams, 64, nil)
		if err != nil {
			return all, err
		}
		lies = append(lies, p99(b))
	}
	estimates["mark"] = honest
	all = append(all, Figure{"budgets.lookup_p99_beside_a_team_that_estimates_a_fifth", median(lies) / median(alone), "x", "<=", 1.5})
	for _, scene := range []struct {
		name string
		play func(*site, *atomic.Bool)
	}{
		{"steady", func(*site, *atomic.Bool) { time.Sleep(8 * time.Second) }},
		{"burst", func(s *site, stop *atomic.Bool) {
			time.Sleep(3 * time.Second)
			var more sync.WaitGroup
			var end atomic.Bool
			s.crowd(&more, "render", "look", 120, 0, &end, func(asked) {})
			time.Sleep(2 * time.Second)
			end.Store(true)
			more.Wait()
			time.Sleep(3 * time.Second)
		}},
		{"executor_lost", func(s *site, _ *atomic.Bool) {
			time.Sleep(4 * time.Second)
			s.engines[0].Stop()
			time.Sleep(4 * time.Second)
		}},
	} {
		got, _, err := play(twoTeams, 0, scene.play)
		if err != nil {
			return all, err
		}
		handled, told, kept, ratios := map[string]int{}, map[string]int{}, map[string]int{}, map[string][]float64{}
		for _, a := range got {
			if a.code != 0 || a.at.Before(got[0].at.Add(1500*time.Millisecond)) {
				continue
			}
			if handled[a.team]++; a.known {
				told[a.team]++
				if a.ms <= a.end+5 {
					kept[a.team]++
				}
				ratios[a.team] = append(ratios[a.team], a.end/a.ms)
			}
		}
		share := float64(handled["model"]) / float64(handled["model"]+handled["render"])
		if scene.name == "steady" {
			all = append(all, Figure{"budgets.share_off_from_weight", math.Abs(share-0.75) / 0.75, "", "<=", 0.05})
		}
		for _, team := range []string{"model", "render"} {
			all = append(all, Figure{"budgets.waits_within_" + scene.name + "_" + team, float64(kept[team]) / float64(max(1, told[team])), "", ">=", 0.9},
				Figure{"budgets.wait_told_against_wait_" + scene.name + "_" + team, quantile(ratios[team], 0.5), "x", "<=", 2})
		}
	}
	return all, nil
}

// item is a search before simulated executors.
type item struct {
	id       string
	team     string
	at, work float64
}

// discipline orders what waits.
type discipline interface {
	put(now float64, x item)
	take(now float64) (item, bool)
	ended(now float64, x item)
	tick(now float64)
}

type fifo struct{ list []item }

func (f *fifo) put(_ float64, x item) { f.list = append(f.list, x) }
func (f *fifo) take(float64) (x item, ok bool) {
	if len(f.list) > 0 {
		x, ok, f.list = f.list[0], true, f.list[1:]
	}
	return x, ok
}
func (f *fifo) ended(float64, item) {}
func (f *fifo) tick(float64)        {}

type strict struct{ first, second fifo }

func (s *strict) put(now float64, x item) {
	if x.team == "model" {
		s.first.put(now, x)
	} else {
		s.second.put(now, x)
	}
}
func (s *strict) take(now float64) (item, bool) {
	if x, ok := s.first.take(now); ok {
		return x, true
	}
	return s.second.take(now)
}
func (s *strict) ended(float64, item) {}
func (s *strict) tick(float64)        {}

type fair struct {
	tree  *quota.Tree
	items map[string]item
	ready []string
}

// lookSettings has one class, of one thread.
func lookSettings(ageMS float64) quota.Settings {
	s := quota.DefaultSettings()
	s.Classes, s.AgeMS = []scheduler.RequestClass{scheduler.DefaultClass("look", scheduler.Idempotent)}, ageMS
	return s
}

func newFair(threads float64, age float64) *fair {
	t, err := quota.New([]quota.Team{{Name: "model", Weight: 3}, {Name: "render"}, {Name: "other", Weight: 1e-3}}, "other",
		lookSettings(age))
	if err != nil {
		return nil // of constants alone
	}
	t.Step(0, &quota.Event{Kind: quota.CapacityChanged, Cores: threads / 1.2})
	return &fair{tree: t, items: map[string]item{}}
}

func (f *fair) step(now float64, ev *quota.Event) {
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

func (f *fair) put(now float64, x item) {
	f.items[x.id] = x
	f.step(now, &quota.Event{Kind: quota.RequestQueued, ID: x.id, Team: x.team, Class: "look", WorkMS: x.work, Deadline: now + 1e7})
}
func (f *fair) take(now float64) (x item, ok bool) {
	if len(f.ready) == 0 {
		return x, false
	}
	x = f.items[f.ready[0]]
	f.ready = f.ready[1:]
	f.step(now, &quota.Event{Kind: quota.AttemptStarted, ID: x.id})
	return x, true
}
func (f *fair) ended(now float64, x item) {
	delete(f.items, x.id)
	f.step(now, &quota.Event{Kind: quota.AttemptEnded, ID: x.id})
	f.step(now, &quota.Event{Kind: quota.RequestClosed, ID: x.id})
}
func (f *fair) tick(now float64) { f.step(now, &quota.Event{Kind: quota.Ticked}) }

// run is a search under way.
type run struct {
	item
	end float64
}

// simulate plays both teams before 16 threads: render keeps 200 waiting, model has come and go by chance from a time on.
func simulate(d discipline, until, from, load float64, each func(now float64)) (work map[string]float64, waits map[string][]float64, takenBack float64) {
	dice := rand.New(rand.NewPCG(7, 7))
	work, waits = map[string]float64{}, map[string][]float64{}
	n, queued, free := 0, map[string]int{}, 16
	var runs []run
	next, since := from, map[string]float64{}
	for now := 0.0; now < until; now++ {
		put := func(team string, ms float64) {
			n++
			queued[team]++
			d.put(now, item{strconv.Itoa(n), team, now, ms})
		}
		for queued["render"] < 200 {
			put("render", 300)
		}
		for ; next <= now; next += dice.ExpFloat64() * 50 / (16 * load) {
			put("model", 50)
		}
		for k := 0; k < len(runs); k++ {
			if runs[k].end <= now {
				work[runs[k].team] += runs[k].work
				if now >= from && now < from+10_000 {
					since[runs[k].team] += runs[k].work
				}
				d.ended(now, runs[k].item)
				runs = slices.Delete(runs, k, k+1)
				free++
				k--
			}
		}
		if int(now)%100 == 0 {
			d.tick(now)
		}
		for free > 0 {
			x, ok := d.take(now)
			if !ok {
				break
			}
			queued[x.team]--
			free--
			waits[x.team] = append(waits[x.team], now-x.at)
			runs = append(runs, run{x, now + x.work})
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

// disciplines compares budgets with first come, first served, and with strict priority, before simulated executors.
func disciplines(string, string) ([]Figure, error) {
	var all []Figure
	p99 := map[string]float64{}
	for _, c := range []struct {
		name string
		make func() discipline
	}{{"budgets", func() discipline { return newFair(16, 3000) }}, {"fifo", func() discipline { return &fifo{} }},
		{"strict", func() discipline { return &strict{} }}} {
		_, waits, _ := simulate(c.make(), 60_000, 5000, 0.5, nil)
		over, _, back := simulate(c.make(), 60_000, 5000, 1.2, nil)
		// Wanted of ours alone: the others show what it is compared with.
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
	f, worst := newFair(16, 1000), 0.0
	var bounds []float64
	_, waits, _ := simulate(f, 60_000, 0, 1.2, func(float64) { bounds = append(bounds, f.tree.MaxWaitMS()) })
	for _, team := range []string{"model", "render"} {
		worst = max(worst, quantile(waits[team], 1))
	}
	c := f.tree.Counts()
	return append(all, Figure{"budgets.simulated_lookup_wait_p99_against_strict", p99["budgets"] / p99["strict"], "x", "<=", 1.5}, Figure{"budgets.longest_wait_against_bound", worst / slices.Max(bounds), "x", "<=", 1},
		Figure{"budgets.pressed_and_eased_a_second", float64(c.Capped+c.Uncapped) / 60, "1/s", "<=", 50}), nil
}

// sorted is the plain structure: all that wait in one slice, in the order of their starts; heaped the same in one heap.
type sorted struct{ list []tagged }
type tagged struct {
	start float64
	id    int
}

func (s *sorted) put(x tagged) {
	k := sort.Search(len(s.list), func(k int) bool { return s.list[k].start > x.start })
	s.list = slices.Insert(s.list, k, x)
}
func (s *sorted) take() { s.list = slices.Delete(s.list, 0, 1) }

type heaped []tagged

// Len, Less, Swap, Push and Pop make a heap of it.
func (h heaped) Len() int           { return len(h) }
func (h heaped) Less(a, b int) bool { return h[a].start < h[b].start }
func (h heaped) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

// Push adds one.
func (h *heaped) Push(x any) { *h = append(*h, x.(tagged)) }

// Pop takes out the last.
func (h *heaped) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// structures measures a decision with so many waiting, against plain structures that order searches alone.
func structures(string, string) (all []Figure, err error) {
	for _, teams := range []int{10, 10_000} {
		for _, waiting := range []int{1e3, 1e5, 1e6} {
			list := []quota.Team{{Name: "other"}}
			for k := range teams {
				list = append(list, quota.Team{Name: fmt.Sprint("t", k)})
			}
			tree, err := quota.New(list, "other", lookSettings(1e12))
			if err != nil {
				return all, err
			}
			ids, names := make([]string, waiting+20_000), make([]string, teams)
			for k := range ids {
				ids[k] = strconv.Itoa(k)
			}
			for k := range names {
				names[k] = fmt.Sprint("t", k)
			}
			now, n := 1.0, 0
			var ready []string
			step := func(ev *quota.Event) {
				for _, e := range tree.Step(now, ev) {
					if e.Kind == quota.Offer && !e.Immediate {
						ready = append(ready, e.ID)
					} else if e.Immediate {
						ready = append(ready, "?"+e.ID)
					}
				}
			}
			ask := func() {
				step(&quota.Event{Kind: quota.RequestQueued, ID: ids[n%len(ids)], Team: names[n*7919%teams], Class: "look", WorkMS: 10, Deadline: 1e15})
				n++
			}
			bytes, kept := heapBytes(func() any {
				for n < waiting {
					ask()
				}
				return tree
			})
			one := func() { // one comes, one goes
				now++
				ask()
				for len(ready) > 0 {
					id := ready[0]
					ready = ready[1:]
					if id[0] == '?' {
						step(&quota.Event{Kind: quota.RequestReturned, ID: id[1:]})
						continue
					}
					step(&quota.Event{Kind: quota.AttemptStarted, ID: id})
					step(&quota.Event{Kind: quota.AttemptEnded, ID: id})
					step(&quota.Event{Kind: quota.RequestClosed, ID: id})
					return
				}
			}
			const rounds = 2000
			s, h := &sorted{}, &heaped{}
			dice := rand.New(rand.NewPCG(1, 1))
			for k := range waiting {
				s.list = append(s.list, tagged{float64(k), k})
				heap.Push(h, tagged{float64(k), k})
			}
			m := sides(
				func() float64 { return seconds(func() { repeat(rounds, one) }) / rounds * 1e9 },
				func() float64 {
					return seconds(func() {
						repeat(200, func() { s.put(tagged{dice.Float64() * float64(waiting), 0}); s.take() })
					}) / 200 * 1e9
				},
				func() float64 {
					return seconds(func() {
						repeat(rounds, func() { heap.Push(h, tagged{dice.Float64() * float64(waiting), 0}); heap.Pop(h) })
					}) / rounds * 1e9
				})
			runtime.KeepAlive(kept)
			at := fmt.Sprintf("%d_teams_%d", teams, waiting)
			all = append(all, Figure{"budgets.ns_a_search_" + at, m[0], "ns", "<=", 20_000},
				Figure{"budgets.ns_against_sorted_slice_" + at, m[0] / m[1], "x", ">=", 0},
				Figure{"budgets.ns_against_heap_" + at, m[0] / m[2], "x", ">=", 0},
				Figure{"budgets.bytes_a_queued_search_" + at, bytes / float64(waiting), "B", "<=", 1000})
		}
	}
	return all, nil
}

func repeat(n int, do func()) {
	for range n {
		do()
	}
}
