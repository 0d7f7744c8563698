package benchmark

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"liftshift/internal/testservers"
)

// controller is a controller process that is measured.
type controller struct {
	cmd    *exec.Cmd
	listen string
	log    bytes.Buffer
}

// startController starts a controller with executors. The path of the operators' file may be empty, for none.
func startController(dir, program, operatorFile string, executors []*testservers.Executor) (*controller, error) {
	discovery, _, err := testservers.StartEmptyDiscovery() // ends with this program
	if err != nil {
		return nil, err
	}
	c := &controller{}
	if c.listen, err = testservers.FreeAddress(); err != nil {
		return nil, err
	}
	nodeFile := filepath.Join(dir, "node-"+strconv.Itoa(len(operatorFile))+".json")
	nodeConfig := testservers.NodeConfig(c.listen, discovery, dedupWindow, executors...)
	if err := os.WriteFile(nodeFile, nodeConfig, 0o600); err != nil {
		return nil, err
	}
	c.cmd = exec.Command(program)
	c.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+nodeFile, "LIFTSHIFT_FILE="+operatorFile)
	c.cmd.Stderr = &c.log
	return c, c.cmd.Start()
}

func (c *controller) stop() error {
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
	return c.cmd.Wait()
}

// latencyRecorder is a histogram of latencies, in microseconds, to which several clients add.
type latencyRecorder struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// recordSince adds the time since a request was sent.
func (r *latencyRecorder) recordSince(sentAt time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.histogram.RecordValue(time.Since(sentAt).Microseconds())
}

// runClients has clients send requests of a class for some time, and returns the latencies in microseconds. The tag
// makes the IDs of the requests unique.
func (c *controller) runClients(
	clients int, duration time.Duration, class, tag string,
) (*hdrhistogram.Histogram, error) {
	recorder := &latencyRecorder{histogram: hdrhistogram.New(1, 10_000_000, 3)}
	var all sync.WaitGroup
	var mu sync.Mutex
	var failed error
	start := time.Now()
	for clientNumber := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			err := c.runClient(clientNumber, start.Add(duration), class, tag, recorder)
			if err != nil {
				mu.Lock()
				failed = err
				mu.Unlock()
			}
		}()
	}
	all.Wait()
	return recorder.histogram, failed
}

// runClient sends requests one after the other until a time.
func (c *controller) runClient(clientNumber int, until time.Time, class, tag string, recorder *latencyRecorder) error {
	client, err := testservers.Dial(c.listen, 5*time.Second)
	if err != nil {
		return err
	}
	defer client.Close()
	for n := 0; time.Now().Before(until); n++ {
		key := ""
		if class == "mark" {
			key = fmt.Sprintf("%s-%d-%d", tag, clientNumber, n)
		}
		sentAt := time.Now()
		id := fmt.Sprintf("%s-%s-%d-%d", class, tag, clientNumber, n)
		reply, err := client.Submit(class, id, key, 4*time.Second)
		if err != nil {
			return fmt.Errorf("request %s: %w", id, err)
		}
		if reply.Code != 0 {
			return fmt.Errorf("request %s: error %d: %s", id, reply.Code, reply.Message)
		}
		if err := recorder.recordSince(sentAt); err != nil {
			return err
		}
	}
	return nil
}

// heldFieldPattern matches the mean hold time in the counters of the ledger.
var heldFieldPattern = regexp.MustCompile(`held_ms=([0-9.e+-]+)`)

// latencyComparison holds latencies in microseconds, each with the store on and off.
type latencyComparison struct {
	lookupP99, keyedMedian, keyedP99 []float64
}

// compareLatencies measures lookups and keyed requests with the store on and off.
func compareLatencies(on, off *controller) (result latencyComparison, failed error) {
	n := 0
	latency := func(c *controller, class string, percentile float64) func() float64 {
		return func() float64 {
			n++
			histogram, err := c.runClients(8, 1500*time.Millisecond, class, fmt.Sprint(n))
			if err != nil {
				failed = err
				return 1
			}
			return float64(histogram.ValueAtQuantile(percentile))
		}
	}
	latency(on, "look", 99)() // warm-up: connections are established
	latency(off, "look", 99)()
	result.lookupP99 = compareMedians(latency(on, "look", 99), latency(off, "look", 99))
	result.keyedMedian = compareMedians(latency(on, "mark", 50), latency(off, "mark", 50))
	result.keyedP99 = compareMedians(latency(on, "mark", 99), latency(off, "mark", 99))
	return result, failed
}

// startExecutors starts executors for the measurement of the store; stop ends them, also after an error.
func startExecutors() (executors []*testservers.Executor, stop func(), err error) {
	stop = func() {
		for _, e := range executors {
			e.Stop()
		}
	}
	for k := range 3 {
		e := &testservers.Executor{
			Name:        fmt.Sprint("s-", k),
			Zone:        "here",
			DedupWindow: dedupWindow,
			Work:        2 * time.Millisecond,
		}
		if err := e.Start(); err != nil {
			return executors, stop, err
		}
		executors = append(executors, e)
	}
	return executors, stop, nil
}

// measureLookupsAndHolds measures with controller processes how long a keyed attempt is held until its record is
// written, and how much the store delays lookups.
func measureLookupsAndHolds(dir, programs string) ([]Figure, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	executors, stopExecutors, err := startExecutors()
	defer stopExecutors()
	if err != nil {
		return nil, err
	}
	operatorFile := filepath.Join(dir, "store.hcl")
	storeBlock := fmt.Appendf(nil, "store {\n  directory = %q\n}\n", filepath.Join(dir, "store"))
	if err := os.WriteFile(operatorFile, storeBlock, 0o600); err != nil {
		return nil, err
	}
	program := filepath.Join(programs, "liftshift")
	on, err := startController(dir, program, operatorFile, executors)
	if err != nil {
		return nil, err
	}
	off, err := startController(dir, program, "", executors)
	if err != nil {
		return nil, err
	}
	latencies, failed := compareLatencies(on, off)
	if err := on.stop(); err != nil {
		return nil, fmt.Errorf("controller with the store: %w: %s", err, on.log.String())
	}
	if err := off.stop(); err != nil {
		return nil, fmt.Errorf("controller without the store: %w: %s", err, off.log.String())
	}
	if failed != nil {
		return nil, failed
	}
	heldMS := 0.0
	if matches := heldFieldPattern.FindAllStringSubmatch(on.log.String(), -1); len(matches) > 0 {
		heldMS, _ = strconv.ParseFloat(matches[len(matches)-1][1], 64)
	}
	lookupP99, keyedMedian, keyedP99 := latencies.lookupP99, latencies.keyedMedian, latencies.keyedP99
	return []Figure{
		{"store.lookup_p99_on_against_off", lookupP99[0] / lookupP99[1], "x", "<=", 1.05},
		{"store.labelled_held_mean", heldMS, "ms", "<=", 50},
		{"store.labelled_held_median", (keyedMedian[0] - keyedMedian[1]) / 1000, "ms", "<=", 50},
		{"store.labelled_held_p99", (keyedP99[0] - keyedP99[1]) / 1000, "ms", "<=", 250},
	}, nil
}
