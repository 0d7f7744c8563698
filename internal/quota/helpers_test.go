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

// world is a tree before executors of so many threads that run what is offered in the order of offers, as far as there is
// room; it plays the module, which holds back what can't run.
type world struct {
	*Tree
	t       require.TestingT
	now     float64
	threads float64 // free
	only    map[string]float64
	at      []waiting // the module's
	runs    []run
	done    map[string]float64 // by team: work
	waits   map[string][]float64
	lost    map[string]int // whose time had passed
	pressed map[string]int
	info    map[string]ask
	n       int
	slow    float64
}

type waiting struct {
	id  string
	now bool
}

type run struct {
	id  string
	end float64
}

type ask struct {
	team, offering string
	work, at       float64
	until          float64
}

func before(t require.TestingT, threads float64, teams []Team, ageMS float64) *world {
	tree, err := New(teams, "other", testSettings(ageMS))
	require.NoError(t, err)
	w := &world{Tree: tree, t: t, now: 1000, threads: threads, done: map[string]float64{}, waits: map[string][]float64{},
		lost: map[string]int{}, pressed: map[string]int{}, info: map[string]ask{}, slow: 1}
	w.play(&Event{Kind: CapacityChanged, Cores: threads / perCore})
	return w
}

var threadsOf = map[string]float64{"look": 1, "report": 2, "load": 2}

func (w *world) play(ev *Event) {
	for _, e := range w.Step(w.now, ev) {
		switch e.Kind {
		case Offer:
			w.at = append(w.at, waiting{e.ID, e.Immediate})
		case CapPriority:
			w.pressed[e.ID]++
		case UncapPriority:
			w.pressed[e.ID]--
		}
	}
}

// ask takes a search of a team; the estimate may be false.
func (w *world) ask(team, offering string, work, estimate, until float64) string {
	w.n++
	id := fmt.Sprint(team, "-", w.n)
	w.info[id] = ask{team, offering, work, w.now, until}
	w.play(&Event{Kind: RequestQueued, ID: id, Team: team, Class: offering, WorkMS: estimate, MemoryMB: 10, Deadline: until})
	w.place()
	return id
}

// place runs what is at the module, as far as threads go, and turns away what is too late.
func (w *world) place() {
	for k := 0; k < len(w.at); k++ {
		id := w.at[k].id
		a := w.info[id]
		need := threadsOf[a.offering]
		switch {
		case w.now+a.work/need > a.until:
			w.lost[a.team]++
			w.at = append(w.at[:k], w.at[k+1:]...)
			w.play(&Event{Kind: RequestClosed, ID: id})
			k = -1
		case w.threads >= need && (w.only == nil || w.only[a.offering] >= need):
			w.threads -= need
			if w.only != nil {
				w.only[a.offering] -= need
			}
			w.waits[a.team] = append(w.waits[a.team], w.now-a.at)
			w.runs = append(w.runs, run{id, w.now + a.work/need*w.slow})
			w.at = append(w.at[:k], w.at[k+1:]...)
			w.play(&Event{Kind: AttemptStarted, ID: id})
			k = -1
		case w.at[k].now:
			w.at = append(w.at[:k], w.at[k+1:]...)
			w.play(&Event{Kind: RequestReturned, ID: id})
			k--
		}
	}
}

// until plays time up to a clock, in steps of 10 ms; each step calls what comes.
func (w *world) until(clock float64, comes func()) {
	for w.now < clock {
		w.now += 10
		if comes != nil {
			comes()
		}
		for k := 0; k < len(w.runs); k++ {
			if r := w.runs[k]; r.end <= w.now {
				a := w.info[r.id]
				w.done[a.team] += a.work
				w.threads += threadsOf[a.offering]
				if w.only != nil {
					w.only[a.offering] += threadsOf[a.offering]
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
		w.place()
	}
}

// keep holds a team's queue at a length: it saturates.
func (w *world) keep(team, offering string, n int, work, estimate float64) {
	for w.nodes[w.byName[team]].queued < n {
		w.ask(team, offering, work, estimate, w.now+1e6)
	}
}

func (w *world) share(team string) float64 {
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

// The same cases in every run, and no files left behind; the command line may say otherwise.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}
