package benchmark

import (
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"liftshift/internal/testservers"
)

// Quotas measures quotas and wait estimates: with a controller process, with simulated executors, and the queues alone.
func Quotas(dir, programs string) ([]Figure, error) {
	var all []Figure
	parts := []func(dir, programs string) ([]Figure, error){measureTeams, measureDisciplines, measureQueues}
	for _, part := range parts {
		figures, err := part(dir, programs)
		if all = append(all, figures...); err != nil {
			return all, err
		}
	}
	return all, nil
}

const twoTeamsConfig = `budgets {
  default = "other"
  whose   = ["field"]
  team "model" { weight = 3 }
  team "render" { weight = 1 }
  team "other" { weight = 0.001 }
}
`

const (
	interferenceRounds = 3
	saturatingClients  = 64
	estimateSlackMS    = 5 // tolerance when a latency is compared with its estimate
	lookupWarmup       = time.Second
	waitWarmup         = 1500 * time.Millisecond
)

// workEstimates are the work times that clients announce for their requests, by class, in milliseconds.
var workEstimates = map[string]float64{"look": 20, "mark": 100}

// workTimes are the work times of requests at the executors, by class.
var workTimes = map[string]time.Duration{"look": 20 * time.Millisecond, "mark": 100 * time.Millisecond}

// testBed is a controller process with executors of eight cores.
type testBed struct {
	listen       string
	cmd          *exec.Cmd
	executors    []*testservers.Executor
	runLog       *testservers.RunLog
	requestCount atomic.Int64
}

// newTestBed starts a controller with a number of executors. OperatorFile is the text of the operators' file; empty:
// there is none.
func newTestBed(dir, programs, operatorFile string, work map[string]time.Duration, executors int) (*testBed, error) {
	b := &testBed{runLog: &testservers.RunLog{}}
	for k := range executors {
		e := &testservers.Executor{
			Name:        fmt.Sprint("s-", k),
			Zone:        "here",
			DedupWindow: dedupWindow,
			Cores:       8,
			WorkByClass: work,
			RunLog:      b.runLog,
		}
		if err := e.Start(); err != nil {
			return nil, err
		}
		b.executors = append(b.executors, e)
	}
	discovery, _, err := testservers.StartEmptyDiscovery() // ends with this program
	if err != nil {
		return nil, err
	}
	if b.listen, err = testservers.FreeAddress(); err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp(dir, "site-")
	if err != nil {
		return nil, err
	}
	nodeFile := filepath.Join(directory, "node.json")
	nodeConfig := testservers.NodeConfig(b.listen, discovery, dedupWindow, b.executors...)
	if err := os.WriteFile(nodeFile, nodeConfig, 0o600); err != nil {
		return nil, err
	}
	b.cmd = exec.Command(filepath.Join(programs, "liftshift"))
	b.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+nodeFile)
	if operatorFile != "" {
		path := filepath.Join(directory, "teams.hcl")
		if err := os.WriteFile(path, []byte(operatorFile), 0o600); err != nil {
			return nil, err
		}
		b.cmd.Env = append(b.cmd.Env, "LIFTSHIFT_FILE="+path)
	}
	return b, b.cmd.Start()
}

func (b *testBed) stop() {
	_ = b.cmd.Process.Kill()
	_ = b.cmd.Wait()
	for _, e := range b.executors {
		e.Stop()
	}
}

// clientAnswer is one answer as its client received it. The estimate is that of the wait, in milliseconds.
type clientAnswer struct {
	team                     string
	sentAt                   time.Time
	latencyMS                float64
	code                     int
	estimated                bool
	estimateFrom, estimateTo float64
}

// clientGroup is a number of clients of one team, each of which pauses after every answer.
type clientGroup struct {
	team, class string
	clients     int
	pause       time.Duration
}

// startClients has the clients of a group send requests until stop.
func (b *testBed) startClients(all *sync.WaitGroup, group clientGroup, stop *atomic.Bool, record func(clientAnswer)) {
	for range group.clients {
		all.Add(1)
		go func() {
			defer all.Done()
			client, err := testservers.Dial(b.listen, 10*time.Second)
			if err != nil {
				return
			}
			defer client.Close()
			for !stop.Load() {
				answer, err := b.sendRequest(client, group)
				if err != nil {
					return
				}
				record(answer)
				time.Sleep(group.pause)
			}
		}()
	}
}

// sendRequest sends the next request of a client of a group and waits for its answer.
func (b *testBed) sendRequest(client *testservers.Client, group clientGroup) (clientAnswer, error) {
	n := b.requestCount.Add(1)
	params := map[string]any{
		"req": fmt.Sprintf("%s-%d", group.team, n), "timeout": 4500, "ms": workEstimates[group.class], "ram": 1,
		"data": "c2VsZWN0IDE=", "team": group.team, "waits": true,
	}
	if group.class == "mark" {
		params["opkey"] = fmt.Sprintf("k-%d", n)
	}
	sentAt := time.Now()
	reply, err := client.Call(group.class, params, 10*time.Second)
	if err != nil {
		return clientAnswer{}, err
	}
	answer := clientAnswer{
		team:      group.team,
		sentAt:    sentAt,
		latencyMS: float64(time.Since(sentAt).Microseconds()) / 1000,
		code:      reply.Code,
	}
	if len(reply.Waits) > 0 && !reply.Waits[0].Unknown {
		answer.estimated, answer.estimateFrom, answer.estimateTo = true, reply.Waits[0].Start, reply.Waits[0].End
	}
	return answer, nil
}

// teamLoad starts groups of clients on a test bed and returns when the measurement is over.
type teamLoad func(bed *testBed, start func(clientGroup))

// runTeams runs a load on a new test bed and returns the answers of the clients that it started.
func runTeams(dir, programs, operatorFile string, load teamLoad) ([]clientAnswer, *testBed, error) {
	bed, err := newTestBed(dir, programs, operatorFile, workTimes, 2)
	if err != nil {
		return nil, nil, err
	}
	defer bed.stop()
	var mu sync.Mutex
	var answers []clientAnswer
	var clients sync.WaitGroup
	var stop atomic.Bool
	load(bed, func(group clientGroup) {
		bed.startClients(&clients, group, &stop, func(answer clientAnswer) {
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, answer)
		})
	})
	stop.Store(true)
	clients.Wait()
	return answers, bed, nil
}

// lookupsBeside is a load of a few clients that pause between lookups, beside clients of another team that do not
// pause.
func lookupsBeside(otherClients int) teamLoad {
	return func(_ *testBed, start func(clientGroup)) {
		start(clientGroup{"model", "look", 6, 15 * time.Millisecond})
		start(clientGroup{"render", "mark", otherClients, 0})
		time.Sleep(5 * time.Second)
	}
}

// bothTeams is a load of two teams that saturate the executors while a scenario runs.
func bothTeams(scenario func(*testBed)) teamLoad {
	return func(bed *testBed, start func(clientGroup)) {
		start(clientGroup{"model", "look", 56, 0})
		start(clientGroup{"render", "look", 56, 0})
		scenario(bed)
	}
}

// teamScenarios are the events that are measured while both teams saturate the executors.
var teamScenarios = []struct {
	name string
	run  func(*testBed)
}{
	{"steady", func(*testBed) { time.Sleep(8 * time.Second) }},
	{"burst", func(bed *testBed) {
		time.Sleep(3 * time.Second)
		var clients sync.WaitGroup
		var stop atomic.Bool
		bed.startClients(&clients, clientGroup{"render", "look", 120, 0}, &stop, func(clientAnswer) {})
		time.Sleep(2 * time.Second)
		stop.Store(true)
		clients.Wait()
		time.Sleep(3 * time.Second)
	}},
	{"executor_lost", func(bed *testBed) {
		time.Sleep(4 * time.Second)
		bed.executors[0].Stop()
		time.Sleep(4 * time.Second)
	}},
}

// measureTeams measures a controller process with test executors.
func measureTeams(dir, programs string) ([]Figure, error) {
	figures, aloneP99, err := measureInterference(dir, programs)
	if err != nil {
		return nil, err
	}
	underestimated, err := lowEstimateP99(dir, programs)
	if err != nil {
		return figures, err
	}
	ratio := underestimated / aloneP99
	figures = append(figures, Figure{"budgets.lookup_p99_beside_a_team_that_estimates_a_fifth", ratio, "x", "<=", 1.5})
	for _, scenario := range teamScenarios {
		answers, _, err := runTeams(dir, programs, twoTeamsConfig, bothTeams(scenario.run))
		if err != nil {
			return figures, err
		}
		figures = append(figures, waitFigures(scenario.name, answers)...)
	}
	return figures, nil
}

// measureInterference compares lookups alone with those beside a saturating team, with quotas and without.
func measureInterference(dir, programs string) (figures []Figure, aloneP99 float64, err error) {
	var alone, withQuotas, withoutQuotas []float64
	repeated := 0
	for range interferenceRounds {
		aloneAnswers, _, err := runTeams(dir, programs, twoTeamsConfig, lookupsBeside(0))
		if err != nil {
			return nil, 0, err
		}
		quotaAnswers, bed, err := runTeams(dir, programs, twoTeamsConfig, lookupsBeside(saturatingClients))
		if err != nil {
			return nil, 0, err
		}
		repeated += bed.repeatedRuns()
		plainAnswers, _, err := runTeams(dir, programs, "", lookupsBeside(saturatingClients))
		if err != nil {
			return nil, 0, err
		}
		alone = append(alone, lookupP99(aloneAnswers))
		withQuotas = append(withQuotas, lookupP99(quotaAnswers))
		withoutQuotas = append(withoutQuotas, lookupP99(plainAnswers))
	}
	aloneP99 = median(alone)
	return []Figure{
		{"budgets.lookup_p99_beside_a_saturating_team", median(withQuotas) / aloneP99, "x", "<=", 1.5},
		{"budgets.the_same_without_budgets", median(withoutQuotas) / aloneP99, "x", ">=", 0},
		{"budgets.loads_run_twice", float64(repeated), "", "==", 0},
	}, aloneP99, nil
}

// repeatedRuns counts the runs of idempotency keys after their first.
func (b *testBed) repeatedRuns() (repeated int) {
	seen := map[string]bool{}
	for _, run := range b.runLog.Runs() {
		if run.IdempotencyKey != "" && seen[run.IdempotencyKey] {
			repeated++
		}
		seen[run.IdempotencyKey] = true
	}
	return repeated
}

// lowEstimateP99 returns the latency of lookups beside a team whose work estimates are a fifth of the real work.
func lowEstimateP99(dir, programs string) (float64, error) {
	accurate := workEstimates["mark"]
	workEstimates["mark"] = accurate / 5
	defer func() { workEstimates["mark"] = accurate }()
	var latencies []float64
	for range interferenceRounds {
		answers, _, err := runTeams(dir, programs, twoTeamsConfig, lookupsBeside(saturatingClients))
		if err != nil {
			return 0, err
		}
		latencies = append(latencies, lookupP99(answers))
	}
	return median(latencies), nil
}

// lookupP99 returns the 99th percentile of the latency of one team's lookups after the warm-up.
func lookupP99(answers []clientAnswer) float64 {
	var latencies []float64
	for _, answer := range answers {
		if answer.team == "model" && answer.code == 0 && answer.sentAt.After(answers[0].sentAt.Add(lookupWarmup)) {
			latencies = append(latencies, answer.latencyMS)
		}
	}
	return quantile(latencies, 0.99)
}

// teamWaits compares a team's wait estimates with its latencies.
type teamWaits struct {
	succeeded, estimated, within int
	ratios                       []float64 // of the estimate to the latency
}

// waitFigures returns the figures of a scenario: the accuracy of the wait estimates and, for the steady scenario, the
// shares of the teams.
func waitFigures(scenario string, answers []clientAnswer) (figures []Figure) {
	teams := map[string]*teamWaits{"model": {}, "render": {}}
	for _, answer := range answers {
		if answer.code != 0 || answer.sentAt.Before(answers[0].sentAt.Add(waitWarmup)) {
			continue
		}
		team := teams[answer.team]
		team.succeeded++
		if !answer.estimated {
			continue
		}
		team.estimated++
		if answer.latencyMS <= answer.estimateTo+estimateSlackMS {
			team.within++
		}
		team.ratios = append(team.ratios, answer.estimateTo/answer.latencyMS)
	}
	if scenario == "steady" {
		model, render := float64(teams["model"].succeeded), float64(teams["render"].succeeded)
		share := model / (model + render)
		deviation := math.Abs(share-modelShare) / modelShare
		figures = append(figures, Figure{"budgets.share_off_from_weight", deviation, "", "<=", 0.05})
	}
	for _, name := range []string{"model", "render"} {
		team := teams[name]
		within := float64(team.within) / float64(max(1, team.estimated))
		ratio := quantile(team.ratios, 0.5)
		figures = append(figures,
			Figure{"budgets.waits_within_" + scenario + "_" + name, within, "", ">=", 0.9},
			Figure{"budgets.wait_told_against_wait_" + scenario + "_" + name, ratio, "x", "<=", 2})
	}
	return figures
}
