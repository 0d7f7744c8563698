// Command measure makes one measurement and prints its figures; exit code 1 if one falls short.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"time"

	"liftshift/internal/benchmark"
)

var measurements = map[string]func(dir, programs string) ([]benchmark.Figure, error){"store": benchmark.Store, "budgets": benchmark.Quotas, "fleet": benchmark.Cluster, "council": benchmark.Consensus, "takeover": benchmark.Takeovers, "stories": benchmark.HandoffHistories,
	"kills": benchmark.ClientRetries, "holds": benchmark.AttemptHolds, "orphans": benchmark.OrphanedRequests, "control": benchmark.LeaseControl, "zones": benchmark.Locality}

func main() {
	if len(os.Args) != 4 || measurements[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "measure: NAME FOLDER PROGRAMS, where NAME is store, budgets, fleet, council, takeover, stories, kills, holds, orphans, control or zones, FOLDER is scratch room on the disk that is measured,\n"+
			"and PROGRAMS is where liftshift is built")
		os.Exit(2)
	}
	dir, err := os.MkdirTemp(os.Args[2], "measure-")
	if err == nil {
		commit, _ := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
		fmt.Printf("# %s, %s, %d cores, %s, commit %s\n", os.Args[1], time.Now().UTC().Format(time.DateOnly), runtime.NumCPU(),
			runtime.Version(), strings.TrimSpace(string(commit)))
		var figures []benchmark.Figure
		figures, err = measurements[os.Args[1]](dir, os.Args[3])
		if !benchmark.Print(os.Stdout, figures) && err == nil {
			err = fmt.Errorf("a figure falls short")
		}
	}
	_ = os.RemoveAll(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}
