// Command measure runs one measurement and prints its figures. It exits with 1 if a figure misses its target, and with
// 2 if its arguments are wrong.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"time"

	"liftshift/internal/benchmark"
)

const usage = `usage: measure NAME DIRECTORY PROGRAMS
NAME is store, budgets, fleet, council, takeover, stories, kills, holds, orphans, control or zones.
DIRECTORY is for temporary files, on the disk that is to be measured.
PROGRAMS is the directory with the built programs, such as liftshift.`

// measurement returns its figures, given a directory for temporary files and the directory of the programs.
type measurement func(dir, programs string) ([]benchmark.Figure, error)

var measurements = map[string]measurement{
	"store":    benchmark.Store,
	"budgets":  benchmark.Quotas,
	"fleet":    benchmark.Cluster,
	"council":  benchmark.Consensus,
	"takeover": benchmark.Takeovers,
	"stories":  benchmark.HandoffHistories,
	"kills":    benchmark.ClientRetries,
	"holds":    benchmark.AttemptHolds,
	"orphans":  benchmark.OrphanedRequests,
	"control":  benchmark.LeaseSafety,
	"zones":    benchmark.Locality,
}

func main() {
	if len(os.Args) != 4 || measurements[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2], os.Args[3]); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// run runs a measurement in a temporary directory, which it removes.
func run(name, scratch, programs string) error {
	dir, err := os.MkdirTemp(scratch, "measure-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	commit, _ := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	fmt.Printf("# %s, %s, %d cores, %s, commit %s\n", name, time.Now().UTC().Format(time.DateOnly), runtime.NumCPU(),
		runtime.Version(), strings.TrimSpace(string(commit)))
	figures, err := measurements[name](dir, programs)
	if !benchmark.Print(os.Stdout, figures) && err == nil {
		err = errors.New("at least one figure misses its target")
	}
	return err
}
