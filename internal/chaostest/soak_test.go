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

// The operators' figures for a planned stop and for what clients may see.
const (
	idleCloseRace      = 50 * time.Millisecond  // a request sent so shortly before the end of its idle connection is sent again
	lateReplyLimit     = 500 * time.Millisecond // behind its deadline a reply only earns nothing; later it is lost
	acceptAfterTerm    = 400 * time.Millisecond // after SIGTERM new connections come for so long
	killSlack          = 700 * time.Millisecond // SIGKILL comes this, and the longest deadline, after SIGTERM
	longestKill        = 3 * time.Second        // counted of the longest deadline
	disconnectSlack    = 100 * time.Millisecond // an attempt may begin so long after its client has gone
	waitSlack          = 150 * time.Millisecond // over what the client has left, in the limit that an executor gets
	betweenSuspensions = 60 * time.Millisecond  // that a process runs between two suspensions: it can answer nothing meanwhile
	writeSlack         = 5 * time.Millisecond   // from a signal until it counts
	machineSlack       = 60 * time.Millisecond  // of this test, beside others on a busy machine
)

const (
	soakClients        = 24
	readyTimeout       = 10 * time.Second
	suspensionTime     = 400 * time.Millisecond
	maxIdleConnections = 300
	flappingExecutor   = 2
	drainingExecutor   = 3
)

// soak is one run: a controller or more of the real program before executors, many clients, and signals in series.
type soak struct {
	t           *testing.T
	seed        uint64
	config      soakConfig
	random      *rand.Rand
	cluster     *Cluster
	lastNumber  atomic.Uint64
	suspensions []suspensionSpan

	mu         sync.Mutex
	stopping   bool
	stopAt     time.Time              // of the planned stop
	sent       map[string]soakRequest // by request ID
	rejected   map[string]bool        // by request ID, of those that have a reply
	outcomes   map[string]int
	violations []string
}

// suspensionSpan is when the process was suspended.
type suspensionSpan struct{ from, to time.Time }

func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// mayDial reports whether clients still open connections.
func (s *soak) mayDial() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stopping || time.Since(s.stopAt) < acceptAfterTerm
}

// run plays one seed and collects the violations.
func (s *soak) run() {
	s.configure()
	require.NoError(s.t, s.cluster.StartAll())
	if !s.waitUntilReady() {
		s.fail("not ready within %v", readyTimeout)
		return
	}
	if s.config.handoff {
		waitForReplicas(s.t, s.cluster)
	}
	over := make(chan struct{})
	var clients sync.WaitGroup
	s.startClients(&clients, over)
	s.disturb(&clients, over)
	s.stop()
	time.Sleep(50 * time.Millisecond)
	close(over)
	clients.Wait()
	s.check()
}

func (s *soak) waitUntilReady() bool {
	address := s.cluster.Controllers[0].ClientAddress
	for start := time.Now(); time.Since(start) < readyTimeout; {
		c, err := testservers.Dial(address, readyTimeout)
		if err != nil {
			continue
		}
		_, err = c.Call("probe", map[string]any{}, time.Second)
		c.Close()
		if err == nil {
			return true
		}
	}
	return false
}

func (s *soak) startClients(clients *sync.WaitGroup, over chan struct{}) {
	address := s.cluster.Controllers[0].ClientAddress
	for range soakClients {
		random := rand.New(rand.NewPCG(s.seed, s.random.Uint64()))
		clients.Go(func() { s.playClient(address, random, over) })
	}
	if s.config.crowd {
		clients.Go(func() { s.openIdleConnections(address, over) })
	}
}

// disturb injects what the seed has before the planned stop.
func (s *soak) disturb(clients *sync.WaitGroup, over chan struct{}) {
	config, random := &s.config, s.random
	if !config.early {
		time.Sleep(config.quiet)
		for _, sig := range config.signals {
			s.signal(sig)
			time.Sleep(betweenSuspensions + time.Duration(random.IntN(120))*time.Millisecond)
		}
	}
	for range config.moves {
		s.moveDiscovery()
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	if config.drains {
		require.NoError(s.t, s.cluster.DrainExecutor(drainingExecutor))
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
	}
	if config.flaps {
		clients.Go(func() { s.flapExecutor(over) })
	}
	for k := range config.hangs {
		s.cluster.Executors[k].Hangs.Store(true)
	}
	time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	if config.discoveryEnds {
		s.cluster.StopDiscovery()
	}
}

// flapExecutor ends the connections of an executor again and again.
func (s *soak) flapExecutor(over chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(60 * time.Millisecond):
			s.cluster.Executors[flappingExecutor].SetUnreachable(true)
			s.cluster.Executors[flappingExecutor].SetUnreachable(false)
		}
	}
}

// stop stops the first controller gracefully, with further signals, and kills it at the earliest moment that is allowed.
func (s *soak) stop() {
	c, pid := s.cluster.Controllers[0], s.cluster.PID(0)
	s.mu.Lock()
	s.stopAt, s.stopping = time.Now(), true
	s.mu.Unlock()
	_ = syscall.Kill(pid, syscall.SIGTERM)
	for _, sig := range s.config.stopSignals {
		time.Sleep(time.Duration(s.random.IntN(150)) * time.Millisecond)
		_ = syscall.Kill(pid, sig)
	}
	kill := min(s.config.deadline, longestKill) + killSlack
	select {
	case <-c.exited:
		if code := c.cmd.ProcessState.ExitCode(); code != 0 {
			s.fail("exit code %d", code)
		}
	case <-time.After(time.Until(s.stopAt.Add(kill))):
		_ = syscall.Kill(pid, syscall.SIGKILL)
		<-c.exited
		s.t.Logf("seed %d: killed %v after SIGTERM", s.seed, kill)
	}
	c.cmd = nil
}

// moveDiscovery has discovery go on at another address, which a new configuration names; the service before publishes nothing more, and ends
// later.
func (s *soak) moveDiscovery() {
	before := s.cluster.discovery
	next, err := testservers.NewDiscovery()
	require.NoError(s.t, err)
	s.t.Cleanup(next.Stop)
	s.cluster.discovery = next
	path := s.cluster.Controllers[0].nodeFile()
	text, err := os.ReadFile(path)
	require.NoError(s.t, err)
	require.NoError(s.t, os.WriteFile(path, []byte(strings.ReplaceAll(string(text), before.Address, next.Address)), 0o600))
	s.signal(syscall.SIGHUP)
	time.AfterFunc(1500*time.Millisecond, before.Stop)
}

// signal sends one signal to the first controller; a suspension lasts for some hundred ms.
func (s *soak) signal(sig syscall.Signal) {
	_ = s.cluster.Signal(0, sig)
	if sig != syscall.SIGSTOP {
		return
	}
	from := time.Now()
	time.Sleep(suspensionTime)
	_ = s.cluster.Signal(0, syscall.SIGCONT)
	s.suspensions = append(s.suspensions, suspensionSpan{from, time.Now()})
}

// openIdleConnections fills the controller with connections that send nothing.
func (s *soak) openIdleConnections(address string, over chan struct{}) {
	var idle []net.Conn
	defer func() {
		for _, conn := range idle {
			_ = conn.Close()
		}
	}()
	for {
		select {
		case <-over:
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

// mayHaveCrossedSuspension reports whether an attempt may have been suspended, with its process, between the last look at the clock and the
// write: its request was sent before the suspension, and it reached its executor right behind it. No process can see that.
func (s *soak) mayHaveCrossedSuspension(sent soakRequest, at time.Time) bool {
	for _, span := range s.suspensions {
		sentBefore := sent.at.Before(span.from.Add(writeSlack))
		ranBehind := at.After(span.to.Add(-writeSlack)) && at.Before(span.to.Add(machineSlack))
		if sentBefore && ranBehind {
			return true
		}
	}
	return false
}

// check compares what executors ran with what clients sent and got.
func (s *soak) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	drained := map[string]time.Time{}
	for name, at := range s.cluster.drained {
		drained[name] = at.Add(machineSlack)
	}
	all := s.cluster.RunLog.Runs()
	s.violations = append(s.violations, RunsAfterDrain(all, drained)...)
	runs := map[string]int{}
	for _, r := range all {
		runs[r.ID]++
		if violation := s.checkRun(r, runs[r.ID]); violation != "" {
			s.violations = append(s.violations, violation)
		}
	}
}

// checkRun returns what is wrong with a run, of which there are so many by then; empty: nothing.
func (s *soak) checkRun(r testservers.Run, runs int) string {
	sent, known := s.sent[r.ID]
	left := sent.deadline - r.At.Sub(sent.at)
	switch {
	case !known:
		return fmt.Sprintf("%s ran and was never sent", r.ID)
	case sent.class == classNonIdempotent && runs > 1:
		return fmt.Sprintf("%s ran twice", r.ID)
	case sent.class != classIdempotent && s.rejected[r.ID]:
		return fmt.Sprintf("%s (%s) ran and was rejected", r.ID, sent.class)
	case s.mayHaveCrossedSuspension(sent, r.At):
	case !sent.abandonedAt.IsZero() && r.At.Sub(sent.abandonedAt) > disconnectSlack+machineSlack:
		return fmt.Sprintf("%s began %v after its client had gone", r.ID, r.At.Sub(sent.abandonedAt))
	case r.WaitLimit > left+waitSlack+machineSlack:
		return fmt.Sprintf("%s: %v limit given to its executor, %v left", r.ID, r.WaitLimit, left)
	}
	return ""
}

// soakSeeds returns the seeds to play: a few of their own in CI, others where the environment asks for them.
func soakSeeds() (first, n uint64) {
	first, n = 1, 8
	if v, err := strconv.ParseUint(os.Getenv("LIFTSHIFT_SOAK_SEEDS"), 10, 32); err == nil {
		n = v
	}
	if v, err := strconv.ParseUint(os.Getenv("LIFTSHIFT_SOAK_FIRST"), 10, 32); err == nil {
		first = v
	}
	return first, n
}

// Clients go on sending on their open connections until the controller ends them or is killed at the earliest moment that the operators' pages
// allow, while signals come in series, executors hang, discovery ends and idle clients crowd in. Nothing that was read is left without a reply,
// nothing begins for a client that has gone, and no executor gets a later deadline than the client has.
// LIFTSHIFT_SOAK_SEEDS and LIFTSHIFT_SOAK_FIRST play other seeds, LIFTSHIFT_SOAK_PROGRAMS names the directory of other builds.
func TestSoak_AnswersAllThroughGracefulStop(t *testing.T) {
	first, n := soakSeeds()
	programs := os.Getenv("LIFTSHIFT_SOAK_PROGRAMS")
	if programs == "" {
		programs = t.TempDir()
		out, err := exec.Command("go", "build", "-o", programs+"/", "liftshift/cmd/liftshift", "liftshift/cmd/liftshift-full").CombinedOutput()
		require.NoError(t, err, string(out))
	}
	for seed := first; seed < first+n; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 37))
			config := drawSoakConfig(random)
			cl, err := New(config.clusterConfig(filepath.Join(programs, "liftshift"), t.TempDir(), seed))
			require.NoError(t, err)
			t.Cleanup(cl.Close)
			s := &soak{t: t, seed: seed, config: config, random: random, cluster: cl, sent: map[string]soakRequest{}, outcomes: map[string]int{},
				rejected: map[string]bool{}}
			s.run()
			t.Logf("%+v: %d sent, %v", config, len(s.sent), s.outcomes)
			if len(s.violations) > 0 {
				t.Errorf("%d faults; again: LIFTSHIFT_SOAK_FIRST=%d LIFTSHIFT_SOAK_SEEDS=1\n%s\n%.3000s", len(s.violations), seed,
					strings.Join(s.violations[:min(len(s.violations), 10)], "\n"), cl.Controllers[0].Log())
			}
		})
	}
}
