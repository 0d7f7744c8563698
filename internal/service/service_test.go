package service

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/testlog"
	"liftshift/internal/testservers"
)

const testSettings = `{"Bounds": {"Cancelling": true, "ConnectTimeout": 250000, "IdleClose": 15000000, "MaxAttempts": 6,
 "MaxRetryAfter": 500000, "RetryAfter": true, "Probing": true, "StreamsPerConn": 100},
 "Classes": [{"Name": "look", "Idempotency": "safe", "Aim": 1000000, "HardLimit": 5000000, "Worth": 1}],
 "FamilyInfo": {"KindCores": [8], "RamOfKindMb": [16384], "LargestShare": 0.4, "TellsEvery": 500000},
 "Kinds": ["big"], "Siblings": 1}`

// unreachableAddress refuses connections.
const unreachableAddress = "127.0.0.1:9"

// probe asks whether the controller is ready.
const probe = `{"jsonrpc":"2.0","id":1,"method":"probe"}`

// freeAddress returns an address at which nothing listens.
func freeAddress(t *testing.T) string {
	address, err := testservers.FreeAddress()
	require.NoError(t, err)
	return address
}

// newConfig writes a configuration file for a controller with one executor, sets RELAY_CONFIG to it and reads it.
func newConfig(t *testing.T, listen, changelog, executor string) *Config {
	path := filepath.Join(t.TempDir(), "node.json")
	require.NoError(t, os.WriteFile(path, fmt.Appendf(nil, `{"name":"n0","listen":"%s","seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"changelog":"%s","settings":%s,"known":{"seq":1,"results":[
		{"seq":1,"fleet":{"snapshot":true,"endpoints":[{"name":"s-1","address":"%s","type":"big","status":"Ready"}]}}]}}`,
		listen, changelog, testSettings, executor), 0o600))
	t.Setenv("RELAY_CONFIG", path)
	config, err := ReadConfig()
	require.NoError(t, err)
	return config
}

// silentServer accepts connections and never answers. It sends what it first reads from each connection to received.
func silentServer(t *testing.T) (address string, received chan string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	received = make(chan string, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				buffer := make([]byte, 4096)
				size, _ := conn.Read(buffer)
				received <- string(buffer[:size])
				_, _ = io.Copy(io.Discard, conn)
				conn.Close()
			}()
		}
	}()
	return listener.Addr().String(), received
}

// startController runs a controller until stop is called; done then receives the result of Run.
func startController(t *testing.T, config *Config) (reload chan os.Signal, stop func(), done chan error) {
	log := testlog.Discard()
	reload, done = make(chan os.Signal), make(chan error, 1)
	ctx, stop := context.WithCancel(t.Context())
	go func() { done <- Run(ctx, config, NoExtensions{}, reload, log) }()
	return reload, stop, done
}

// dialEventually connects to a controller that may not listen yet.
func dialEventually(t *testing.T, address string) (conn net.Conn) {
	require.Eventually(t, func() (ok bool) {
		var err error
		conn, err = net.Dial("tcp", address)
		return err == nil
	}, 5*time.Second, 5*time.Millisecond)
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

func sendMessage(conn net.Conn, text string) {
	fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n%s", len(text), text)
}

// lookRequest returns a request of the class look.
func lookRequest(id int, name string, timeout int) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"look",`+
		`"params":{"req":"%s","timeout":%d,"ms":50,"ram":9,"data":"eA=="}}`, id, name, timeout)
}

// readAnswer reads one message and returns its body.
func readAnswer(t *testing.T, r *bufio.Reader) string {
	head, err := r.ReadString('\n')
	require.NoError(t, err)
	return readBody(t, r, head)
}

// readBody reads the rest of the message that begins with the line head.
func readBody(t *testing.T, r *bufio.Reader, head string) string {
	size := 0
	_, _ = fmt.Sscanf(head, "Content-Length: %d", &size)
	body := make([]byte, size+2)
	_, err := io.ReadFull(r, body)
	require.NoError(t, err, "an answer that has begun is complete")
	return string(body[2:])
}

// While a shutdown waits for the load balancer it still accepts connections. It answers every request, long ones too,
// and leaves no goroutine behind.
func TestRun_ShutdownAnswersAllAndLeaksNothing(t *testing.T) {
	executor, received := silentServer(t)
	config := newConfig(t, freeAddress(t), freeAddress(t), executor)
	goroutinesBefore := runtime.NumGoroutine()
	_, stop, done := startController(t, config)
	conn := dialEventually(t, config.Listen)
	r := bufio.NewReader(conn)
	sendMessage(conn, probe)
	assert.Contains(t, readAnswer(t, r), `"fit":true`)
	sendMessage(conn, lookRequest(2, "a2", 20000))
	assert.Contains(t, <-received, "profile=look,max=4", "no longer than the deadline of its class")
	began := time.Now()
	stop()
	time.Sleep(300 * time.Millisecond)
	lateConn := dialEventually(t, config.Listen)
	sendMessage(lateConn, probe)
	lateReader := bufio.NewReader(lateConn)
	assert.Contains(t, readAnswer(t, lateReader), `"fit":false`)
	sendMessage(lateConn, lookRequest(2, "a3", 20000))
	assert.Contains(t, readAnswer(t, r), `-32008`, "the long request is rejected")
	assert.Contains(t, readAnswer(t, lateReader), `-32008`, "so is the late one")
	assert.NoError(t, <-done)
	assert.Less(t, time.Since(began), deregistrationTime+maxDeadlineWait+2*time.Second) // allowance for a slow machine
	assert.Greater(t, time.Since(began), deregistrationTime)
	conn.Close()
	lateConn.Close()
	assert.Eventually(t, func() bool { return runtime.NumGoroutine() <= goroutinesBefore+1 },
		5*time.Second, 10*time.Millisecond)
}

// An incomplete file changes nothing. A complete one moves the discovery address, and the log names the fields that
// need a restart.
func TestRun_ReloadReplacesDiscoveryAddressOrNothing(t *testing.T) {
	first, firstReceived := silentServer(t)
	second, secondReceived := silentServer(t)
	config := newConfig(t, freeAddress(t), first, unreachableAddress)
	var logText bytes.Buffer
	log := logrus.New()
	log.SetOutput(&logText)
	reload := make(chan os.Signal)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Run(ctx, config, NoExtensions{}, reload, log) }()
	assert.Contains(t, <-firstReceived, "since=1")
	path := os.Getenv("RELAY_CONFIG")
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	changed := strings.NewReplacer(first, second, `"cores":1`, `"cores":2`).Replace(string(text))
	require.NoError(t, os.WriteFile(path, []byte(changed[:len(changed)/2]), 0o600))
	reload <- syscall.SIGHUP
	reload <- syscall.SIGHUP // received only after the first one has been handled
	require.NoError(t, os.WriteFile(path, []byte(changed), 0o600))
	reload <- syscall.SIGHUP
	began := time.Now()
	assert.Contains(t, <-secondReceived, "since=1")
	assert.Less(t, time.Since(began), time.Second)
	stop()
	assert.NoError(t, <-done)
	assert.Contains(t, logText.String(), "reload: not read")
	assert.Contains(t, logText.String(), fmt.Sprintf(`"reload: done" changelog="%s" needs_restart="[limits]"`, second))
}

// The signal may arrive while the file is still being written.
func TestRun_ReloadRetriesIncompleteFile(t *testing.T) {
	first, firstReceived := silentServer(t)
	second, secondReceived := silentServer(t)
	config := newConfig(t, freeAddress(t), first, unreachableAddress)
	reload, stop, done := startController(t, config)
	<-firstReceived
	path := os.Getenv("RELAY_CONFIG")
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	changed := strings.Replace(string(text), first, second, 1)
	require.NoError(t, os.WriteFile(path, []byte(changed[:len(changed)/2]), 0o600))
	reload <- syscall.SIGHUP
	require.NoError(t, os.WriteFile(path, []byte(changed), 0o600))
	assert.Contains(t, <-secondReceived, "since=1")
	stop()
	assert.NoError(t, <-done)
}

// A client that sends without a pause across a shutdown gets an answer to each request, or its connection ends cleanly
// before the answer. No answer is cut off.
func TestRun_ShutdownLosesNoRequest(t *testing.T) {
	config := newConfig(t, freeAddress(t), freeAddress(t), unreachableAddress)
	_, stop, done := startController(t, config)
	conn := dialEventually(t, config.Listen)
	defer conn.Close()
	idleConn := dialEventually(t, config.Listen)
	defer idleConn.Close()
	sendMessage(idleConn, probe)
	readAnswer(t, bufio.NewReader(idleConn))
	time.AfterFunc(20*time.Millisecond, stop)
	r := bufio.NewReader(conn)
	answered := 0
	for id := 1; ; id++ {
		sendMessage(conn, lookRequest(id, fmt.Sprintf("c%d", id), 300))
		head, err := r.ReadString('\n')
		if err != nil {
			assert.ErrorIs(t, err, io.EOF, "the connection is not reset")
			break
		}
		assert.Contains(t, readBody(t, r, head), `-32008`)
		answered++
	}
	assert.Positive(t, answered)
	_, err := idleConn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.NoError(t, <-done)
}

func TestRun_IdleShutdownEndsOnceBalancerHasLeft(t *testing.T) {
	config := newConfig(t, freeAddress(t), freeAddress(t), unreachableAddress)
	log := testlog.Discard()
	ctx, stop := context.WithCancel(t.Context())
	stop()
	began := time.Now()
	assert.NoError(t, Run(ctx, config, NoExtensions{}, nil, log))
	assert.InDelta(t, deregistrationTime.Seconds()+1, time.Since(began).Seconds(), 1)
}

// A configuration that can't be used is reported with the name of the field, by ReadConfig or by Run.
func TestReadConfig_ReportsInvalidField(t *testing.T) {
	config := newConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	text, err := os.ReadFile(os.Getenv("RELAY_CONFIG"))
	require.NoError(t, err)
	for replacement, want := range map[string]string{
		`"listen"/"other"`:              "listen is missing",
		`"changelog"/"other"`:           "changelog is",
		`"known"/"other"`:               "known is missing",
		`"settings"/"other"`:            "settings is missing",
		`8c1f/xyz`:                      "seed is not",
		`"memory_mb":192/"memory_mb":0`: "limits",
		`"Classes"/"Others"`:            "no request class",
		`{"name"/["name"`:               "configuration",
		`"Aim": 1000000/"Aim": [[]]`:    "settings: Classes.Aim",
	} {
		from, to, _ := strings.Cut(replacement, "/")
		path := filepath.Join(t.TempDir(), "bad.json")
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(text), from, to, 1)), 0o600))
		t.Setenv("RELAY_CONFIG", path)
		_, err := ReadConfig()
		assert.ErrorContains(t, err, want, replacement)
	}
	t.Setenv("RELAY_CONFIG", "/nowhere")
	_, err = ReadConfig()
	assert.ErrorContains(t, err, "/nowhere")
	run := func() error { return Run(t.Context(), config, NoExtensions{}, nil, logrus.New()) }
	config.Listen = "192.0.2.1:1"
	assert.Error(t, run(), "an address of another machine can't be bound")
	config.Listen, config.PeerListen = freeAddress(t), "192.0.2.1:1"
	assert.ErrorContains(t, run(), "peers")
	config.PeerListen, config.Listen = "", freeAddress(t)
	config.InitialList = []byte(`{"seq":0,"results":[{"seq":1}]}`)
	assert.ErrorContains(t, run(), "known")
}

// Logging never blocks on the reader of the log.
func TestNewLog_DropsLinesInsteadOfWaiting(t *testing.T) {
	r, w := io.Pipe()
	log, flush := NewLog(w)
	for range 3 * logQueueCapacity {
		log.Info("x")
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	flush()
}

// A client that closes its writing side may still read. Each of its requests is answered before the connection ends.
func TestRun_AnswersHalfClosedClient(t *testing.T) {
	executor, received := silentServer(t)
	for name, address := range map[string]string{
		"the first attempt runs": executor,
		"no attempt could start": unreachableAddress,
	} {
		config := newConfig(t, freeAddress(t), freeAddress(t), address)
		_, stop, done := startController(t, config)
		conn := dialEventually(t, config.Listen).(*net.TCPConn)
		for id := range 3 {
			sendMessage(conn, lookRequest(id+1, fmt.Sprintf("h%d", id), 4000))
		}
		if address == executor {
			<-received
		}
		require.NoError(t, conn.CloseWrite())
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		r, answers := bufio.NewReader(conn), 0
		for answers < 3 {
			head, err := r.ReadString('\n')
			if !assert.NoError(t, err, "%s: %d of 3 requests were answered", name, answers) {
				break
			}
			assert.Contains(t, readBody(t, r, head), `-32008`, name)
			answers++
		}
		stop()
		assert.NoError(t, <-done)
		conn.Close()
	}
}

// A lack of descriptors or a fault of the disk may be gone at the next read; a missing file fails at once.
func TestReadWithRetries_RetriesTransientErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EINTR, syscall.EIO, syscall.ENOMEM} {
		reads := 0
		text, err := readWithRetries("x", func(path string) ([]byte, error) {
			if reads++; reads < 3 {
				return nil, &os.PathError{Op: "open", Path: path, Err: errno}
			}
			return []byte("good"), nil
		})
		assert.NoError(t, err, errno.Error())
		assert.Equal(t, "good", string(text))
	}
	began := time.Now()
	_, err := readWithRetries("/nowhere", os.ReadFile)
	assert.ErrorIs(t, err, os.ErrNotExist)
	assert.Less(t, time.Since(began), time.Second)
}

// All controllers together must not overload a warming-up executor, so the peers in the configuration count where the
// settings name fewer controllers.
func TestReadConfig_CountsListedControllers(t *testing.T) {
	config := newConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	assert.Equal(t, 1, config.settings.Scheduler.Controllers)
	text, err := os.ReadFile(os.Getenv("RELAY_CONFIG"))
	require.NoError(t, err)
	withPeers := strings.Replace(string(text), `"name":"n0"`,
		`"name":"n0","peers":["127.0.0.1:5","127.0.0.1:6","127.0.0.1:7"]`, 1)
	require.NoError(t, os.WriteFile(os.Getenv("RELAY_CONFIG"), []byte(withPeers), 0o600))
	config, err = ReadConfig()
	require.NoError(t, err)
	assert.Equal(t, 3, config.settings.Scheduler.Controllers)
}

// serveFirstPage answers attempts on a connection with the first of two pages and never sends the second. It signals
// each request for that to pageRequested.
func serveFirstPage(conn net.Conn, pageRequested chan<- struct{}) {
	for r := bufio.NewReader(conn); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		switch strings.TrimSpace(line) {
		case "fetch":
			fmt.Fprint(conn, "*4\r\n$2\r\np1\r\n$4\r\ndata\r\n$9\r\nbatches=2\r\n$6\r\na\tb\tc\n\r\n")
		case "more":
			pageRequested <- struct{}{}
		}
	}
}

// A request whose answer misses a page does not hold up a shutdown: it gets its final answer before the end.
func TestRun_ShutdownAbandonsPendingPage(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	pageRequested := make(chan struct{}, 9)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveFirstPage(conn, pageRequested)
		}
	}()
	config := newConfig(t, freeAddress(t), freeAddress(t), listener.Addr().String())
	_, stop, done := startController(t, config)
	conn := dialEventually(t, config.Listen)
	sendMessage(conn, lookRequest(1, "p1", 20000))
	<-pageRequested
	began := time.Now()
	stop()
	assert.Contains(t, readAnswer(t, bufio.NewReader(conn)), `"error"`)
	assert.Less(t, time.Since(began), deregistrationTime+maxDeadlineWait)
	assert.NoError(t, <-done)
}
