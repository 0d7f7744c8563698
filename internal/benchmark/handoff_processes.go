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
	parallelClusters = 3 // clusters that play rounds side by side
	killRounds       = 12
	killRequests     = 40
	loadRequests     = 1500
	loadClients      = 4
	holdRounds       = 5
	handoffExecutors = 3
	handoffFounders  = 3
	handoffTimeout   = 30 * time.Second
	roundRequests    = 24
	countersTimeout  = 12 * time.Second // longer than the interval at which a controller logs its counters

	fastClusterSettings = "probe = \"200ms\"\n answer = \"80ms\"\n suspect = \"800ms\"\n" +
		" lease = \"2s\"\n declare = \"500ms\"\n"

	// takeoverBoundMS is the promised bound on the time from a kill to the first attempt of a successor, with
	// fastClusterSettings. It is the sum of the lease with clock drift, the delay until a member may be declared lost,
	// two observations of the consensus group, the claim of a partition, and the wait for the copies in that partition.
	takeoverBoundMS = 2000*1.004 + 500 + 2*200 + 400 + 1000
)

// countRunsWithoutLeases counts the idempotency keys that run twice in simulated histories where leases are ignored.
func countRunsWithoutLeases(histories int) (ranTwice int) {
	var mu sync.Mutex
	parallel(histories, func(k int) {
		faults := []clustersim.Fault{
			{At: 12_000 + 40*float64(k), Kind: clustersim.FaultStall, Node: 4, DurationMS: 24_000},
			{At: 14_000, Kind: clustersim.FaultStall, Node: 3, DurationMS: 24_000},
		}
		scenario := clustersim.HandoffScenario{
			Seed:          uint64(k),
			DedupWindowMS: 10_000,
			Faults:        faults,
			IgnoreLeases:  true,
		}
		for _, violation := range clustersim.RunHandoff(scenario).Violations {
			if violation.Kind == clustersim.RanTwice {
				mu.Lock()
				ranTwice++
				mu.Unlock()
			}
		}
	})
	return ranTwice
}

// handoffConfig returns the configuration of five controllers with handoff. A window below 0 means that the executors
// drop no repeats.
func handoffConfig(dir, program, name string, window time.Duration, seed uint64) chaostest.Config {
	return chaostest.Config{
		Program:         program,
		Directory:       filepath.Join(dir, name),
		Controllers:     5,
		Executors:       handoffExecutors,
		Founders:        handoffFounders,
		Store:           true,
		ClusterSettings: fastClusterSettings,
		HandoffSettings: "copies = 2",
		DedupWindow:     window,
		WorkMS:          10,
		Seed:            seed,
		WorkByClass:     map[string]time.Duration{"mark": 1200 * time.Millisecond, "once": 1200 * time.Millisecond},
	}
}

// startCluster starts a cluster and waits until it is ready.
func startCluster(config chaostest.Config) (*chaostest.Cluster, error) {
	cluster, err := chaostest.New(config)
	if err != nil {
		return nil, err
	}
	if err = cluster.StartAll(); err == nil {
		_, err = cluster.WaitUntilConverged(handoffTimeout)
	}
	if err == nil && config.HandoffSettings != "" {
		err = cluster.WaitUntilHandoffReady(handoffTimeout)
	}
	if err != nil {
		cluster.Close()
		return nil, err
	}
	return cluster, nil
}

// takeoverRun is a number of takeover rounds that several clusters share.
type takeoverRun struct {
	dir, program string
	rounds       int
	disk         string // state of the disks of the owners; empty: sound

	mu      sync.Mutex
	results []chaostest.Round
}

// runTakeovers plays rounds of all faults with controller processes. The state of the owners' disks, if not empty,
// needs a program with the build tag faults.
func runTakeovers(dir, program string, rounds int, disk string) (results []chaostest.Round, err error) {
	run := &takeoverRun{dir: dir, program: program, rounds: rounds, disk: disk}
	var clusters sync.WaitGroup
	for k := range parallelClusters {
		clusters.Add(1)
		go func() {
			defer clusters.Done()
			if clusterErr := run.playRounds(k); clusterErr != nil {
				run.mu.Lock()
				err = clusterErr
				run.mu.Unlock()
			}
		}()
	}
	clusters.Wait()
	return run.results, err
}

// playRounds plays the rounds of one of the parallel clusters.
func (t *takeoverRun) playRounds(clusterNumber int) error {
	window := []time.Duration{-1, dedupWindow}[clusterNumber%2]
	seed := uint64(100 + clusterNumber)
	name := fmt.Sprint("rounds", clusterNumber)
	cluster, err := startCluster(handoffConfig(t.dir, t.program, name, window, seed))
	if err != nil {
		return err
	}
	defer cluster.Close()
	for k := handoffFounders; t.disk != "" && k < len(cluster.Controllers); k++ {
		if err := cluster.SetDiskState(k, t.disk); err != nil {
			return err
		}
	}
	random := rand.New(rand.NewPCG(seed, 3))
	for k := clusterNumber; k < t.rounds; k += parallelClusters {
		fault := chaostest.TakeoverFaults[k%len(chaostest.TakeoverFaults)]
		round, err := cluster.PlayTakeover(fault, fmt.Sprint("r", k), roundRequests, random)
		if err != nil {
			return err
		}
		t.mu.Lock()
		t.results = append(t.results, round)
		for _, violation := range slices.Concat(round.RanTwice, round.Contradictions, round.WithoutOutcome) {
			fmt.Printf("# violation: takeover round %d, fault %s, deduplication window %v: %s\n",
				k, round.Fault, window, violation)
		}
		t.mu.Unlock()
	}
	return nil
}

// killResult holds what was measured of rounds in which a controller was killed.
type killResult struct {
	handledShare   float64   // of the requests, handled after one retry by their client
	ranTwice       float64   // idempotency keys
	unsent         float64   // requests that had not been sent to an executor at the kill
	sentLater      float64   // of the unsent requests
	firstAttemptMS []float64 // by round: from the kill to the first attempt of a successor
}

// runKills plays rounds in which a controller is killed with keyed requests in flight, whose clients retry once at
// another controller. Without handoff, it measures the baseline.
func runKills(dir, program string, withHandoff bool) (result killResult, err error) {
	config := handoffConfig(dir, program, fmt.Sprint("kills", withHandoff), dedupWindow, 41)
	if !withHandoff {
		config.HandoffSettings, config.DedupWindow = "", 100*time.Millisecond // the executors soon forget keys
	}
	cluster, err := startCluster(config)
	if err != nil {
		return killResult{}, err
	}
	defer cluster.Close()
	sent, handled := 0.0, 0.0
	for k := range envNumber("KILL_ROUNDS", killRounds) {
		round, err := cluster.PlayKillInFlight(fmt.Sprint("k", k), killRequests)
		if err != nil {
			return killResult{}, err
		}
		for _, retry := range round.RetriesNotHandled {
			fmt.Println("# retry not handled:", retry)
		}
		sent, handled = sent+killRequests, handled+float64(round.RetriesHandled)
		result.ranTwice += float64(len(round.RanTwice))
		result.unsent += float64(round.UnsentAtFault)
		result.sentLater += float64(round.SentLater)
		if round.FirstAttempt > 0 {
			firstAttemptMS := float64(round.FirstAttempt) / float64(time.Millisecond)
			result.firstAttemptMS = append(result.firstAttemptMS, firstAttemptMS)
		}
	}
	result.handledShare = handled / sent
	return result, nil
}

// requestCost is the cost of requests at a controller.
type requestCost struct {
	cpuMS  float64 // processor time of a request
	holdMS float64 // mean time that attempts are held, for keyed requests
}

// runRequests has clients send requests of a class to the first controller, each client one after the other.
func runRequests(cluster *chaostest.Cluster, class, tag string) (cost requestCost, err error) {
	before := cpuMS(cluster.PID(0))
	var clients sync.WaitGroup
	var mu sync.Mutex
	for clientNumber := range loadClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			address, clientTag := cluster.Controllers[0].ClientAddress, fmt.Sprintf("%s-%d", tag, clientNumber)
			if clientErr := runRequestClient(address, class, clientTag); clientErr != nil {
				mu.Lock()
				err = clientErr
				mu.Unlock()
			}
		}()
	}
	clients.Wait()
	cost.cpuMS = (cpuMS(cluster.PID(0)) - before) / loadRequests
	if class == "mark" {
		cost.holdMS = nextLogField(cluster.Controllers[0], "counters", "hold_ms")
	}
	return cost, err
}

// runRequestClient sends a client's share of the requests and fails at the first that does not succeed.
func runRequestClient(address, class, tag string) error {
	client, err := testservers.Dial(address, time.Second)
	if err != nil {
		return err
	}
	defer client.Close()
	for k := range loadRequests / loadClients {
		id, key := fmt.Sprintf("%s-%d", tag, k), ""
		if class == "mark" {
			key = "m" + id
		}
		reply, err := client.Submit(class, id, key, 5*time.Second)
		if err != nil {
			return fmt.Errorf("request %s: %w", id, err)
		}
		if reply.Code != 0 {
			return fmt.Errorf("request %s: error %d: %s", id, reply.Code, reply.Message)
		}
	}
	return nil
}

// nextLogField waits for the next log line with a message and returns a numeric field of it; 0 if no such line comes.
func nextLogField(c *chaostest.Controller, message, field string) float64 {
	marker := "msg=" + message + " "
	before := strings.Count(c.Log(), marker)
	for start := time.Now(); time.Since(start) < countersTimeout; time.Sleep(100 * time.Millisecond) {
		if log := c.Log(); strings.Count(log, marker) > before {
			_, rest, _ := strings.Cut(log[strings.LastIndex(log, marker):], " "+field+"=")
			text, _, _ := strings.Cut(rest, " ")
			value, _ := strconv.ParseFloat(text, 64)
			return value
		}
	}
	return 0
}

// holdVariant is a variant of the handoff settings in which the cost of requests is measured.
type holdVariant struct {
	handoffSettings, class string
	measure                func(requestCost) float64
	values                 []float64 // by round
}

// holdResult holds the medians of the hold times of keyed attempts by the condition for sending, and of the processor
// times of lookups.
type holdResult struct {
	diskHoldMS, diskAndHoldersHoldMS, holdersHoldMS float64
	plainCPUMS, copiedCPUMS                         float64 // without and with copies
}

// measureHolds measures all variants in turn, each round with new clusters.
func measureHolds(dir, program string) (holdResult, error) {
	holdMS := func(cost requestCost) float64 { return cost.holdMS }
	processorMS := func(cost requestCost) float64 { return cost.cpuMS }
	variants := []*holdVariant{
		{handoffSettings: "", class: "mark", measure: holdMS},
		{handoffSettings: "copies = 2\ncondition = \"disk and holders\"", class: "mark", measure: holdMS},
		{handoffSettings: "copies = 2\ncondition = \"holders\"", class: "mark", measure: holdMS},
		{handoffSettings: "", class: "look", measure: processorMS},
		{handoffSettings: "copies = 2", class: "look", measure: processorMS},
	}
	for round := range envNumber("HOLD_TURNS", holdRounds) {
		for k, variant := range variants {
			name, seed := fmt.Sprintf("hold%d-%d", round, k), uint64(60+round*10+k)
			config := handoffConfig(dir, program, name, dedupWindow, seed)
			config.HandoffSettings, config.Direct = variant.handoffSettings, true
			config.WorkMS, config.WorkByClass = 1, nil
			cluster, err := startCluster(config)
			if err != nil {
				return holdResult{}, err
			}
			cost, err := runRequests(cluster, variant.class, fmt.Sprint("h", round))
			cluster.Close()
			if err != nil {
				return holdResult{}, err
			}
			variant.values = append(variant.values, variant.measure(cost))
		}
	}
	return holdResult{
		diskHoldMS:           median(variants[0].values),
		diskAndHoldersHoldMS: median(variants[1].values),
		holdersHoldMS:        median(variants[2].values),
		plainCPUMS:           median(variants[3].values),
		copiedCPUMS:          median(variants[4].values),
	}, nil
}

// newHandoffFigures returns an empty set for the figures of handoff with controller processes.
func newHandoffFigures() *figureSet { return &figureSet{prefix: "takeover.", echo: true} }

// Takeovers plays rounds of all faults with controller processes. The environment variable TAKEOVER_ROUNDS sets the
// number of rounds, and TAKEOVER_KINDS the faults, separated by commas.
func Takeovers(dir, programs string) ([]Figure, error) {
	set := newHandoffFigures()
	if kinds := os.Getenv("TAKEOVER_KINDS"); kinds != "" {
		chaostest.TakeoverFaults = strings.Split(kinds, ",")
	}
	rounds := envNumber("TAKEOVER_ROUNDS", defaultRounds)
	results, err := runTakeovers(dir, filepath.Join(programs, "liftshift"), rounds, "")
	if err != nil {
		return nil, err
	}
	ranTwice, contradictions, withoutOutcome := 0, 0, 0
	roundsByFault, longestAgreement := map[string]int{}, 0.0
	for _, result := range results {
		longestAgreement = max(longestAgreement, result.OutcomesAgreed.Seconds())
		roundsByFault[result.Fault]++
		ranTwice += len(result.RanTwice)
		contradictions += len(result.Contradictions)
		withoutOutcome += len(result.WithoutOutcome)
	}
	fmt.Println("# rounds by fault:", roundsByFault)
	unit := fmt.Sprintf("of %d rounds", len(results))
	set.add("real_ran_twice", float64(ranTwice), unit, "==", 0)
	set.add("real_two_answers", float64(contradictions), unit, "==", 0)
	set.add("real_without_outcome", float64(withoutOutcome), unit, "==", 0)
	set.add("real_longest_until_told_alike", longestAgreement, "s after the fleet is whole", "<=", 5)
	return set.figures, nil
}

// AttemptHolds measures how long keyed attempts are held, by the condition for sending them, and the cost of the copies
// of lookups. The controllers reach one another without a relay. The environment variable HOLD_TURNS sets how often
// each variant is measured.
func AttemptHolds(dir, programs string) ([]Figure, error) {
	set := newHandoffFigures()
	result, err := measureHolds(dir, filepath.Join(programs, "liftshift"))
	if err != nil {
		return nil, err
	}
	set.add("hold_disk_alone", result.diskHoldMS, "ms", ">=", 0)
	set.add("hold_disk_and_holders", result.diskAndHoldersHoldMS/result.diskHoldMS, "x disk alone", "<=", 1.3)
	set.add("hold_holders_alone", result.holdersHoldMS/result.diskHoldMS, "x disk alone", "<=", 1)
	set.add("cpu_redoable_with_copies", result.copiedCPUMS/result.plainCPUMS, "x without", "<=", 1.05)
	return set.figures, nil
}

// ClientRetries measures what becomes of the keyed requests of a killed controller whose clients retry, with handoff
// and without. The environment variable KILL_ROUNDS sets the number of rounds.
func ClientRetries(dir, programs string) ([]Figure, error) {
	set := newHandoffFigures()
	program := filepath.Join(programs, "liftshift")
	withHandoff, err := runKills(dir, program, true)
	if err != nil {
		return nil, err
	}
	baseline, err := runKills(dir, program, false)
	if err != nil {
		return nil, err
	}
	sentLaterPercent := 100 * withHandoff.sentLater / max(1, withHandoff.unsent)
	unsentUnit := fmt.Sprintf("%% of %.0f", withHandoff.unsent)
	firstMedian := quantile(withHandoff.firstAttemptMS, 0.5) / takeoverBoundMS
	firstP99 := quantile(withHandoff.firstAttemptMS, 0.99) / takeoverBoundMS
	set.add("never_sent_at_the_kill_handled", sentLaterPercent, unsentUnit, ">=", 99)
	set.add("first_shot_of_an_heir_median", firstMedian, "x promised", "<=", 1)
	set.add("first_shot_of_an_heir_p99", firstP99, "x promised", "<=", 1)
	set.add("returned_once_handled", 100*withHandoff.handledShare, "%", ">=", 100*baseline.handledShare)
	set.add("returned_once_handled_before", 100*baseline.handledShare, "%", ">=", 0)
	set.add("runs_wasted", withHandoff.ranTwice, "", "==", 0)
	set.add("runs_wasted_before", baseline.ranTwice, "", ">=", 0)
	return set.figures, nil
}
