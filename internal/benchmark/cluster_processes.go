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
	processCount    = 30
	processRounds   = 20
	killsPerRound   = 10
	idleTime        = 20 * time.Second
	convergeTimeout = 60 * time.Second
	clockTickMS     = 10 // of the processor times in /proc/PID/stat
)

// cpuMS returns the processor time that a process has used, in milliseconds; 0 if it cannot be read.
func cpuMS(pid int) float64 {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) * clockTickMS
}

// rssMB returns the anonymous resident memory of a process; 0 if it cannot be read.
func rssMB(pid int) float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// measureIdle returns the median processor time, in percent of a core, and the median memory of idle controllers.
func measureIdle(cluster *chaostest.Cluster) (percent, mb float64) {
	var cpu, rss []float64
	before := map[int]float64{}
	for k := range cluster.Controllers {
		before[k] = cpuMS(cluster.PID(k))
	}
	time.Sleep(idleTime)
	for k := range cluster.Controllers {
		cpu = append(cpu, (cpuMS(cluster.PID(k))-before[k])/float64(idleTime.Milliseconds())*100)
		rss = append(rss, rssMB(cluster.PID(k)))
	}
	return quantile(cpu, 0.5), quantile(rss, 0.5)
}

// measureIdleWithoutCluster returns what measureIdle measures of controllers without a cluster block.
func measureIdleWithoutCluster(config chaostest.Config) (percent, mb float64, err error) {
	cluster, err := chaostest.New(config)
	if err != nil {
		return 0, 0, err
	}
	if err = cluster.StartAll(); err != nil {
		cluster.Close()
		return 0, 0, err
	}
	time.Sleep(2 * time.Second)
	percent, mb = measureIdle(cluster)
	cluster.Close()
	return percent, mb, nil
}

// measureProcesses measures a cluster of controller processes: how long the views take to converge after a third of the
// processes is killed, and the cost of membership.
func measureProcesses(dir, programs string) ([]Figure, error) {
	program := filepath.Join(programs, "liftshift")
	config := chaostest.Config{
		Program:     program,
		Directory:   filepath.Join(dir, "with"),
		Controllers: processCount,
		Executors:   1,
		Zones:       3,
		Seed:        11,
	}
	baseline := config
	baseline.Directory, baseline.WithoutCluster, baseline.Controllers = filepath.Join(dir, "without"), true, 10
	baselinePercent, baselineMB, err := measureIdleWithoutCluster(baseline)
	if err != nil {
		return nil, err
	}
	cluster, err := chaostest.New(config)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	if err = cluster.StartAll(); err != nil {
		return nil, err
	}
	joinTime, err := cluster.WaitUntilConverged(convergeTimeout)
	if err != nil {
		return nil, err
	}
	bytesBefore := cluster.Relay.DatagramBytes.Load()
	percent, mb := measureIdle(cluster)
	bytesPerSecond := float64(cluster.Relay.DatagramBytes.Load()-bytesBefore) / idleTime.Seconds() / processCount
	convergeTimes, err := measureKills(cluster)
	if err != nil {
		return nil, err
	}
	return []Figure{
		{"fleet.real_30_join", joinTime.Seconds(), "s", "<=", 5},
		{"fleet.real_10_of_30_killed_settled_median", quantile(convergeTimes, 0.5), "s", "<=", 5},
		{"fleet.real_10_of_30_killed_settled_worst", slices.Max(convergeTimes), "s", "<=", 15},
		{"fleet.real_cpu_of_a_core", percent - baselinePercent, "%", "<=", 1},
		{"fleet.real_memory", mb - baselineMB, "MB", "<=", 3},
		{"fleet.real_bytes_a_second", bytesPerSecond, "B/s", "<=", 4000},
	}, nil
}

// measureKills kills controllers in rounds and returns how long the views took to converge each time, in seconds.
func measureKills(cluster *chaostest.Cluster) (seconds []float64, err error) {
	for round := range processRounds {
		for n := range killsPerRound {
			cluster.Kill((3*n + round) % processCount)
		}
		convergeTime, err := cluster.WaitUntilConverged(convergeTimeout)
		if err != nil {
			return nil, err
		}
		seconds = append(seconds, convergeTime.Seconds())
		if err := cluster.StartAll(); err != nil {
			return nil, err
		}
		if _, err := cluster.WaitUntilConverged(convergeTimeout); err != nil {
			return nil, err
		}
	}
	return seconds, nil
}

// Cluster measures the membership view: simulated with three numbers of members, and with controller processes.
func Cluster(dir, programs string) ([]Figure, error) {
	set := figureSet{prefix: "fleet.", echo: true}
	bytesPerSecond := map[int]float64{}
	for _, size := range []struct{ members, rounds int }{{30, crashRounds}, {300, crashRounds}, {3000, 3}} {
		result := measureCrashes(size.members, size.rounds)
		prefix := fmt.Sprintf("sim_%d_", size.members)
		bytesPerSecond[size.members] = result.bytes
		set.add(prefix+"first_knows_median", quantile(result.firstMS, 0.5)/1000, "s", "<=", 5)
		set.add(prefix+"all_know_median", quantile(result.allMS, 0.5)/1000, "s", "<=", 6)
		set.add(prefix+"all_know_p99", quantile(result.allMS, 0.99)/1000, "s", "<=", 20)
		set.add(prefix+"messages_a_second", result.messages, "/s", "<=", 10)
		set.add(prefix+"bytes_a_second", result.bytes, "B/s", "<=", 1500)
		// With as many messages, a member could send a plain heartbeat to each other member once per interval.
		heartbeatInterval := float64(size.members-1) / result.messages
		heartbeatDetection := (missedHeartbeats + 0.5) * heartbeatInterval
		set.add(prefix+"gain_over_heartbeats", heartbeatDetection/(quantile(result.allMS, 0.5)/1000), "x", ">=", 2)
	}
	set.add("sim_bytes_growth_30_to_3000", bytesPerSecond[3000]/bytesPerSecond[30], "x", "<=", 1.5)
	set.add("sim_healed_300_worst", partitionRecovery(), "probe intervals", "<=", 10)
	set.add("sim_falsely_gone_per_1000_member_hours", falselyDeadRate(falselyDeadHours, true), "", "<=", 1)
	set.add("sim_falsely_gone_unaware_of_self", falselyDeadRate(falselyDeadHours/5, false), "", ">=", 0)
	processFigures, err := measureProcesses(dir, programs)
	for _, figure := range processFigures {
		fmt.Println("#", figure)
	}
	return append(set.figures, processFigures...), err
}
