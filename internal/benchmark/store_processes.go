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

// controller is a controller process under measurement.
type controller struct {
	cmd    *exec.Cmd
	listen string
	log    bytes.Buffer
}

// launch starts a controller with executors; file is the path of the operators' file, or empty.
func launch(dir, program, file string, engines []*testservers.Executor) (*controller, error) {
	list, _, err := testservers.StartEmptyDiscovery() // ends with this program
	if err != nil {
		return nil, err
	}
	c := &controller{}
	if c.listen, err = testservers.FreeAddress(); err != nil {
		return nil, err
	}
	node := filepath.Join(dir, "node-"+strconv.Itoa(len(file))+".json")
	if err := os.WriteFile(node, testservers.NodeConfig(c.listen, list, 20*time.Second, engines...), 0o600); err != nil {
		return nil, err
	}
	c.cmd = exec.Command(program)
	c.cmd.Env, c.cmd.Stderr = append(os.Environ(), "RELAY_CONFIG="+node, "LIFTSHIFT_FILE="+file), &c.log
	return c, c.cmd.Start()
}

func (c *controller) stop() error {
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
	return c.cmd.Wait()
}

// load has clients send requests for a time; it returns how long answers took, in microseconds.
func (c *controller) load(clients int, span time.Duration, offering string, turn string) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, 10_000_000, 3)
	var all sync.WaitGroup
	var mu sync.Mutex
	var failed error
	began := time.Now()
	for w := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			err := func() error {
				k, err := testservers.Dial(c.listen, 5*time.Second)
				if err != nil {
					return err
				}
				defer k.Close()
				for n := 0; time.Since(began) < span; n++ {
					mark := ""
					if offering == "mark" {
						mark = fmt.Sprintf("%s-%d-%d", turn, w, n)
					}
					at := time.Now()
					a, err := k.Submit(offering, fmt.Sprintf("%s-%s-%d-%d", offering, turn, w, n), mark, 4*time.Second)
					if err != nil || a.Code != 0 {
						return fmt.Errorf("answer %d %s: %w", a.Code, a.Message, err)
					}
					mu.Lock()
					err = h.RecordValue(time.Since(at).Microseconds())
					mu.Unlock()
					if err != nil {
						return err
					}
				}
				return nil
			}()
			if err != nil {
				mu.Lock()
				failed = err
				mu.Unlock()
			}
		}()
	}
	all.Wait()
	return h, failed
}

var heldFieldPattern = regexp.MustCompile(`held_ms=([0-9.e+-]+)`)

// compareLatencies measures, with the store on and off, the 99th percentile of lookups, and the median and 99th percentile of keyed requests,
// in microseconds.
func compareLatencies(on, off *controller) (lookup, keyed, keyedTail []float64, failed error) {
	n := 0
	latency := func(c *controller, class string, q float64) func() float64 {
		return func() float64 {
			n++
			h, err := c.load(8, 1500*time.Millisecond, class, fmt.Sprint(n))
			if err != nil {
				failed = err
				return 1
			}
			return float64(h.ValueAtQuantile(q))
		}
	}
	latency(on, "look", 99)() // connections come up
	latency(off, "look", 99)()
	lookup = compareMedians(latency(on, "look", 99), latency(off, "look", 99))
	keyed = compareMedians(latency(on, "mark", 50), latency(off, "mark", 50))
	keyedTail = compareMedians(latency(on, "mark", 99), latency(off, "mark", 99))
	return lookup, keyed, keyedTail, failed
}

// measureLookupsAndHolds measures, over sockets, how long a keyed attempt is held for its record, and what a lookup pays for the store.
func measureLookupsAndHolds(dir, programs string) ([]Figure, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	var engines []*testservers.Executor
	for k := range 3 {
		e := &testservers.Executor{Name: fmt.Sprint("s-", k), Zone: "here", DedupWindow: 20 * time.Second, Work: 2 * time.Millisecond}
		if err := e.Start(); err != nil {
			return nil, err
		}
		defer e.Stop()
		engines = append(engines, e)
	}
	file := filepath.Join(dir, "store.hcl")
	if err := os.WriteFile(file, fmt.Appendf(nil, "store {\n  directory = %q\n}\n", filepath.Join(dir, "store")), 0o600); err != nil {
		return nil, err
	}
	program := filepath.Join(programs, "liftshift")
	on, err := launch(dir, program, file, engines)
	if err != nil {
		return nil, err
	}
	off, err := launch(dir, program, "", engines)
	if err != nil {
		return nil, err
	}
	lookup, keyed, keyedTail, failed := compareLatencies(on, off)
	if err := on.stop(); err != nil {
		return nil, fmt.Errorf("%w: %s", err, on.log.String())
	}
	if err := off.stop(); err != nil {
		return nil, err
	}
	if failed != nil {
		return nil, failed
	}
	held := 0.0
	if all := heldFieldPattern.FindAllStringSubmatch(on.log.String(), -1); len(all) > 0 {
		held, _ = strconv.ParseFloat(all[len(all)-1][1], 64)
	}
	return []Figure{{"store.lookup_p99_on_against_off", lookup[0] / lookup[1], "x", "<=", 1.05},
		{"store.labelled_held_mean", held, "ms", "<=", 50},
		{"store.labelled_held_median", (keyed[0] - keyed[1]) / 1000, "ms", "<=", 50},
		{"store.labelled_held_p99", (keyedTail[0] - keyedTail[1]) / 1000, "ms", "<=", 250}}, nil
}
