package benchmark

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"liftshift/internal/chaostest"
)

const (
	processCount  = 30
	processRounds = 20
	idleTime      = 20 * time.Second
)

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

// measureIdle gives the processor time of a core, in percent, and the memory of each of some quiet controllers.
func measureIdle(f *chaostest.Cluster) (percent, mb float64) {
	var cpu, rss []float64
	before := map[int]float64{}
	for k := range f.Controllers {
		before[k] = cpuMS(f.PID(k))
	}
	time.Sleep(idleTime)
	for k := range f.Controllers {
		cpu = append(cpu, (cpuMS(f.PID(k))-before[k])/float64(idleTime.Milliseconds())*100)
		rss = append(rss, rssMB(f.PID(k)))
	}
	return quantile(cpu, 0.5), quantile(rss, 0.5)
}

// measureProcesses measures thirty real processes: how soon the views converge after ten are killed, and what membership costs.
func measureProcesses(dir, programs string) ([]Figure, error) {
	program := filepath.Join(programs, "liftshift")
	plan := chaostest.Config{Program: program, Directory: filepath.Join(dir, "with"), Controllers: processCount, Executors: 1, Zones: 3, Seed: 11}
	plain := plan
	plain.Directory, plain.WithoutCluster, plain.Controllers = filepath.Join(dir, "without"), true, 10
	without, err := chaostest.New(plain)
	if err != nil {
		return nil, err
	}
	if err = without.StartAll(); err != nil {
		without.Close()
		return nil, err
	}
	time.Sleep(2 * time.Second)
	cpu0, mb0 := measureIdle(without)
	without.Close()
	f, err := chaostest.New(plan)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err = f.StartAll(); err != nil {
		return nil, err
	}
	join, err := f.WaitUntilConverged(60 * time.Second)
	if err != nil {
		return nil, err
	}
	sent := f.Relay.DatagramBytes.Load()
	cpu, mb := measureIdle(f)
	bytes := float64(f.Relay.DatagramBytes.Load()-sent) / idleTime.Seconds() / processCount
	var took []float64
	for r := range processRounds {
		for n := range 10 {
			f.Kill((3*n + r) % processCount)
		}
		t, err := f.WaitUntilConverged(60 * time.Second)
		if err != nil {
			return nil, err
		}
		took = append(took, t.Seconds())
		if err := f.StartAll(); err != nil {
			return nil, err
		}
		if _, err := f.WaitUntilConverged(60 * time.Second); err != nil {
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

// Cluster measures the view: simulated at three sizes, and with real processes.
func Cluster(dir, programs string) ([]Figure, error) {
	var figures []Figure
	add := func(name string, value float64, unit, op string, want float64) {
		figures = append(figures, Figure{"fleet." + name, value, unit, op, want})
		fmt.Println("#", figures[len(figures)-1])
	}
	rates := map[int]float64{}
	for _, size := range []struct{ n, rounds int }{{30, crashRounds}, {300, crashRounds}, {3000, 3}} {
		first, all, messages, bytes := measureCrashes(size.n, size.rounds)
		at := fmt.Sprintf("sim_%d_", size.n)
		rates[size.n] = bytes
		add(at+"first_knows_median", quantile(first, 0.5)/1000, "s", "<=", 5)
		add(at+"all_know_median", quantile(all, 0.5)/1000, "s", "<=", 6)
		add(at+"all_know_p99", quantile(all, 0.99)/1000, "s", "<=", 20)
		add(at+"messages_a_second", messages, "/s", "<=", 10)
		add(at+"bytes_a_second", bytes, "B/s", "<=", 1500)
		// The plain way at the same number of messages: each of n-1 others gets one every (n-1)/messages seconds.
		beat := float64(size.n-1) / messages
		add(at+"gain_over_heartbeats", (missedHeartbeats+0.5)*beat/(quantile(all, 0.5)/1000), "x", ">=", 2)
	}
	add("sim_bytes_growth_30_to_3000", rates[3000]/rates[30], "x", "<=", 1.5)
	add("sim_healed_300_worst", partitionRecovery(), "probe intervals", "<=", 10)
	add("sim_falsely_gone_per_1000_member_hours", falselyDeadRate(falselyDeadHours, true), "", "<=", 1)
	add("sim_falsely_gone_unaware_of_self", falselyDeadRate(falselyDeadHours/5, false), "", ">=", 0)
	real, err := measureProcesses(dir, programs)
	for _, x := range real {
		fmt.Println("#", x)
	}
	return append(figures, real...), err
}
