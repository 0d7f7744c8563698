package chaostest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// processSampleInterval is the time between two samples of a process that stops.
	processSampleInterval = 100 * time.Millisecond
	// dumpTimeout is how long a process that is about to be killed may take to print its goroutines.
	dumpTimeout = 300 * time.Millisecond
)

// processSamples collects what the kernel reports of a process: whether it ran, waited for a processor, for the disk or
// for memory.
type processSamples struct {
	pid     int
	samples []string
}

// collect takes samples until stop is closed.
func (p *processSamples) collect(stop <-chan struct{}) {
	for {
		p.samples = append(p.samples, p.sample())
		select {
		case <-stop:
			return
		case <-time.After(processSampleInterval):
		}
	}
}

// sampleProcess collects samples of a process until the returned function is called.
func (s *soak) sampleProcess(pid int) (stop func()) {
	s.process.pid = pid
	stopping, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		s.process.collect(stopping)
	}()
	return func() {
		close(stopping)
		<-stopped
	}
}

// sample describes the process now. In schedstat are the ns that it ran and that it waited for a processor.
func (p *processSamples) sample() string {
	directory := fmt.Sprint("/proc/", p.pid)
	var text strings.Builder
	fmt.Fprintf(&text, "%s schedstat %s, major faults %s, threads", time.Now().Format("05.000"),
		firstLine(filepath.Join(directory, "schedstat")), statField(filepath.Join(directory, "stat"), statMajorFaults))
	tasks, _ := os.ReadDir(filepath.Join(directory, "task"))
	for _, task := range tasks {
		taskDirectory := filepath.Join(directory, "task", task.Name())
		fmt.Fprintf(&text, " %s:%s", statField(filepath.Join(taskDirectory, "stat"), statState),
			firstLine(filepath.Join(taskDirectory, "wchan")))
	}
	for _, resource := range []string{"cpu", "io", "memory"} {
		fmt.Fprintf(&text, "; %s %s", resource, firstLine("/proc/pressure/"+resource))
	}
	return text.String()
}

// Fields of /proc/PID/stat after the name of the program, which may have spaces.
const (
	statState       = 0
	statMajorFaults = 9
)

func statField(path string, field int) string {
	line := firstLine(path)
	fields := strings.Fields(line[strings.LastIndex(line, ")")+1:])
	if field >= len(fields) {
		return "unknown"
	}
	return fields[field]
}

// firstLine returns the first line of a file, or the empty text if it can't be read.
func firstLine(path string) string {
	text, _ := os.ReadFile(path)
	line, _, _ := strings.Cut(string(text), "\n")
	return line
}

// overdueRequests returns how many requests have no reply although the time for one is over.
func (s *soak) overdueRequests() (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.sent {
		_, replied := s.rejected[id]
		if !replied && r.abandonedAt.IsZero() && time.Since(r.sentAt) > r.deadline+lateReplyLimit {
			count++
		}
	}
	return count
}

// killFirst kills the first controller. If it owes replies, it prints its goroutines to its log as it ends.
func (s *soak) killFirst(c *Controller, pid int) {
	if overdue := s.overdueRequests(); overdue > 0 {
		s.t.Logf("seed %d: %d requests are overdue at the kill", s.seed, overdue)
		_ = syscall.Kill(pid, syscall.SIGQUIT)
		select {
		case <-c.exited:
			return
		case <-time.After(dumpTimeout):
		}
	}
	_ = syscall.Kill(pid, syscall.SIGKILL)
	<-c.exited
}
