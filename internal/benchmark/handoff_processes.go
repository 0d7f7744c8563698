package benchmark

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"liftshift/internal/chaostest"
	"liftshift/internal/clustersim"
	"liftshift/internal/testservers"
)

const (
	defaultRounds    = 300
	parallelClusters = 3 // fleets that play rounds side by side
	killRounds       = 12
	killRequests     = 40
	loadRequests     = 1500
	loadClients      = 4

	fastFleet = "probe = \"200ms\"\n answer = \"80ms\"\n suspect = \"800ms\"\n lease = \"2s\"\n declare = \"500ms\"\n"
	// What is promised with these times: the lease, or else the suspicion, until one may be declared lost; the council's two looks; a
	// claim; and what an heir waits for until it knows all.
	takeoverBoundMS = 2000*1.004 + 500 + 2*200 + 400 + 1000
)

// countRunsWithoutLeases counts idempotency keys that run twice where leases are ignored.
func countRunsWithoutLeases(n int) (twice int) {
	var mu sync.Mutex
	parallel(n, func(k int) {
		faults := []clustersim.Fault{{At: 12_000 + 40*float64(k), Kind: clustersim.FaultStall, Node: 4, DurationMS: 24_000}, {At: 14_000, Kind: clustersim.FaultStall, Node: 3, DurationMS: 24_000}}
		scenario := clustersim.HandoffScenario{Seed: uint64(k), DedupWindowMS: 10_000, Faults: faults, IgnoreLeases: true}
		for _, v := range clustersim.RunHandoff(scenario).Violations {
			if v.Kind == clustersim.RanTwice {
				mu.Lock()
				twice++
				mu.Unlock()
			}
		}
	})
	return twice
}

func handoffConfig(dir, program, name string, drops time.Duration, seed uint64) chaostest.Config {
	return chaostest.Config{Program: program, Directory: filepath.Join(dir, name), Controllers: 5, Executors: 3, Founders: 3, Store: true, ClusterSettings: fastFleet,
		HandoffSettings: "copies = 2", DedupWindow: drops, WorkMS: 10, Seed: seed,
		WorkByClass: map[string]time.Duration{"mark": 1200 * time.Millisecond, "once": 1200 * time.Millisecond}}
}

// startCluster starts a fleet and waits until it is ready.
func startCluster(p chaostest.Config) (*chaostest.Cluster, error) {
	f, err := chaostest.New(p)
	if err != nil {
		return nil, err
	}
	if err = f.StartAll(); err == nil {
		_, err = f.WaitUntilConverged(30 * time.Second)
	}
	if err == nil && p.HandoffSettings != "" {
		err = f.WaitUntilHandoffReady(30 * time.Second)
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// runTakeovers plays rounds of all faults with real processes, and gives them. Disk is how the disks of owners are, in builds with the tag
// faults; empty: sound.
func runTakeovers(dir, program string, n int, disk string) (all []chaostest.Round, err error) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	for w := range parallelClusters {
		wait.Add(1)
		go func() {
			defer wait.Done()
			drops := []time.Duration{-1, 20 * time.Second}[w%2]
			seed := uint64(100 + w)
			f, wrong := startCluster(handoffConfig(dir, program, fmt.Sprint("rounds", w), drops, seed))
			for k := 3; f != nil && disk != "" && k < 5 && wrong == nil; k++ {
				wrong = f.SetDiskState(k, disk)
			}
			chance := rand.New(rand.NewPCG(seed, 3))
			for k := w; k < n && wrong == nil; k += parallelClusters {
				var r chaostest.Round
				if r, wrong = f.PlayTakeover(chaostest.TakeoverFaults[k%len(chaostest.TakeoverFaults)], fmt.Sprint("r", k), 24, chance); wrong != nil {
					break
				}
				mu.Lock()
				all = append(all, r)
				for _, b := range slices.Concat(r.RanTwice, r.Contradictions, r.WithoutOutcome) {
					fmt.Printf("# wrong: round %d, %s, drops %v: %s\n", k, r.Fault, drops, b)
				}
				mu.Unlock()
			}
			if f != nil {
				f.Close()
			}
			if wrong != nil {
				mu.Lock()
				err = wrong
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	return all, err
}

// runKills has controllers killed with labelled searches in hand, whose clients come again elsewhere once. Without an estate: the program
// before.
func runKills(dir, program string, with bool) (handled, twice, unsent, sent float64, first []float64, err error) {
	p := handoffConfig(dir, program, fmt.Sprint("kills", with), 20*time.Second, 41)
	if !with {
		p.HandoffSettings, p.DedupWindow = "", 100*time.Millisecond // and engines that soon forget, as before
	}
	f, err := startCluster(p)
	if err != nil {
		return 0, 0, 0, 0, nil, err
	}
	defer f.Close()
	asked := 0.0
	for r := range envNumber("KILL_ROUNDS", killRounds) {
		b, err := f.PlayKillInFlight(fmt.Sprint("k", r), killRequests)
		if err != nil {
			return 0, 0, 0, 0, nil, err
		}
		for _, n := range b.RetriesNotHandled {
			fmt.Println("# not handled:", n)
		}
		asked, handled, twice = asked+killRequests, handled+float64(b.RetriesHandled), twice+float64(len(b.RanTwice))
		unsent, sent = unsent+float64(b.UnsentAtFault), sent+float64(b.SentLater)
		if b.FirstAttempt > 0 {
			first = append(first, float64(b.FirstAttempt)/float64(time.Millisecond))
		}
	}
	return handled / asked, twice, unsent, sent, first, nil
}

// runLoad has clients search at a controller one after the other and gives the processor time a search, and how long shots were held.
func runLoad(f *chaostest.Cluster, offering, tag string) (cpu, holdMS float64, err error) {
	before := cpuMS(f.PID(0))
	var all sync.WaitGroup
	var mu sync.Mutex
	for w := range loadClients {
		all.Add(1)
		go func() {
			defer all.Done()
			c, wrong := testservers.Dial(f.Controllers[0].ClientAddress, time.Second)
			for k := 0; wrong == nil && k < loadRequests/loadClients; k++ {
				id, mark := fmt.Sprintf("%s-%d-%d", tag, w, k), ""
				if offering == "mark" {
					mark = "m" + id
				}
				var a testservers.Reply
				if a, wrong = c.Submit(offering, id, mark, 5*time.Second); wrong == nil && a.Code != 0 {
					wrong = fmt.Errorf("%s: %d %s", id, a.Code, a.Message)
				}
			}
			if wrong != nil {
				mu.Lock()
				err = wrong
				mu.Unlock()
			}
			if c != nil {
				c.Close()
			}
		}()
	}
	all.Wait()
	cpu = (cpuMS(f.PID(0)) - before) / loadRequests
	if offering == "mark" {
		holdMS = lastField(f.Controllers[0], "counters", "hold_ms")
	}
	return cpu, holdMS, err
}

// lastField waits for the next line of counters and gives one of them.
func lastField(c *chaostest.Controller, line, field string) float64 {
	n := strings.Count(c.Log(), "msg="+line+" ")
	for began := time.Now(); time.Since(began) < 12*time.Second; time.Sleep(100 * time.Millisecond) {
		if log := c.Log(); strings.Count(log, "msg="+line+" ") > n {
			at := strings.LastIndex(log, "msg="+line+" ")
			_, rest, _ := strings.Cut(log[at:], " "+field+"=")
			rest, _, _ = strings.Cut(rest, " ")
			v, _ := strconv.ParseFloat(rest, 64)
			return v
		}
	}
	return 0
}

// measureHolds gives how long labelled shots are held, by condition, and the processor time of redoable searches with copies and without.
func measureHolds(dir, program string) (disk, both, others, plain, copied float64, err error) {
	var a, b, c, d, e []float64
	for turn := range envNumber("HOLD_TURNS", 5) {
		for n, s := range []struct {
			estate, offering string
			to               *[]float64
			cpu              bool
		}{{"", "mark", &a, false}, {"copies = 2\ncondition = \"disk and holders\"", "mark", &b, false}, {"copies = 2\ncondition = \"holders\"", "mark", &c, false},
			{"", "look", &d, true}, {"copies = 2", "look", &e, true}} {
			p := handoffConfig(dir, program, fmt.Sprintf("hold%d-%d", turn, n), 20*time.Second, uint64(60+turn*10+n))
			p.HandoffSettings, p.WorkMS, p.WorkByClass, p.Direct = s.estate, 1, nil, true
			f, wrong := startCluster(p)
			if wrong != nil {
				return 0, 0, 0, 0, 0, wrong
			}
			cpu, held, wrong := runLoad(f, s.offering, fmt.Sprint("h", turn))
			f.Close()
			if wrong != nil {
				return 0, 0, 0, 0, 0, wrong
			}
			if s.cpu {
				held = cpu
			}
			*s.to = append(*s.to, held)
		}
	}
	return median(a), median(b), median(c), median(d), median(e), nil
}

// takeoverFigures gives figures of taking over, and a way to add one.
func takeoverFigures() (figures *[]Figure, add func(name string, value float64, unit, op string, want float64)) {
	figures = &[]Figure{}
	return figures, func(name string, value float64, unit, op string, want float64) {
		*figures = append(*figures, Figure{"takeover." + name, value, unit, op, want})
		fmt.Println("#", (*figures)[len(*figures)-1])
	}
}

// envNumber is one of the environment's, or what is usual.
func envNumber(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

// Takeovers plays rounds of all faults with real processes. TAKEOVER_ROUNDS sets how many.
func Takeovers(dir, programs string) ([]Figure, error) {
	figures, add := takeoverFigures()
	if kinds := os.Getenv("TAKEOVER_KINDS"); kinds != "" {
		chaostest.TakeoverFaults = strings.Split(kinds, ",")
	}
	all, err := runTakeovers(dir, filepath.Join(programs, "liftshift"), envNumber("TAKEOVER_ROUNDS", defaultRounds), "")
	if err != nil {
		return nil, err
	}
	real, played, settled := map[string]float64{}, map[string]int{}, 0.0
	for _, r := range all {
		settled = max(settled, r.OutcomesAgreed.Seconds())
		played[r.Fault]++
		real["twice"] += float64(len(r.RanTwice))
		real["two"] += float64(len(r.Contradictions))
		real["without"] += float64(len(r.WithoutOutcome))
	}
	fmt.Println("# rounds by fault:", played)
	unit := fmt.Sprintf("of %d rounds", len(all))
	add("real_ran_twice", real["twice"], unit, "==", 0)
	add("real_two_answers", real["two"], unit, "==", 0)
	add("real_without_outcome", real["without"], unit, "==", 0)
	add("real_longest_until_told_alike", settled, "s after the fleet is whole", "<=", 5)
	return *figures, nil
}

// Holds measures how long labelled shots are held, by what is to stand before they leave, and what copies of redoable searches cost.
// The controllers reach one another without a relay. HOLD_TURNS sets how often each side is measured.
func AttemptHolds(dir, programs string) ([]Figure, error) {
	figures, add := takeoverFigures()
	disk, both, others, plain, copied, err := measureHolds(dir, filepath.Join(programs, "liftshift"))
	if err != nil {
		return nil, err
	}
	add("hold_disk_alone", disk, "ms", ">=", 0)
	add("hold_disk_and_holders", both/disk, "x disk alone", "<=", 1.3)
	add("hold_holders_alone", others/disk, "x disk alone", "<=", 1)
	add("cpu_redoable_with_copies", copied/plain, "x without", "<=", 1.05)
	return *figures, nil
}

// ClientRetries measures what clients get whose controller is killed with their labelled searches in hand.
func ClientRetries(dir, programs string) ([]Figure, error) {
	figures, add := takeoverFigures()
	program := filepath.Join(programs, "liftshift")
	handled, again, unsent, sent, first, err := runKills(dir, program, true)
	if err != nil {
		return nil, err
	}
	before, wasted, _, _, _, err := runKills(dir, program, false)
	if err != nil {
		return nil, err
	}
	add("never_sent_at_the_kill_handled", 100*sent/max(1, unsent), fmt.Sprintf("%% of %.0f", unsent), ">=", 99)
	add("first_shot_of_an_heir_median", quantile(first, 0.5)/takeoverBoundMS, "x promised", "<=", 1)
	add("first_shot_of_an_heir_p99", quantile(first, 0.99)/takeoverBoundMS, "x promised", "<=", 1)
	add("returned_once_handled", 100*handled, "%", ">=", 100*before)
	add("returned_once_handled_before", 100*before, "%", ">=", 0)
	add("runs_wasted", again, "", "==", 0)
	add("runs_wasted_before", wasted, "", ">=", 0)
	return *figures, nil
}
