package quota

import (
	"flag"
	"fmt"
	"math"

	"github.com/stretchr/testify/require"

	"liftshift/scheduler"
)

// testSettings has three classes: look of one thread, report of two, load of two that holds its table group.
func testSettings(ageMS float64) Settings {
	s := DefaultSettings()
	if ageMS > 0 {
		s.AgeMS = ageMS
	}
	s.Classes = []scheduler.RequestClass{{Name: "look", Threads: 1}, {Name: "report", Threads: 2}, {Name: "load", Threads: 2, HoldsTableGroup: true}}
	return s
}

// simulation is a tree before executors of so many threads, which run what is offered in the order of offers while there are threads. It
// plays the scheduler, which holds back what can't run.
type simulation struct {
	*Tree
	t            require.TestingT
	now          float64
	threads      float64 // free
	classThreads map[string]float64
	offers       []simOffer // the module's
	runs         []simRun
	done         map[string]float64 // work by team
	waits        map[string][]float64
	late         map[string]int // by team: requests whose deadline had passed
	caps         map[string]int
	requests     map[string]simRequest
	count        int
	slowdown     float64
}

type simOffer struct {
	id        string
	immediate bool
}

type simRun struct {
	id  string
	end float64
}

type simRequest struct {
	team, class string
	work, at    float64
	deadline    float64
}

func newSimulation(t require.TestingT, threads float64, teams []Team, ageMS float64) *simulation {
	tree, err := New(teams, "other", testSettings(ageMS))
	require.NoError(t, err)
	w := &simulation{Tree: tree, t: t, now: 1000, threads: threads, done: map[string]float64{}, waits: map[string][]float64{},
		late: map[string]int{}, caps: map[string]int{}, requests: map[string]simRequest{}, slowdown: 1}
	w.play(&Event{Kind: CapacityChanged, Cores: threads / threadsPerCore})
	return w
}

var threadsOf = map[string]float64{"look": 1, "report": 2, "load": 2}

func (w *simulation) play(ev *Event) {
	for _, e := range w.Step(w.now, ev) {
		switch e.Kind {
		case Offer:
			w.offers = append(w.offers, simOffer{e.ID, e.Immediate})
		case CapPriority:
			w.caps[e.ID]++
		case UncapPriority:
			w.caps[e.ID]--
		}
	}
}

// submit enqueues a request of a team; the estimate may be wrong.
func (w *simulation) submit(team, class string, work, estimate, deadline float64) string {
	w.count++
	id := fmt.Sprint(team, "-", w.count)
	w.requests[id] = simRequest{team, class, work, w.now, deadline}
	w.play(&Event{Kind: RequestQueued, ID: id, Team: team, Class: class, WorkMS: estimate, MemoryMB: 10, Deadline: deadline})
	w.run()
	return id
}

// run runs what is at the scheduler, as far as threads go, and rejects what is too late.
func (w *simulation) run() {
	for k := 0; k < len(w.offers); k++ {
		id := w.offers[k].id
		a := w.requests[id]
		need := threadsOf[a.class]
		switch {
		case w.now+a.work/need > a.deadline:
			w.late[a.team]++
			w.offers = append(w.offers[:k], w.offers[k+1:]...)
			w.play(&Event{Kind: RequestClosed, ID: id})
			k = -1
		case w.threads >= need && (w.classThreads == nil || w.classThreads[a.class] >= need):
			w.threads -= need
			if w.classThreads != nil {
				w.classThreads[a.class] -= need
			}
			w.waits[a.team] = append(w.waits[a.team], w.now-a.at)
			w.runs = append(w.runs, simRun{id, w.now + a.work/need*w.slowdown})
			w.offers = append(w.offers[:k], w.offers[k+1:]...)
			w.play(&Event{Kind: AttemptStarted, ID: id})
			k = -1
		case w.offers[k].immediate:
			w.offers = append(w.offers[:k], w.offers[k+1:]...)
			w.play(&Event{Kind: RequestReturned, ID: id})
			k--
		}
	}
}

// advance plays time up to a clock, in steps of 10 ms; each step calls arrivals.
func (w *simulation) advance(clock float64, arrivals func()) {
	for w.now < clock {
		w.now += 10
		if arrivals != nil {
			arrivals()
		}
		for k := 0; k < len(w.runs); k++ {
			if r := w.runs[k]; r.end <= w.now {
				a := w.requests[r.id]
				w.done[a.team] += a.work
				w.threads += threadsOf[a.class]
				if w.classThreads != nil {
					w.classThreads[a.class] += threadsOf[a.class]
				}
				w.runs = append(w.runs[:k], w.runs[k+1:]...)
				w.play(&Event{Kind: AttemptEnded, ID: r.id})
				w.play(&Event{Kind: RequestClosed, ID: r.id})
				k--
			}
		}
		if math.Mod(w.now, 100) == 0 {
			w.play(&Event{Kind: Ticked})
		}
		w.run()
	}
}

// saturate keeps a team's queue at a length.
func (w *simulation) saturate(team, class string, n int, work, estimate float64) {
	for w.nodes[w.byName[team]].queued < n {
		w.submit(team, class, work, estimate, w.now+1e6)
	}
}

func (w *simulation) share(team string) float64 {
	all := 0.0
	for _, x := range w.done {
		all += x
	}
	return w.done[team] / all
}

func longest(waits []float64) (most float64) {
	for _, x := range waits {
		most = max(most, x)
	}
	return most
}

// The same cases are drawn in every run, and no files are left behind, unless the command line says otherwise.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}
