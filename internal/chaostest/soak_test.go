package chaostest

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

// The operators' figures for a planned stop and for what clients hear.
const (
	idleCloseRace      = 50 * time.Millisecond  // a request sent so shortly before the end of its resting connection is sent again
	lateReplyLimit     = 500 * time.Millisecond // behind its time an answer only earns nothing; later it is lost
	acceptAfterTerm    = 400 * time.Millisecond // after SIGTERM new connections come for so long
	killSlack          = 700 * time.Millisecond // SIGKILL comes this, and the longest deadline, after SIGTERM
	longestKill        = 3 * time.Second        // counted of the longest deadline
	disconnectSlack    = 100 * time.Millisecond // an attempt may begin so long after its client has gone
	waitSlack          = 150 * time.Millisecond // over what the client has left, in what an engine is told
	betweenSuspensions = 60 * time.Millisecond  // that a process runs between two stops: it can answer nothing while it is stopped
	writeSlack         = 5 * time.Millisecond   // from a signal until it counts
	machineSlack       = 60 * time.Millisecond  // of this harness, beside other tests on a busy machine
)

// soakRequest is one request as its client sent it.
type soakRequest struct {
	id, class string
	at        time.Time // when its last byte was written
	deadline  time.Duration
	gone      time.Time // when its client left; zero: it waited
}

// soak is one run: a controller or two of the real program before engines, a crowd of clients, and signals in series.
type soak struct {
	t        *testing.T
	seed     uint64
	cluster  *Cluster
	deadline time.Duration
	begin    time.Time // of the planned stop; read under mu
	number   atomic.Uint64

	suspensions [][2]time.Time // of the process, by SIGSTOP
	mu          sync.Mutex
	stopping    bool
	sent        map[string]soakRequest
	violations  []string
	outcomes    map[string]int
	rejected    map[string]bool // whether it was denied
}

func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// mayDial tells whether the front still opens connections.
func (s *soak) mayDial() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stopping || time.Since(s.begin) < acceptAfterTerm
}

// soakClient is one connection that carries several requests.
type soakClient struct {
	s          *soak
	conn       *net.TCPConn
	mu         sync.Mutex
	open       map[int]soakRequest
	done       chan struct{}
	halfClosed bool // it has ended its writing side
	abandoned  bool // it has left by itself
	ended      bool
}

func (s *soak) dial(address string) *soakClient {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil
	}
	c := &soakClient{s: s, conn: conn.(*net.TCPConn), open: map[int]soakRequest{}, done: make(chan struct{})}
	go c.readReplies()
	return c
}

// submit sends a request; false if the connection has ended.
func (c *soakClient) submit(id int, offering string, deadline time.Duration) bool {
	r := soakRequest{id: fmt.Sprintf("%016x", c.s.number.Add(1)), class: offering, deadline: deadline}
	p := map[string]any{"req": r.id, "timeout": deadline.Milliseconds(), "ms": 5, "ram": 1, "data": "c2VsZWN0IDE="}
	if offering == "mark" {
		p["opkey"] = "m" + r.id
	}
	text, _ := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": id, "method": offering, "params": p})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.halfClosed {
		return false
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintf(c.conn, "Content-Length: %d\r\n\r\n%s", len(text), text); err != nil {
		return false // no whole request was sent
	}
	r.at = time.Now()
	c.open[id] = r
	c.s.mu.Lock()
	c.s.sent[r.id] = r
	c.s.mu.Unlock()
	return true
}

// readReplies reads answers until the connection ends, and then looks at what is still open.
func (c *soakClient) readReplies() {
	defer close(c.done)
	r := bufio.NewReader(c.conn)
	var err error
	for err == nil {
		err = c.readReply(r)
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, o := range c.open {
		if c.abandoned || now.Sub(o.at) < idleCloseRace+machineSlack && !c.halfClosed {
			continue
		}
		c.s.fail("request %s (%s), sent %v before its connection ended (%v; half-closed %v): no answer", o.id, o.class, now.Sub(o.at), err, c.halfClosed)
	}
}

func (c *soakClient) readReply(r *bufio.Reader) error {
	head, err := r.ReadString('\n')
	if err != nil {
		return err
	}
	n, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(head, "Content-Length:")))
	if err != nil {
		return err
	}
	body := make([]byte, n+2)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	var m struct {
		ID    int
		Error struct{ Code int }
	}
	if err := json.Unmarshal(body, &m); err != nil {
		return err
	}
	c.mu.Lock()
	o, ok := c.open[m.ID]
	delete(c.open, m.ID)
	c.mu.Unlock()
	if !ok {
		c.s.fail("an answer to %d, which is not open: %s", m.ID, body)
		return nil
	}
	if took := time.Since(o.at); took > o.deadline+lateReplyLimit+machineSlack {
		c.s.fail("request %s was answered after %v of %v", o.id, took, o.deadline)
	}
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.s.rejected[o.id] = m.Error.Code == testservers.CodeRejected; m.Error.Code == 0 {
		c.s.outcomes["handled"]++
	} else if m.Error.Code == testservers.CodeRejected {
		c.s.outcomes["denied"]++
	} else {
		c.s.outcomes["failed"]++
	}
	return nil
}

// abandon ends the connection from this side.
func (c *soakClient) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
	now := time.Now()
	c.s.mu.Lock()
	for _, o := range c.open {
		o.gone = now
		c.s.sent[o.id] = o
	}
	c.s.mu.Unlock()
	_ = c.conn.Close()
}

// closeWrite ends the writing side; what is open is still owed its answer.
func (c *soakClient) closeWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.halfClosed = true
	now := time.Now()
	c.s.mu.Lock()
	for _, o := range c.open {
		o.gone = now
		c.s.sent[o.id] = o
	}
	c.s.mu.Unlock()
	_ = c.conn.CloseWrite()
}

// client plays one client until the stop is over: it goes on asking on its open connections until they end.
func (s *soak) client(address string, rng *rand.Rand, over chan struct{}) {
	offerings := []string{"look", "look", "look", "mark", "once"}
	for {
		select {
		case <-over:
			return
		default:
		}
		if !s.mayDial() {
			return
		}
		c := s.dial(address)
		if c == nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		most, manner := 1+rng.IntN(6), rng.IntN(20)
		for id := 1; ; id++ {
			pause := time.Duration(rng.IntN(20)) * time.Millisecond
			if manner == 0 { // it rests
				pause = time.Duration(rng.IntN(1500)) * time.Millisecond
			}
			select {
			case <-over:
				c.abandon()
				return
			case <-c.done:
			case <-time.After(pause):
			}
			c.mu.Lock()
			open, ended := len(c.open), c.ended
			c.mu.Unlock()
			if ended {
				break
			}
			if open < most && !c.submit(id, offerings[rng.IntN(len(offerings))], s.deadline-time.Duration(rng.IntN(int(s.deadline/5)))) {
				<-c.done
				break
			}
			if manner == 1 && id > 5 {
				c.abandon()
				<-c.done
				break
			}
			if manner == 2 && id > 5 {
				c.closeWrite()
				<-c.done
				break
			}
		}
	}
}

// soakConfig is what a seed draws.
type soakConfig struct {
	controllers           int
	deadline              time.Duration
	hangs                 int // engines that hang from shortly before the stop on
	store, cluster, crowd bool
	signals               []os.Signal // before the stop
	stopSignals           []os.Signal // during it
	early                 bool        // SIGTERM comes within the first second
	quiet                 time.Duration
	listDies              bool
	handoff               bool // others keep copies of what is in hand, and take it over
	moves                 int  // times that the list moves to another address, with SIGHUP
	drains                bool // an engine drains before the stop, told by the list as it is then
	cuts                  bool // an engine's connections break, again and again
}

func drawSoakConfig(rng *rand.Rand) soakConfig {
	p := soakConfig{controllers: 1, deadline: []time.Duration{200, 400, 1000, 3000}[rng.IntN(4)] * time.Millisecond, hangs: rng.IntN(3),
		store: rng.IntN(3) == 0, cluster: rng.IntN(4) == 0, crowd: rng.IntN(4) == 0, early: rng.IntN(5) == 0, listDies: rng.IntN(3) == 0,
		quiet: time.Duration(300+rng.IntN(1500)) * time.Millisecond}
	if p.cluster {
		p.controllers = 2
	}
	for range rng.IntN(4) {
		p.signals = append(p.signals, []os.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGSTOP}[rng.IntN(3)])
	}
	for range rng.IntN(4) {
		p.stopSignals = append(p.stopSignals, []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}[rng.IntN(3)])
	}
	if p.handoff = rng.IntN(6) == 0; p.handoff {
		p.controllers, p.store, p.cluster = 5, true, true
	}
	p.moves, p.drains, p.cuts = rng.IntN(3), rng.IntN(2) == 0, rng.IntN(4) == 0
	return p
}

// run plays one seed and gives what was wrong.
func (s *soak) run(p soakConfig, rng *rand.Rand) {
	t, c := s.t, s.cluster.Controllers[0]
	s.configure(p)
	require.NoError(t, s.cluster.StartAll())
	started := time.Now()
	fit := false
	for !fit && time.Since(started) < 10*time.Second {
		if one, err := testservers.Dial(c.ClientAddress, 10*time.Second); err == nil {
			_, err = one.Call("probe", map[string]any{}, time.Second)
			fit = err == nil
			one.Close()
		}
	}
	if !fit {
		s.fail("not ready within 10 s")
		return
	}
	if p.handoff {
		waitForReplicas(t, s.cluster)
	}
	over := make(chan struct{})
	var clients sync.WaitGroup
	for range 24 {
		one := rand.New(rand.NewPCG(s.seed, rng.Uint64()))
		clients.Go(func() { s.client(c.ClientAddress, one, over) })
	}
	if p.crowd {
		clients.Go(func() { s.openIdleConnections(c.ClientAddress, over) })
	}
	if !p.early {
		time.Sleep(p.quiet)
		for _, sig := range p.signals {
			s.signal(sig)
			time.Sleep(betweenSuspensions + time.Duration(rng.IntN(120))*time.Millisecond)
		}
	}
	for range p.moves {
		s.moveDiscovery()
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
	if p.drains {
		require.NoError(t, s.cluster.DrainExecutor(3))
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
	}
	if p.cuts {
		clients.Go(func() {
			for {
				select {
				case <-over:
					return
				case <-time.After(60 * time.Millisecond):
					s.cluster.Executors[2].SetUnreachable(true)
					s.cluster.Executors[2].SetUnreachable(false)
				}
			}
		})
	}
	for k := range p.hangs {
		s.cluster.Executors[k].Hangs.Store(true)
	}
	time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
	if p.listDies {
		s.cluster.discovery.Stop()
	}
	process := s.cluster.PID(0)
	s.mu.Lock()
	s.begin, s.stopping = time.Now(), true
	s.mu.Unlock()
	_ = syscall.Kill(process, syscall.SIGTERM)
	for _, sig := range p.stopSignals {
		time.Sleep(time.Duration(rng.IntN(150)) * time.Millisecond)
		_ = syscall.Kill(process, sig.(syscall.Signal))
	}
	kill := min(p.deadline, longestKill) + killSlack
	select {
	case <-c.exited:
		if code := c.cmd.ProcessState.ExitCode(); code != 0 {
			s.fail("exit code %d", code)
		}
	case <-time.After(time.Until(s.begin.Add(kill))):
		_ = syscall.Kill(process, syscall.SIGKILL)
		<-c.exited
		t.Logf("seed %d: killed %v after SIGTERM", s.seed, kill)
	}
	c.cmd = nil
	time.Sleep(50 * time.Millisecond)
	close(over)
	clients.Wait()
	s.check()
}

// moveDiscovery has the list go on at another address, which a new configuration names; the one before tells nothing more, and ends later.
func (s *soak) moveDiscovery() {
	before := s.cluster.discovery
	next, err := testservers.NewDiscovery()
	require.NoError(s.t, err)
	s.t.Cleanup(next.Stop)
	s.cluster.discovery = next
	path := filepath.Join(s.cluster.Controllers[0].Directory, "node.json")
	text, err := os.ReadFile(path)
	require.NoError(s.t, err)
	require.NoError(s.t, os.WriteFile(path, []byte(strings.ReplaceAll(string(text), before.Address, next.Address)), 0o600))
	s.signal(syscall.SIGHUP)
	time.AfterFunc(1500*time.Millisecond, before.Stop)
}

// signal sends one signal to the first controller; a stop of the process lasts some hundred ms.
func (s *soak) signal(sig os.Signal) {
	_ = s.cluster.Signal(0, sig.(syscall.Signal))
	if sig == syscall.SIGSTOP {
		from := time.Now()
		time.Sleep(400 * time.Millisecond)
		_ = s.cluster.Signal(0, syscall.SIGCONT)
		s.suspensions = append(s.suspensions, [2]time.Time{from, time.Now()})
	}
}

// mayHaveCrossedSuspension tells whether an attempt may have been stopped, with its process, between the last look at the clock and the write: its
// request was sent before the stop, and it reached its engine right behind it. No process can see that.
func (s *soak) mayHaveCrossedSuspension(sent soakRequest, at time.Time) bool {
	for _, stop := range s.suspensions {
		if sent.at.Before(stop[0].Add(writeSlack)) && at.After(stop[1].Add(-writeSlack)) && at.Before(stop[1].Add(machineSlack)) {
			return true
		}
	}
	return false
}

// openIdleConnections fills the controller with connections that say nothing.
func (s *soak) openIdleConnections(address string, over chan struct{}) {
	var idle []net.Conn
	defer func() {
		for _, c := range idle {
			_ = c.Close()
		}
	}()
	for {
		select {
		case <-over:
			return
		case <-time.After(2 * time.Millisecond):
		}
		if c, err := net.DialTimeout("tcp", address, 100*time.Millisecond); err == nil && s.mayDial() {
			if idle = append(idle, c); len(idle) > 300 {
				_ = idle[0].Close()
				idle = idle[1:]
			}
		} else if err == nil {
			_ = c.Close()
		}
	}
}

// configure writes the seed's own deadlines and limits into the controllers' files.
func (s *soak) configure(p soakConfig) {
	for _, c := range s.cluster.Controllers {
		path := filepath.Join(c.Directory, "node.json")
		text, err := os.ReadFile(path)
		require.NoError(s.t, err)
		node := map[string]any{}
		require.NoError(s.t, json.Unmarshal(text, &node))
		for _, class := range node["settings"].(map[string]any)["Classes"].([]any) {
			class.(map[string]any)["HardLimit"] = p.deadline.Microseconds()
			class.(map[string]any)["DedupWindow"] = p.deadline.Microseconds() / 2
		}
		node["limits"] = map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}
		text, _ = json.Marshal(node)
		require.NoError(s.t, os.WriteFile(path, text, 0o600))
		if !p.store && !p.cluster { // the plain program
			for k, v := range c.env {
				if strings.HasPrefix(v, "LIFTSHIFT_FILE=") {
					c.env[k] = "LIFTSHIFT_FILE="
				}
			}
		}
	}
}

// check holds what engines ran against what clients sent and heard.
func (s *soak) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := map[string]int{}
	drained := map[string]time.Time{}
	for name, at := range s.cluster.drained {
		drained[name] = at.Add(machineSlack)
	}
	s.violations = append(s.violations, RunsAfterDrain(s.cluster.RunLog.Runs(), drained)...)
	for _, r := range s.cluster.RunLog.Runs() {
		runs[r.ID]++
		sent, ok := s.sent[r.ID]
		switch left := sent.deadline - r.At.Sub(sent.at); {
		case !ok:
			s.violations = append(s.violations, fmt.Sprintf("%s ran and was never sent", r.ID))
		case sent.class == "once" && runs[r.ID] > 1:
			s.violations = append(s.violations, fmt.Sprintf("%s ran twice", r.ID))
		case sent.class != "look" && s.rejected[r.ID]:
			s.violations = append(s.violations, fmt.Sprintf("%s (%s) ran and was denied", r.ID, sent.class))
		case s.mayHaveCrossedSuspension(sent, r.At):
		case !sent.gone.IsZero() && r.At.Sub(sent.gone) > disconnectSlack+machineSlack:
			s.violations = append(s.violations, fmt.Sprintf("%s began %v after its client had gone", r.ID, r.At.Sub(sent.gone)))
		case r.WaitLimit > left+waitSlack+machineSlack:
			s.violations = append(s.violations, fmt.Sprintf("%s: %v told to its engine, %v left", r.ID, r.WaitLimit, left))
		}
	}
}

// soakSeeds gives the seeds to play: a few of their own in CI, more where the environment asks for them.
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

// Clients go on asking on their open connections until the controller ends them or is killed at the earliest moment that the
// pages allow, while signals come in series, engines hang, the list dies and idle clients crowd in. Nothing that was read is left without
// its answer, nothing begins for who has gone, and no engine is told a later deadline than the client has.
// LIFTSHIFT_SOAK_SEEDS and LIFTSHIFT_SOAK_FIRST play other seeds, LIFTSHIFT_SOAK_PROGRAMS names the folder of other builds.
func TestSoakOfStops(t *testing.T) {
	first, n := soakSeeds()
	built := os.Getenv("LIFTSHIFT_SOAK_PROGRAMS")
	if built == "" {
		built = t.TempDir()
		out, err := exec.Command("go", "build", "-o", built+"/", "liftshift/cmd/liftshift", "liftshift/cmd/liftshift-full").CombinedOutput()
		require.NoError(t, err, string(out))
	}
	for seed := first; seed < first+n; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 37))
			p := drawSoakConfig(rng)
			plan := Config{Program: filepath.Join(built, "liftshift"), Directory: t.TempDir(), Controllers: p.controllers, Executors: 4, Zones: 2,
				Store: p.store, Seed: seed, WithoutCluster: !p.cluster, WorkMS: 5, DedupWindow: time.Minute}
			if p.handoff {
				plan.Founders, plan.Zones, plan.ClusterSettings, plan.HandoffSettings = 3, 1, quickCluster, "copies = 2"
			}
			cl, err := New(plan)
			require.NoError(t, err)
			t.Cleanup(cl.Close)
			s := &soak{t: t, seed: seed, cluster: cl, deadline: p.deadline, sent: map[string]soakRequest{}, outcomes: map[string]int{}, rejected: map[string]bool{}}
			s.run(p, rng)
			t.Logf("%+v: %d sent, %v", p, len(s.sent), s.outcomes)
			if len(s.violations) > 0 {
				err = errors.New(strings.Join(s.violations[:min(len(s.violations), 10)], "\n"))
				t.Errorf("%d faults; again: LIFTSHIFT_SOAK_FIRST=%d LIFTSHIFT_SOAK_SEEDS=1\n%v\n%.3000s", len(s.violations), seed, err, cl.Controllers[0].Log())
			}
		})
	}
}
