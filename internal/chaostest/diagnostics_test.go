package chaostest

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"liftshift/internal/adminapi"
)

// diagnosticWords select the log lines that tell why a controller rejected or failed requests: its disk, its lease, a
// stall, a loss of a member, and the counters of attempts that wait for a record. Each is in the logs of both versions.
var diagnosticWords = []string{"slow", "durable", "lease", "stall", "written again", "declared lost", "held_now"}

// logDiagnostics prints the program, the handoff counters and the selected log lines of each controller.
func logDiagnostics(t *testing.T, cluster *Cluster) {
	t.Helper()
	for k, c := range cluster.Controllers {
		program, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", cluster.PID(k)))
		if err != nil {
			program = "not running"
		}
		t.Logf("---- %s (%s) handoff counters: %s\n%s", c.Name, program, describeHandoffCounters(cluster, k),
			strings.Join(diagnosticLines(c.Log()), "\n"))
	}
}

// diagnosticLines returns the lines of a log that have one of the diagnosticWords.
func diagnosticLines(log string) (lines []string) {
	for line := range strings.Lines(log) {
		for _, word := range diagnosticWords {
			if strings.Contains(line, word) {
				lines = append(lines, strings.TrimSpace(line))
				break
			}
		}
	}
	return lines
}

// describeHandoffCounters returns the handoff counters of a controller that are not zero, by their names on the wire.
func describeHandoffCounters(cluster *Cluster, controller int) string {
	reply, err := cluster.Call(controller, adminapi.OperationHandoff, nil)
	if err != nil {
		return err.Error()
	}
	counters := map[string]float64{}
	for name, value := range reply {
		if number, ok := value.(float64); ok && number != 0 {
			counters[name] = number
		}
	}
	return fmt.Sprint(counters)
}

// adoptionTrace holds what is known of keyed requests around the kill of their owner. It is printed if the test fails.
type adoptionTrace struct {
	cluster        *Cluster
	keys           []string
	first, retries []keyedRequest // the requests to the controller that is killed, and those to its successor
	killedAt       time.Time      // zero: it has not been killed
	// copiesAtKill maps a key to the copies that the successors had of it just after the kill.
	copiesAtKill map[string]string
	copiesTook   time.Duration // until the last copy was read
	copiesRead   chan struct{} // closed when all copies have been read
}

// traceAdoption returns an empty trace, which is printed at the end of the test if it has failed.
func traceAdoption(t *testing.T, cluster *Cluster, keys []string) *adoptionTrace {
	t.Helper()
	trace := &adoptionTrace{cluster: cluster, keys: keys, copiesAtKill: map[string]string{}}
	t.Cleanup(func() {
		if t.Failed() {
			trace.log(t)
		}
	})
	return trace
}

// noteKill notes that the owner has just been killed, and has the successors' copies read meanwhile.
func (a *adoptionTrace) noteKill() {
	a.killedAt, a.copiesRead = time.Now(), make(chan struct{})
	go func() {
		defer close(a.copiesRead)
		for _, key := range a.keys {
			a.copiesAtKill[key] = a.cluster.describeCopies(key)
		}
		a.copiesTook = time.Since(a.killedAt)
	}()
}

// log prints the trace, one line for each key.
func (a *adoptionTrace) log(t *testing.T) {
	t.Helper()
	if a.killedAt.IsZero() {
		t.Logf("no controller was killed; %d runs", len(a.cluster.RunLog.Runs()))
		return
	}
	<-a.copiesRead
	t.Logf("killed at %s; the copies were read within %v", a.killedAt.Format("05.000"),
		a.copiesTook.Round(time.Millisecond))
	for _, key := range a.keys {
		t.Logf("%s: runs from the kill on %v; first %s; retry %s; at the kill: %snow: %s", key, a.runTimes(key),
			describeRequest(key, a.first), describeRequest(key, a.retries), a.copiesAtKill[key],
			a.cluster.describeCopies(key))
	}
}

// runTimes returns the times of the runs of a key, from the kill on. Those before the kill are negative.
func (a *adoptionTrace) runTimes(key string) (times []time.Duration) {
	for _, run := range a.cluster.RunLog.Runs() {
		if run.IdempotencyKey == key {
			times = append(times, run.At.Sub(a.killedAt).Round(time.Millisecond))
		}
	}
	return times
}

// describeRequest describes the request of a key and its reply.
func describeRequest(key string, requests []keyedRequest) string {
	index := slices.IndexFunc(requests, func(r keyedRequest) bool { return r.key == key })
	if index < 0 {
		return "none"
	}
	return fmt.Sprintf("%s (%v)", requests[index], requests[index].err)
}
