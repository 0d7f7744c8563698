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

	"liftshift/internal/testservers"
)

const testSettings = `{"Bounds": {"Cancelling": true, "ConnectTimeout": 250000, "IdleClose": 15000000, "MaxAttempts": 6,
 "MaxRetryAfter": 500000, "RetryAfter": true, "Probing": true, "StreamsPerConn": 100},
 "Classes": [{"Name": "look", "Idempotency": "safe", "Aim": 1000000, "HardLimit": 5000000, "Worth": 1}],
 "FamilyInfo": {"KindCores": [8], "RamOfKindMb": [16384], "LargestShare": 0.4, "TellsEvery": 500000},
 "Kinds": ["big"], "Siblings": 1}`

// freeAddress returns an address that nobody listens on.
func freeAddress(t *testing.T) string {
	at, err := testservers.FreeAddress()
	require.NoError(t, err)
	return at
}

func newConfig(t *testing.T, listen, changelog, executor string) *Config {
	path := filepath.Join(t.TempDir(), "node.json")
	require.NoError(t, os.WriteFile(path, fmt.Appendf(nil, `{"name":"n0","listen":"%s","seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"changelog":"%s","settings":%s,"known":{"seq":1,"results":[
		{"seq":1,"fleet":{"snapshot":true,"endpoints":[{"name":"s-1","address":"%s","type":"big","status":"Ready"}]}}]}}`,
		listen, changelog, testSettings, executor), 0o600))
	t.Setenv("RELAY_CONFIG", path)
	n, err := ReadConfig()
	require.NoError(t, err)
	return n
}

// silentExecutor takes attempts and never answers; it reports what it read.
func silentExecutor(t *testing.T) (string, chan string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	heard := make(chan string, 10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				b := make([]byte, 4096)
				n, _ := c.Read(b)
				heard <- string(b[:n])
				_, _ = io.Copy(io.Discard, c)
				c.Close()
			}()
		}
	}()
	return l.Addr().String(), heard
}

// startController runs a controller until stop; done gets its error.
func startController(t *testing.T, n *Config) (reload chan os.Signal, stop func(), done chan error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	reload, done = make(chan os.Signal), make(chan error, 1)
	ctx, stop := context.WithCancel(t.Context())
	go func() { done <- Run(ctx, n, NoExtensions{}, reload, log) }()
	return reload, stop, done
}

func dialEventually(t *testing.T, at string) (c net.Conn) {
	require.Eventually(t, func() (ok bool) {
		var err error
		c, err = net.Dial("tcp", at)
		return err == nil
	}, 5*time.Second, 5*time.Millisecond)
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

func sendMessage(c net.Conn, text string) {
	fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", len(text), text)
}

func readAnswer(t *testing.T, r *bufio.Reader) string {
	head, err := r.ReadString('\n')
	require.NoError(t, err)
	n := 0
	_, _ = fmt.Sscanf(head, "Content-Length: %d", &n)
	b := make([]byte, n+2)
	_, err = io.ReadFull(r, b)
	require.NoError(t, err)
	return string(b[2:])
}

// A shutdown goes on accepting until the balancer has stopped sending, answers all it has taken, long requests too, and leaks
// nothing.
func TestRun_ShutdownAnswersAllAndLeaksNothing(t *testing.T) {
	executor, heard := silentExecutor(t)
	n := newConfig(t, freeAddress(t), freeAddress(t), executor)
	before := runtime.NumGoroutine()
	_, stop, done := startController(t, n)
	c := dialEventually(t, n.Listen)
	r := bufio.NewReader(c)
	search := `{"jsonrpc":"2.0","id":%d,"method":"look","params":{"req":"a%d","timeout":20000,"ms":50,"ram":9,"data":"eA=="}}`
	sendMessage(c, `{"jsonrpc":"2.0","id":1,"method":"probe"}`)
	assert.Contains(t, readAnswer(t, r), `"fit":true`)
	sendMessage(c, fmt.Sprintf(search, 2, 2))
	assert.Contains(t, <-heard, "profile=look,max=4", "no longer than the deadline of its class")
	began := time.Now()
	stop()
	time.Sleep(300 * time.Millisecond)
	late := dialEventually(t, n.Listen)
	sendMessage(late, `{"jsonrpc":"2.0","id":1,"method":"probe"}`)
	lr := bufio.NewReader(late)
	assert.Contains(t, readAnswer(t, lr), `"fit":false`)
	sendMessage(late, fmt.Sprintf(search, 2, 3))
	assert.Contains(t, readAnswer(t, r), `-32008`, "the long request is rejected")
	assert.Contains(t, readAnswer(t, lr), `-32008`, "so is the one that came late")
	assert.NoError(t, <-done)
	assert.Less(t, time.Since(began), balancerLeaveTime+maxDeadlineWait+2*time.Second) // allowance for a slow machine
	assert.Greater(t, time.Since(began), balancerLeaveTime)
	c.Close()
	late.Close()
	assert.Eventually(t, func() bool { return runtime.NumGoroutine() <= before+1 }, 5*time.Second, 10*time.Millisecond)
}

// A reload replaces the configuration whole or not at all.
func TestRun_ReloadReplacesDiscoveryAddressOrNothing(t *testing.T) {
	first, firstHeard := silentExecutor(t) // any listener that tells what it read
	second, secondHeard := silentExecutor(t)
	n := newConfig(t, freeAddress(t), first, "127.0.0.1:9")
	var text bytes.Buffer
	log := logrus.New()
	log.SetOutput(&text)
	reload := make(chan os.Signal)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Run(ctx, n, NoExtensions{}, reload, log) }()
	assert.Contains(t, <-firstHeard, "since=1")
	path := os.Getenv("RELAY_CONFIG")
	good, err := os.ReadFile(path)
	require.NoError(t, err)
	changed := strings.NewReplacer(first, second, `"cores":1`, `"cores":2`).Replace(string(good))
	require.NoError(t, os.WriteFile(path, []byte(changed[:len(changed)/2]), 0o600))
	reload <- syscall.SIGHUP
	reload <- syscall.SIGHUP // taken once the one before has been handled
	require.NoError(t, os.WriteFile(path, []byte(changed), 0o600))
	reload <- syscall.SIGHUP
	began := time.Now()
	assert.Contains(t, <-secondHeard, "since=1")
	assert.Less(t, time.Since(began), time.Second)
	stop()
	assert.NoError(t, <-done)
	assert.Contains(t, text.String(), "reload: not read")
	assert.Contains(t, text.String(), fmt.Sprintf(`"reload: done" changelog="%s" needs_restart="[limits]"`, second))
}

// The signal may come while the file is still being written: it is read again.
func TestRun_ReloadRetriesIncompleteFile(t *testing.T) {
	first, firstHeard := silentExecutor(t)
	second, secondHeard := silentExecutor(t)
	n := newConfig(t, freeAddress(t), first, "127.0.0.1:9")
	reload, stop, done := startController(t, n)
	<-firstHeard
	path := os.Getenv("RELAY_CONFIG")
	good, err := os.ReadFile(path)
	require.NoError(t, err)
	changed := strings.Replace(string(good), first, second, 1)
	require.NoError(t, os.WriteFile(path, []byte(changed[:len(changed)/2]), 0o600))
	reload <- syscall.SIGHUP
	require.NoError(t, os.WriteFile(path, []byte(changed), 0o600))
	assert.Contains(t, <-secondHeard, "since=1")
	stop()
	assert.NoError(t, <-done)
}

// A request that is on its way as the controller stops is answered, or its connection ends before its answer; none is taken and
// lost. One client sends without a pause across the whole shutdown.
func TestRun_ShutdownLosesNoRequest(t *testing.T) {
	n := newConfig(t, freeAddress(t), freeAddress(t), "127.0.0.1:9")
	_, stop, done := startController(t, n)
	c := dialEventually(t, n.Listen)
	defer c.Close()
	idle := dialEventually(t, n.Listen) // idle until it is closed
	defer idle.Close()
	sendMessage(idle, `{"jsonrpc":"2.0","id":1,"method":"probe"}`)
	readAnswer(t, bufio.NewReader(idle))
	time.AfterFunc(20*time.Millisecond, stop)
	r := bufio.NewReader(c)
	answered := 0
	for id := 1; ; id++ {
		sendMessage(c, fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"look","params":{"req":"c%d","timeout":300,"ms":50,"ram":9,"data":"eA=="}}`, id, id))
		head, err := r.ReadString('\n')
		if err != nil {
			assert.ErrorIs(t, err, io.EOF, "no reset")
			break
		}
		size := 0
		_, _ = fmt.Sscanf(head, "Content-Length: %d", &size)
		body := make([]byte, size+2)
		_, err = io.ReadFull(r, body)
		require.NoError(t, err, "an answer that was begun is complete")
		assert.Contains(t, string(body), `-32008`)
		answered++
	}
	assert.Positive(t, answered)
	_, err := idle.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.NoError(t, <-done)
}

func TestRun_IdleShutdownEndsOnceBalancerHasLeft(t *testing.T) {
	n := newConfig(t, freeAddress(t), freeAddress(t), "127.0.0.1:9")
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	began := time.Now()
	assert.NoError(t, Run(ctx, n, NoExtensions{}, nil, log))
	assert.InDelta(t, balancerLeaveTime.Seconds()+1, time.Since(began).Seconds(), 1)
}

func TestReadConfig_NamesWhatIsMissing(t *testing.T) {
	n := newConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	good, err := os.ReadFile(os.Getenv("RELAY_CONFIG"))
	require.NoError(t, err)
	for change, want := range map[string]string{`"listen"/"other"`: "listen is missing", `"changelog"/"other"`: "changelog is",
		`"known"/"other"`: "known is missing", `"settings"/"other"`: "settings is missing", `8c1f/xyz`: "seed is not",
		`"memory_mb":192/"memory_mb":0`: "limits", `"Classes"/"Others"`: "no request class", `{"name"/["name"`: "configuration",
		`"Aim": 1000000/"Aim": [[]]`: "settings: Classes.Aim"} {
		from, to, _ := strings.Cut(change, "/")
		path := filepath.Join(t.TempDir(), "bad.json")
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(good), from, to, 1)), 0o600))
		t.Setenv("RELAY_CONFIG", path)
		_, err := ReadConfig()
		assert.ErrorContains(t, err, want, change)
	}
	t.Setenv("RELAY_CONFIG", "/nowhere")
	_, err = ReadConfig()
	assert.ErrorContains(t, err, "/nowhere")
	n.Listen = "192.0.2.1:1"
	assert.Error(t, Run(t.Context(), n, NoExtensions{}, nil, logrus.New()), "an address that can't be bound")
	n.Listen, n.PeerListen = freeAddress(t), "192.0.2.1:1"
	assert.ErrorContains(t, Run(t.Context(), n, NoExtensions{}, nil, logrus.New()), "peers")
	n.PeerListen, n.Listen, n.Known = "", freeAddress(t), []byte(`{"seq":0,"results":[{"seq":1}]}`)
	assert.ErrorContains(t, Run(t.Context(), n, NoExtensions{}, nil, logrus.New()), "known")
}

// Logging never waits for the reader of the log.
func TestNewLog_DropsLinesInsteadOfWaiting(t *testing.T) {
	r, w := io.Pipe()
	log, flush := NewLog(w)
	for range 3 * logQueueCapacity {
		log.Info("x")
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	flush()
}

// For a client that closes its writing side only nothing more begins, as it may have gone. But it may still read, and its requests
// get a final answer before the connection ends: rejected where a retry is safe, else failed.
func TestRun_AnswersHalfClosedClient(t *testing.T) {
	executor, heard := silentExecutor(t)
	for name, at := range map[string]string{"its attempt runs": executor, "none could begin": "127.0.0.1:9"} {
		n := newConfig(t, freeAddress(t), freeAddress(t), at)
		_, stop, done := startController(t, n)
		c := dialEventually(t, n.Listen).(*net.TCPConn)
		for id := range 3 {
			sendMessage(c, fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"look","params":{"req":"h%d","timeout":4000,"ms":50,"ram":9,"data":"eA=="}}`, id+1, id))
		}
		if at == executor {
			<-heard
		}
		require.NoError(t, c.CloseWrite())
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		r, codes := bufio.NewReader(c), 0
		for codes < 3 {
			head, err := r.ReadString('\n')
			if !assert.NoError(t, err, "%s: %d answers", name, codes) {
				break
			}
			size := 0
			_, _ = fmt.Sscanf(head, "Content-Length: %d", &size)
			body := make([]byte, size+2)
			_, err = io.ReadFull(r, body)
			require.NoError(t, err)
			assert.Contains(t, string(body), `-32008`, name)
			codes++
		}
		stop()
		assert.NoError(t, <-done)
		c.Close()
	}
}

// A file that can't be opened for a moment, for lack of descriptors or a fault of the disk, is read again; one that does not exist
// fails at once.
func TestReadWithRetries_RetriesTransientErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EINTR, syscall.EIO, syscall.ENOMEM} {
		tries := 0
		text, err := readWithRetries("x", func(path string) ([]byte, error) {
			if tries++; tries < 3 {
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

// What a warming-up executor may get is shared among all controllers: those that the configuration lists count where the settings
// name fewer.
func TestReadConfig_CountsListedControllers(t *testing.T) {
	n := newConfig(t, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	assert.Equal(t, 1, n.settings.Scheduler.Controllers)
	text, err := os.ReadFile(os.Getenv("RELAY_CONFIG"))
	require.NoError(t, err)
	more := strings.Replace(string(text), `"name":"n0"`, `"name":"n0","peers":["127.0.0.1:5","127.0.0.1:6","127.0.0.1:7"]`, 1)
	require.NoError(t, os.WriteFile(os.Getenv("RELAY_CONFIG"), []byte(more), 0o600))
	n, err = ReadConfig()
	require.NoError(t, err)
	assert.Equal(t, 3, n.settings.Scheduler.Controllers)
}

// A page of an answer that never comes holds up no shutdown: the request has its final answer before the end.
func TestRun_ShutdownAbandonsPendingPage(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	asked := make(chan struct{}, 9)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				for r := bufio.NewReader(c); ; {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					switch strings.TrimSpace(line) {
					case "fetch":
						fmt.Fprint(c, "*4\r\n$2\r\np1\r\n$4\r\ndata\r\n$9\r\nbatches=2\r\n$6\r\na\tb\tc\n\r\n")
					case "more":
						asked <- struct{}{}
					}
				}
			}()
		}
	}()
	n := newConfig(t, freeAddress(t), freeAddress(t), l.Addr().String())
	_, stop, done := startController(t, n)
	c := dialEventually(t, n.Listen)
	sendMessage(c, `{"jsonrpc":"2.0","id":1,"method":"look","params":{"req":"p1","timeout":20000,"ms":50,"ram":9,"data":"eA=="}}`)
	<-asked
	began := time.Now()
	stop()
	assert.Contains(t, readAnswer(t, bufio.NewReader(c)), `"error"`)
	assert.Less(t, time.Since(began), balancerLeaveTime+maxDeadlineWait)
	assert.NoError(t, <-done)
}
