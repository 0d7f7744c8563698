package benchmark

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"liftshift/internal/chaostest"
	"liftshift/internal/clustersim"
	"liftshift/internal/consensus"
	"liftshift/internal/membership"
)

const (
	crashRounds  = 20
	missedBeats  = 3    // heartbeats in a row, of the plain way, after which one counts as gone: fewer err at a tenth lost
	fewHours     = 1000 // member-hours of the search for members falsely held for gone
	shardMembers = 100
	histories    = 2000
	realOnes     = 30
	realRounds   = 20
	quietTime    = 20 * time.Second
)

// parallel does n things on all cores.
func parallel(n int, do func(k int)) {
	var all sync.WaitGroup
	next := make(chan int)
	for range runtime.NumCPU() {
		all.Add(1)
		go func() {
			defer all.Done()
			for k := range next {
				do(k)
			}
		}()
	}
	for k := range n {
		next <- k
	}
	close(next)
	all.Wait()
}

// joined is a simulated fleet whose views are settled.
func joined(n int, seed uint64, settings membership.Settings) *clustersim.Cluster {
	f := clustersim.New(n, seed)
	f.MembershipSettings = settings
	for k := range n {
		f.Start(k)
	}
	f.RunUntilConverged(60_000, 500)
	f.RunUntil(f.Now + 10_000)
	return f
}

// crashes measures when the first and when all know of crashes, and what a quiet fleet says.
func crashes(n, rounds int) (first, all []float64, messages, bytes float64) {
	f := joined(n, uint64(n), membership.DefaultSettings())
	f.Messages, f.Bytes = 0, 0
	const quiet = 30_000
	f.RunUntil(f.Now + quiet)
	messages = float64(f.Messages) / float64(n) / quiet * 1000
	bytes = float64(f.Bytes) / float64(n) / quiet * 1000
	for r := range rounds {
		k := (r*7 + 3) % n
		name, began, known, firstAt, lastAt := f.Nodes[k].Name, f.Now, 0, 0.0, 0.0
		f.OnEffect = func(by int, e *membership.Effect) {
			if e.Kind == membership.MemberChanged && e.Member.Name == name && e.Member.State == membership.Dead && by != k {
				if known++; known == 1 {
					firstAt = f.Now - began
				}
				lastAt = f.Now - began
			}
		}
		f.Kill(k)
		for known < n-1 && f.Now < began+60_000 {
			f.RunUntil(f.Now + 100)
		}
		if known < n-1 {
			lastAt = math.Inf(1)
		}
		first, all = append(first, firstAt), append(all, lastAt)
		f.OnEffect = nil
		f.Start(k)
		f.RunUntil(f.Now + 5000)
	}
	return first, all, messages, bytes
}

// falselyGone counts who is held for gone though it lives, in so many member-hours with a tenth of all messages lost and one in twenty
// stalling for 2 s now and then.
func falselyGone(hours float64, aware bool) float64 {
	shards := int(math.Ceil(hours / shardMembers * 6))
	counts := make([]int, shards)
	parallel(shards, func(s int) {
		settings := membership.DefaultSettings()
		settings.IgnoreOwnHealth = !aware
		f := joined(shardMembers, uint64(s)+1000, settings)
		f.Network.Loss = 0.1
		last := map[string]float64{}
		f.OnEffect = func(_ int, e *membership.Effect) {
			if e.Kind == membership.MemberChanged && e.Member.State == membership.Dead {
				if at, before := last[e.Member.Name]; !before || f.Now-at > 10_000 { // all that hold it so: one mistake
					counts[s]++
				}
				last[e.Member.Name] = f.Now
			}
		}
		for k := 0; k < shardMembers; k += 20 {
			var again func()
			again = func() {
				f.Stall(k, 2000)
				f.Schedule(f.Now+20_000+20_000*f.Rand().Float64(), again)
			}
			f.Schedule(f.Now+20_000*f.Rand().Float64(), again)
		}
		f.RunUntil(f.Now + 600_000)
	})
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return float64(sum) / (float64(shards) * shardMembers / 6) * 1000
}

// healing is how many probe intervals views need to be equal after a parting of 300, at the worst of some shapes.
func healing() float64 {
	shapes := []func(a, b int) bool{
		func(a, b int) bool { return a%2 != b%2 }, func(a, b int) bool { return a%3 != b%3 },
		func(a, b int) bool { return a < 100 && b >= 100 }, func(a, b int) bool { return a == 7 || b == 7 },
		func(a, b int) bool { return (a < 30) != (b < 30) },
	}
	took := make([]float64, len(shapes))
	parallel(len(shapes), func(k int) {
		f := joined(300, uint64(k)+50, membership.DefaultSettings())
		f.Network.Blocked = shapes[k]
		f.RunUntil(f.Now + 60_000)
		f.Network.Blocked = nil
		if took[k] = f.RunUntilConverged(120_000, 50) / 500; took[k] < 0 {
			took[k] = math.Inf(1)
		}
	})
	return slices.Max(took)
}

// leaderless is how long a council is without a leader after that is killed.
func leaderless() (median float64) {
	var times []float64
	for seed := range uint64(20) {
		h := clustersim.NewConsensusCluster(5, 3, seed)
		for k := range h.Nodes {
			h.Start(k)
		}
		h.RunUntil(15_000)
		at, was := h.Now, h.Leader
		for k, nd := range h.Nodes {
			if nd.Name == was {
				h.Kill(k)
			}
		}
		h.RunUntil(h.Now + 20_000)
		if h.Leader == was {
			times = append(times, math.Inf(1))
		} else {
			times = append(times, h.LeaderSince-at)
		}
	}
	return quantile(times, 0.5)
}

// entries is how many entries a second a council of three takes, disks of up to 5 ms and links of up to 2 ms simulated, and how long
// the log is then at most.
func entries() (rate, kept float64) {
	const names = 4000
	h := clustersim.NewConsensusCluster(3, 3, 77)
	for k := range h.Nodes {
		h.Start(k)
	}
	h.RunUntil(10_000)
	for n := range names {
		h.Observations = append(h.Observations, consensus.Observation{Name: fmt.Sprint("x", n), Incarnation: 1, Alive: true})
	}
	began := h.Now
	for h.Now < began+120_000 {
		h.RunUntil(h.Now + 20)
		least := names
		for k, s := range h.ConsensusNodes {
			st := s.Group.Status(h.LocalTime(k))
			kept, least = max(kept, float64(st.LogEntries)), min(least, len(st.Record.Members))
		}
		if least >= names {
			return names / (h.Now - began) * 1000, kept
		}
	}
	return 0, kept
}

// cpuMS gives the processor time of a process, rssMB what it holds.
func cpuMS(pid int) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	return (user + system) * 10
}

func rssMB(pid int) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for l := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(l, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(v)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// idle gives the processor time of a core, in percent, and the memory of each of some quiet controllers.
func idle(f *chaostest.Fleet) (percent, mb float64) {
	var cpu, rss []float64
	before := map[int]float64{}
	for k := range f.Controllers {
		before[k] = cpuMS(f.Process(k))
	}
	time.Sleep(quietTime)
	for k := range f.Controllers {
		cpu = append(cpu, (cpuMS(f.Process(k))-before[k])/float64(quietTime.Milliseconds())*100)
		rss = append(rss, rssMB(f.Process(k)))
	}
	return quantile(cpu, 0.5), quantile(rss, 0.5)
}

// real measures thirty real processes: how soon the views are settled after ten are killed, and what the block costs.
func realFleet(dir, programs string) ([]Figure, error) {
	program := filepath.Join(programs, "liftshift")
	plan := chaostest.Plan{Program: program, Folder: filepath.Join(dir, "with"), Controllers: realOnes, Engines: 1, Zones: 3, Seed: 11}
	plain := plan
	plain.Folder, plain.NoFleet, plain.Controllers = filepath.Join(dir, "without"), true, 10
	without, err := chaostest.New(plain)
	if err != nil {
		return nil, err
	}
	if err = without.StartAll(); err != nil {
		without.Close()
		return nil, err
	}
	time.Sleep(2 * time.Second)
	cpu0, mb0 := idle(without)
	without.Close()
	f, err := chaostest.New(plan)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err = f.StartAll(); err != nil {
		return nil, err
	}
	join, err := f.WhenSettled(60 * time.Second)
	if err != nil {
		return nil, err
	}
	sent := f.Relay.Bytes.Load()
	cpu, mb := idle(f)
	bytes := float64(f.Relay.Bytes.Load()-sent) / quietTime.Seconds() / realOnes
	var took []float64
	for r := range realRounds {
		for n := range 10 {
			f.Kill((3*n + r) % realOnes)
		}
		t, err := f.WhenSettled(60 * time.Second)
		if err != nil {
			return nil, err
		}
		took = append(took, t.Seconds())
		if err := f.StartAll(); err != nil {
			return nil, err
		}
		if _, err := f.WhenSettled(60 * time.Second); err != nil {
			return nil, err
		}
	}
	return []Figure{
		{"fleet.real_30_join", join.Seconds(), "s", "<=", 5},
		{"fleet.real_10_of_30_killed_settled_median", quantile(took, 0.5), "s", "<=", 5},
		{"fleet.real_10_of_30_killed_settled_worst", slices.Max(took), "s", "<=", 15},
		{"fleet.real_cpu_of_a_core", cpu - cpu0, "%", "<=", 1},
		{"fleet.real_memory", mb - mb0, "MB", "<=", 3},
		{"fleet.real_bytes_a_second", bytes, "B/s", "<=", 4000},
	}, nil
}

// Fleet measures the view: simulated at three sizes, and with real processes.
func Fleet(dir, programs string) ([]Figure, error) {
	var figures []Figure
	add := func(name string, value float64, unit, op string, want float64) {
		figures = append(figures, Figure{"fleet." + name, value, unit, op, want})
		fmt.Println("#", figures[len(figures)-1])
	}
	rates := map[int]float64{}
	for _, size := range []struct{ n, rounds int }{{30, crashRounds}, {300, crashRounds}, {3000, 3}} {
		first, all, messages, bytes := crashes(size.n, size.rounds)
		at := fmt.Sprintf("sim_%d_", size.n)
		rates[size.n] = bytes
		add(at+"first_knows_median", quantile(first, 0.5)/1000, "s", "<=", 5)
		add(at+"all_know_median", quantile(all, 0.5)/1000, "s", "<=", 6)
		add(at+"all_know_p99", quantile(all, 0.99)/1000, "s", "<=", 20)
		add(at+"messages_a_second", messages, "/s", "<=", 10)
		add(at+"bytes_a_second", bytes, "B/s", "<=", 1500)
		// The plain way at the same number of messages: each of n-1 others gets one every (n-1)/messages seconds.
		beat := float64(size.n-1) / messages
		add(at+"gain_over_heartbeats", (missedBeats+0.5)*beat/(quantile(all, 0.5)/1000), "x", ">=", 2)
	}
	add("sim_bytes_growth_30_to_3000", rates[3000]/rates[30], "x", "<=", 1.5)
	add("sim_healed_300_worst", healing(), "probe intervals", "<=", 10)
	add("sim_falsely_gone_per_1000_member_hours", falselyGone(fewHours, true), "", "<=", 1)
	add("sim_falsely_gone_unaware_of_self", falselyGone(fewHours/5, false), "", ">=", 0)
	real, err := realFleet(dir, programs)
	for _, x := range real {
		fmt.Println("#", x)
	}
	return append(figures, real...), err
}

// Council measures what is agreed: histories under faults, the time without a leader, and how much it takes.
func Council(string, string) ([]Figure, error) {
	var figures []Figure
	add := func(name string, value float64, unit, op string, want float64) {
		figures = append(figures, Figure{"fleet." + name, value, unit, op, want})
	}
	var mu sync.Mutex
	claims, declared, broken := 0, 0, 0
	parallel(histories, func(k int) {
		o := clustersim.RunConsensus(uint64(k), nil)
		mu.Lock()
		defer mu.Unlock()
		claims, declared = claims+o.Operations, declared+o.DeclaredLost
		if len(o.Violations) > 0 {
			broken++
			fmt.Println("# broken:", o.Seed, o.Violations)
		}
	})
	add("council_histories_broken", float64(broken), fmt.Sprintf("of %d, %d claims, %d lives lost", histories, claims, declared), "==", 0)
	gap := leaderless()
	rate, kept := entries()
	add("council_leaderless_median", gap/1000, "s", "<=", 3)
	add("council_entries_a_second", rate, "/s", ">=", 500)
	add("council_log_kept", kept, "entries", "<=", 1024)
	return figures, nil
}
