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

// Quotas measures quotas and wait estimates: with the real program, with simulated executors, and the queues alone.
func Quotas(dir, programs string) ([]Figure, error) {
	var all []Figure
	for _, part := range []func(dir, programs string) ([]Figure, error){measureTeams, measureDisciplines, measureQueues} {
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

// workEstimates are what clients say that their requests take, by class, in milliseconds.
var workEstimates = map[string]float64{"look": 20, "mark": 100}

// testBed is a controller with executors of eight cores.
type testBed struct {
	listen       string
	cmd          *exec.Cmd
	executors    []*testservers.Executor
	runLog       *testservers.RunLog
	requestCount atomic.Int64
}

func newTestBed(dir, programs, file string, works map[string]time.Duration, engines int) (*testBed, error) {
	s := &testBed{runLog: &testservers.RunLog{}}
	for k := range engines {
		e := &testservers.Executor{Name: fmt.Sprint("s-", k), Zone: "here", DedupWindow: 20 * time.Second, Cores: 8, WorkByClass: works, RunLog: s.runLog}
		if err := e.Start(); err != nil {
			return nil, err
		}
		s.executors = append(s.executors, e)
	}
	list, _, err := testservers.StartEmptyDiscovery() // ends with this program
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
	if err := os.WriteFile(node, testservers.NodeConfig(s.listen, list, 20*time.Second, s.executors...), 0o600); err != nil {
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

func (s *testBed) stop() {
	_ = s.cmd.Process.Kill()
	_ = s.cmd.Wait()
	for _, e := range s.executors {
		e.Stop()
	}
}

// clientAnswer is one answer as its client saw it. The estimate is of the wait, in milliseconds.
type clientAnswer struct {
	team                     string
	sentAt                   time.Time
	latencyMS                float64
	code                     int
	estimated                bool
	estimateFrom, estimateTo float64
}

// startClients has clients of a team send requests, each with a pause after an answer, until stop.
func (s *testBed) startClients(all *sync.WaitGroup, team, offering string, clients int, pause time.Duration, stop *atomic.Bool, put func(clientAnswer)) {
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
				n := s.requestCount.Add(1)
				p := map[string]any{"req": fmt.Sprintf("%s-%d", team, n), "timeout": 4500, "ms": workEstimates[offering], "ram": 1, "data": "c2VsZWN0IDE=",
					"team": team, "waits": true}
				if offering == "mark" {
					p["opkey"] = fmt.Sprintf("k-%d", n)
				}
				at := time.Now()
				a, err := c.Call(offering, p, 10*time.Second)
				if err != nil {
					return
				}
				x := clientAnswer{team: team, sentAt: at, latencyMS: float64(time.Since(at).Microseconds()) / 1000, code: a.Code}
				if len(a.Waits) > 0 && !a.Waits[0].Unknown {
					x.estimated, x.estimateFrom, x.estimateTo = true, a.Waits[0].Start, a.Waits[0].End
				}
				put(x)
				time.Sleep(pause)
			}
		}()
	}
}

var workTimes = map[string]time.Duration{"look": 20 * time.Millisecond, "mark": 100 * time.Millisecond}

// teamLoad has clients ask a test bed for as long as it runs.
type teamLoad func(bed *testBed, start func(team, class string, clients int, pause time.Duration))

// playTeams has a load run before a new test bed, and returns the answers of the clients it started.
func playTeams(dir, programs, config string, load teamLoad) ([]clientAnswer, *testBed, error) {
	bed, err := newTestBed(dir, programs, config, workTimes, 2)
	if err != nil {
		return nil, nil, err
	}
	defer bed.stop()
	var mu sync.Mutex
	var answers []clientAnswer
	var clients sync.WaitGroup
	var stop atomic.Bool
	load(bed, func(team, class string, count int, pause time.Duration) {
		bed.startClients(&clients, team, class, count, pause, &stop, func(a clientAnswer) {
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	})
	stop.Store(true)
	clients.Wait()
	return answers, bed, nil
}

// lookupsBeside is a load of a few clients who pause, beside others of another team without end.
func lookupsBeside(others int) teamLoad {
	return func(_ *testBed, start func(team, class string, clients int, pause time.Duration)) {
		start("model", "look", 6, 15*time.Millisecond)
		start("render", "mark", others, 0)
		time.Sleep(5 * time.Second)
	}
}

// bothTeams is a load of two teams that saturate the executors while a scene plays.
func bothTeams(scene func(*testBed)) teamLoad {
	return func(bed *testBed, start func(team, class string, clients int, pause time.Duration)) {
		start("model", "look", 56, 0)
		start("render", "look", 56, 0)
		scene(bed)
	}
}

// teamScenes are what happens while both teams saturate the executors.
var teamScenes = []struct {
	name string
	play func(*testBed)
}{
	{"steady", func(*testBed) { time.Sleep(8 * time.Second) }},
	{"burst", func(bed *testBed) {
		time.Sleep(3 * time.Second)
		var clients sync.WaitGroup
		var stop atomic.Bool
		bed.startClients(&clients, "render", "look", 120, 0, &stop, func(clientAnswer) {})
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

// measureTeams measures the real program before simulated executors.
func measureTeams(dir, programs string) ([]Figure, error) {
	figures, aloneP99, err := measureInterference(dir, programs)
	if err != nil {
		return nil, err
	}
	underestimated, err := lowEstimateP99(dir, programs)
	if err != nil {
		return figures, err
	}
	figures = append(figures, Figure{"budgets.lookup_p99_beside_a_team_that_estimates_a_fifth", underestimated / aloneP99, "x", "<=", 1.5})
	for _, scene := range teamScenes {
		answers, _, err := playTeams(dir, programs, twoTeamsConfig, bothTeams(scene.play))
		if err != nil {
			return figures, err
		}
		figures = append(figures, waitFigures(scene.name, answers)...)
	}
	return figures, nil
}

// measureInterference compares lookups alone with those beside a saturating team, with quotas and without.
func measureInterference(dir, programs string) (figures []Figure, aloneP99 float64, err error) {
	var alone, beside, without []float64
	repeated := 0
	for range 3 {
		a, _, err := playTeams(dir, programs, twoTeamsConfig, lookupsBeside(0))
		if err != nil {
			return nil, 0, err
		}
		b, bed, err := playTeams(dir, programs, twoTeamsConfig, lookupsBeside(64))
		if err != nil {
			return nil, 0, err
		}
		repeated += bed.repeatedRuns()
		c, _, err := playTeams(dir, programs, "", lookupsBeside(64))
		if err != nil {
			return nil, 0, err
		}
		alone, beside, without = append(alone, lookupP99(a)), append(beside, lookupP99(b)), append(without, lookupP99(c))
	}
	aloneP99 = median(alone)
	return []Figure{{"budgets.lookup_p99_beside_a_saturating_team", median(beside) / aloneP99, "x", "<=", 1.5},
		{"budgets.the_same_without_budgets", median(without) / aloneP99, "x", ">=", 0},
		{"budgets.loads_run_twice", float64(repeated), "", "==", 0}}, aloneP99, nil
}

// repeatedRuns counts the runs of idempotency keys after their first.
func (s *testBed) repeatedRuns() (repeated int) {
	seen := map[string]bool{}
	for _, r := range s.runLog.Runs() {
		if r.IdempotencyKey != "" && seen[r.IdempotencyKey] {
			repeated++
		}
		seen[r.IdempotencyKey] = true
	}
	return repeated
}

// lowEstimateP99 returns the latency of lookups beside a team that estimates a fifth of what its requests take.
func lowEstimateP99(dir, programs string) (float64, error) {
	honest := workEstimates["mark"]
	workEstimates["mark"] = honest / 5
	defer func() { workEstimates["mark"] = honest }()
	var latencies []float64
	for range 3 {
		answers, _, err := playTeams(dir, programs, twoTeamsConfig, lookupsBeside(64))
		if err != nil {
			return 0, err
		}
		latencies = append(latencies, lookupP99(answers))
	}
	return median(latencies), nil
}

// lookupP99 returns the latency of one team's lookups after the first second.
func lookupP99(answers []clientAnswer) float64 {
	var latencies []float64
	for _, a := range answers {
		if a.team == "model" && a.code == 0 && a.sentAt.After(answers[0].sentAt.Add(time.Second)) {
			latencies = append(latencies, a.latencyMS)
		}
	}
	return quantile(latencies, 0.99)
}

// teamWaits is how a team's wait estimates compare with its latencies.
type teamWaits struct {
	succeeded, estimated, within int
	ratios                       []float64 // of the estimate to the latency
}

// waitFigures are the figures of a scene: the teams' shares, and how good their wait estimates were.
func waitFigures(scene string, answers []clientAnswer) (figures []Figure) {
	teams := map[string]*teamWaits{"model": {}, "render": {}}
	for _, a := range answers {
		if a.code != 0 || a.sentAt.Before(answers[0].sentAt.Add(1500*time.Millisecond)) {
			continue
		}
		t := teams[a.team]
		t.succeeded++
		if !a.estimated {
			continue
		}
		t.estimated++
		if a.latencyMS <= a.estimateTo+5 {
			t.within++
		}
		t.ratios = append(t.ratios, a.estimateTo/a.latencyMS)
	}
	if scene == "steady" {
		model, render := float64(teams["model"].succeeded), float64(teams["render"].succeeded)
		share := model / (model + render)
		figures = append(figures, Figure{"budgets.share_off_from_weight", math.Abs(share-0.75) / 0.75, "", "<=", 0.05})
	}
	for _, name := range []string{"model", "render"} {
		t := teams[name]
		figures = append(figures, Figure{"budgets.waits_within_" + scene + "_" + name, float64(t.within) / float64(max(1, t.estimated)), "", ">=", 0.9},
			Figure{"budgets.wait_told_against_wait_" + scene + "_" + name, quantile(t.ratios, 0.5), "x", "<=", 2})
	}
	return figures
}
