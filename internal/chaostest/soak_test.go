package chaostest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"liftshift/internal/testservers"
)

// The limits that the operators' documentation promises for a graceful stop and for clients, and the tolerances of the
// checks.
const (
	// idleCloseRace is how shortly before the end of its idle connection a request may be sent and get no reply.
	idleCloseRace = 50 * time.Millisecond
	// lateReplyLimit is how long after its deadline a reply may come.
	lateReplyLimit = 500 * time.Millisecond
	// acceptAfterTerm is how long after SIGTERM clients open new connections.
	acceptAfterTerm = 400 * time.Millisecond
	// killSlack is how much longer than the longest deadline the time from SIGTERM to SIGKILL is.
	killSlack = 700 * time.Millisecond
	// maxKillDeadline caps the longest deadline in the time from SIGTERM to SIGKILL.
	maxKillDeadline = 3 * time.Second
	// disconnectSlack is how long after its client has disconnected an attempt may begin.
	disconnectSlack = 100 * time.Millisecond
	// waitSlack is how far the wait limit that an executor gets may exceed the rest of the client's deadline.
	waitSlack = 150 * time.Millisecond
	// suspensionGap is the least time that a process runs between two signals, since it answers nothing while it is
	// suspended.
	suspensionGap = 60 * time.Millisecond
	// signalSlack is the time from a signal until it takes effect.
	signalSlack = 5 * time.Millisecond
	// schedulingSlack is the delay that other processes on a busy machine may cause in this test.
	schedulingSlack = 60 * time.Millisecond
)

const (
	soakClients        = 24
	readyTimeout       = 10 * time.Second
	suspensionTime     = 400 * time.Millisecond
	maxIdleConnections = 300
	flappingExecutor   = 2 // number of the executor
	drainingExecutor   = 3 // number of the executor
)

// soak is one run of a scenario: real controllers with executors and many clients, of which the first controller gets a
// series of signals and then stops gracefully.
type soak struct {
	t           *testing.T
	seed        uint64
	config      soakConfig
	random      *rand.Rand
	cluster     *Cluster
	lastNumber  atomic.Uint64
	suspensions []timeSpan // of the first controller
	process     processSamples

	mu         sync.Mutex
	stopping   bool
	stopAt     time.Time              // of the graceful stop
	sent       map[string]soakRequest // by request ID
	rejected   map[string]bool        // by request ID; only requests with a reply are in it
	outcomes   map[string]int         // number of replies by outcome
	violations []string
}

// timeSpan is the time from the beginning to the end of a suspension.
type timeSpan struct{ from, to time.Time }

// addViolation adds a violation to the result of the run.
func (s *soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// mayDial reports whether clients may still open connections.
func (s *soak) mayDial() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stopping || time.Since(s.stopAt) < acceptAfterTerm
}

// run plays the scenario and collects the violations.
func (s *soak) run() {
	s.configure()
	require.NoError(s.t, s.cluster.StartAll())
	if !answersProbe(s.cluster, 0) {
		s.addViolation("the first controller was not ready within %v", readyTimeout)
		return
	}
	if s.config.handoff {
		waitForHandoffReady(s.t, s.cluster)
	}
	stopSampling := s.sampleProcess(s.cluster.PID(0))
	defer stopSampling()
	finished := make(chan struct{})
	var clients sync.WaitGroup
	s.startClients(&clients, finished)
	s.injectFaults(&clients, finished)
	s.stop()
	time.Sleep(50 * time.Millisecond)
	close(finished)
	clients.Wait()
	s.check()
}

// answersProbe reports whether a controller answers a probe of its client server within readyTimeout.
func answersProbe(cluster *Cluster, controller int) bool {
	address := cluster.Controllers[controller].ClientAddress
	for start := time.Now(); time.Since(start) < readyTimeout; {
		client, err := testservers.Dial(address, readyTimeout)
		if err != nil {
			continue
		}
		_, err = client.Call("probe", map[string]any{}, time.Second)
		client.Close()
		if err == nil {
			return true
		}
	}
	return false
}

// startClients starts the clients of the first controller, which run until finished is closed.
func (s *soak) startClients(clients *sync.WaitGroup, finished chan struct{}) {
	address := s.cluster.Controllers[0].ClientAddress
	for range soakClients {
		random := rand.New(rand.NewPCG(s.seed, s.random.Uint64()))
		clients.Go(func() { s.runClient(address, random, finished) })
	}
	if s.config.idleConnections {
		clients.Go(func() { s.openIdleConnections(address, finished) })
	}
}

// injectFaults injects the faults of the scenario that precede the graceful stop. An executor that flaps does so until
// finished is closed.
func (s *soak) injectFaults(clients *sync.WaitGroup, finished chan struct{}) {
	config, random := &s.config, s.random
	if !config.earlyStop {
		time.Sleep(config.faultFreeTime)
		for _, sig := range config.signalsBeforeStop {
			s.signal(sig)
			time.Sleep(suspensionGap + time.Duration(random.IntN(120))*time.Millisecond)
		}
	}
	for range config.discoveryMoves {
		s.moveDiscovery()
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	if config.executorDrains {
		require.NoError(s.t, s.cluster.DrainExecutor(drainingExecutor))
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
	}
	if config.executorFlaps {
		clients.Go(func() { s.flapExecutor(finished) })
	}
	for k := range config.hangingExecutors {
		s.cluster.Executors[k].Hangs.Store(true)
	}
	time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	if config.discoveryStops {
		s.cluster.StopDiscovery()
	}
}

// flapExecutor ends the connections of an executor repeatedly until finished is closed.
func (s *soak) flapExecutor(finished chan struct{}) {
	for {
		select {
		case <-finished:
			return
		case <-time.After(60 * time.Millisecond):
			s.cluster.Executors[flappingExecutor].SetUnreachable(true)
			s.cluster.Executors[flappingExecutor].SetUnreachable(false)
		}
	}
}

// stop stops the first controller gracefully, sends it the further signals of the scenario, and kills it at the
// earliest time that the operators' documentation allows.
func (s *soak) stop() {
	c, pid := s.cluster.Controllers[0], s.cluster.PID(0)
	s.mu.Lock()
	s.stopAt, s.stopping = time.Now(), true
	s.mu.Unlock()
	_ = syscall.Kill(pid, syscall.SIGTERM)
	for _, sig := range s.config.signalsDuringStop {
		time.Sleep(time.Duration(s.random.IntN(150)) * time.Millisecond)
		_ = syscall.Kill(pid, sig)
	}
	killDelay := min(s.config.deadline, maxKillDeadline) + killSlack
	select {
	case <-c.exited:
		if code := c.cmd.ProcessState.ExitCode(); code != 0 {
			s.addViolation("the first controller ended its graceful stop with exit code %d", code)
		}
	case <-time.After(time.Until(s.stopAt.Add(killDelay))):
		s.killFirst(c, pid)
		s.t.Logf("seed %d: killed %v after SIGTERM", s.seed, killDelay)
	}
	c.cmd = nil
}

// moveDiscovery starts a discovery service at another address and reloads the first controller's configuration with
// that address. The previous service publishes nothing more, and stops later.
func (s *soak) moveDiscovery() {
	previous := s.cluster.discovery
	next, err := testservers.NewDiscovery()
	require.NoError(s.t, err)
	s.t.Cleanup(next.Stop)
	s.cluster.discovery = next
	path := s.cluster.Controllers[0].nodeFile()
	text, err := os.ReadFile(path)
	require.NoError(s.t, err)
	moved := strings.ReplaceAll(string(text), previous.Address, next.Address)
	require.NoError(s.t, os.WriteFile(path, []byte(moved), 0o600))
	s.signal(syscall.SIGHUP)
	time.AfterFunc(1500*time.Millisecond, previous.Stop)
}

// signal sends a signal to the first controller. After SIGSTOP it waits for suspensionTime and resumes the controller.
func (s *soak) signal(sig syscall.Signal) {
	_ = s.cluster.Signal(0, sig)
	if sig != syscall.SIGSTOP {
		return
	}
	from := time.Now()
	time.Sleep(suspensionTime)
	_ = s.cluster.Signal(0, syscall.SIGCONT)
	s.suspensions = append(s.suspensions, timeSpan{from, time.Now()})
}

// openIdleConnections opens connections that send nothing, and keeps at most maxIdleConnections of them open, until
// finished is closed.
func (s *soak) openIdleConnections(address string, finished chan struct{}) {
	var idle []net.Conn
	defer func() {
		for _, conn := range idle {
			_ = conn.Close()
		}
	}()
	for {
		select {
		case <-finished:
			return
		case <-time.After(2 * time.Millisecond):
		}
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			continue
		}
		if !s.mayDial() {
			_ = conn.Close()
			continue
		}
		idle = append(idle, conn)
		if len(idle) > maxIdleConnections {
			_ = idle[0].Close()
			idle = idle[1:]
		}
	}
}

// mayHaveCrossedSuspension reports whether the controller may have been suspended after it checked the deadline of an
// attempt and before it wrote the attempt: the request was sent before the suspension, and the run began right after
// it. No process can detect such a suspension.
func (s *soak) mayHaveCrossedSuspension(sent soakRequest, ranAt time.Time) bool {
	for _, span := range s.suspensions {
		sentBefore := sent.sentAt.Before(span.from.Add(signalSlack))
		ranRightAfter := ranAt.After(span.to.Add(-signalSlack)) && ranAt.Before(span.to.Add(schedulingSlack))
		if sentBefore && ranRightAfter {
			return true
		}
	}
	return false
}

// check compares the executors' runs with the requests and replies of the clients, and adds the violations.
func (s *soak) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	drained := map[string]time.Time{}
	for name, at := range s.cluster.drained {
		drained[name] = at.Add(schedulingSlack)
	}
	runs := s.cluster.RunLog.Runs()
	s.violations = append(s.violations, RunsAfterDrain(runs, drained)...)
	runCounts := map[string]int{}
	for _, r := range runs {
		runCounts[r.ID]++
		if violation := s.checkRun(r, runCounts[r.ID]); violation != "" {
			s.violations = append(s.violations, violation)
		}
	}
}

// checkRun returns the violation of a run, or an empty text. runCount is how often its request has run so far, this run
// included.
func (s *soak) checkRun(r testservers.Run, runCount int) string {
	sent, known := s.sent[r.ID]
	remaining := sent.deadline - r.At.Sub(sent.sentAt)
	switch {
	case !known:
		return fmt.Sprintf("request %s ran and was never sent", r.ID)
	case sent.class == classNonIdempotent && runCount > 1:
		return fmt.Sprintf("non-idempotent request %s ran twice", r.ID)
	case sent.class != classIdempotent && s.rejected[r.ID]:
		return fmt.Sprintf("request %s (%s) ran and was rejected", r.ID, sent.class)
	case s.mayHaveCrossedSuspension(sent, r.At):
	case !sent.abandonedAt.IsZero() && r.At.Sub(sent.abandonedAt) > disconnectSlack+schedulingSlack:
		return fmt.Sprintf("request %s began to run %v after its client had disconnected", r.ID, r.At.Sub(sent.abandonedAt))
	case r.WaitLimit > remaining+waitSlack+schedulingSlack:
		return fmt.Sprintf("request %s: its executor got a wait limit of %v, but its client waits only for %v",
			r.ID, r.WaitLimit, remaining)
	}
	return ""
}

// soakSeeds returns the first seed to play and the number of seeds: a few by default, others if the environment names
// them.
func soakSeeds() (first, count uint64) {
	first, count = 1, 8
	if value, err := strconv.ParseUint(os.Getenv("LIFTSHIFT_SOAK_SEEDS"), 10, 32); err == nil {
		count = value
	}
	if value, err := strconv.ParseUint(os.Getenv("LIFTSHIFT_SOAK_FIRST"), 10, 32); err == nil {
		first = value
	}
	return first, count
}

// A graceful stop leaves no request without a reply, starts no attempt for a client that has disconnected, and gives no
// executor a later deadline than the client has, while clients keep sending and signals, hanging executors, failing
// discovery and idle connections disturb the controller.
//
// LIFTSHIFT_SOAK_SEEDS and LIFTSHIFT_SOAK_FIRST play other seeds, LIFTSHIFT_SOAK_PROGRAMS names the directory of other
// builds of liftshift and liftshift-full.
func TestSoak_AnswersAllThroughGracefulStop(t *testing.T) {
	first, count := soakSeeds()
	programs := os.Getenv("LIFTSHIFT_SOAK_PROGRAMS")
	if programs == "" {
		programs = t.TempDir()
		output, err := exec.Command("go", "build", "-o", programs+"/",
			"liftshift/cmd/liftshift", "liftshift/cmd/liftshift-full").CombinedOutput()
		require.NoError(t, err, "build liftshift: %s", output)
	}
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 37))
			config := drawSoakConfig(random)
			cluster, err := New(config.clusterConfig(filepath.Join(programs, "liftshift"), t.TempDir(), seed))
			require.NoError(t, err)
			t.Cleanup(cluster.Close)
			s := &soak{t: t, seed: seed, config: config, random: random, cluster: cluster, sent: map[string]soakRequest{},
				outcomes: map[string]int{}, rejected: map[string]bool{}}
			s.run()
			t.Logf("%+v: %d sent, %v", config, len(s.sent), s.outcomes)
			if len(s.violations) > 0 {
				t.Errorf("%d violations; to repeat this run, set LIFTSHIFT_SOAK_FIRST=%d LIFTSHIFT_SOAK_SEEDS=1\n%s\n%s\n%s",
					len(s.violations), seed, strings.Join(s.violations[:min(len(s.violations), 10)], "\n"),
					strings.Join(s.process.samples, "\n"), cluster.Controllers[0].Log())
			}
		})
	}
}
