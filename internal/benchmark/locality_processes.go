package benchmark

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"liftshift/internal/chaostest"
)

const (
	recoveryStages = 4 * 700 * time.Millisecond // of the real processes' return, and what it waits before
	recoveryWait   = 700 * time.Millisecond
	zoneRounds     = 3 // rounds with real processes
)

// Locality measures what zones that fail over in common do to searches: in simulated time with the decision module, and with nine real
// processes. ZONES_MANY=0 leaves out the play with 300 controllers, ZONES_REAL=0 the real processes.
func Locality(dir, programs string) ([]Figure, error) {
	var figures []Figure
	add := func(name string, value float64, unit, op string, want float64) {
		figures = append(figures, Figure{"zones." + name, value, unit, op, want})
		fmt.Println("#", figures[len(figures)-1])
	}
	add("cost_of_a_choice", reachCost(), "x without zones", "<=", 1.5)
	if envNumber("ZONES_REAL", zoneRounds) > 0 {
		if err := measureZoneLoss(dir, filepath.Join(programs, "liftshift"), add); err != nil {
			return figures, err
		}
	}
	for _, load := range []float64{0.5, 0.65, 0.8} {
		simulatePolicies(load, add)
	}
	if envNumber("ZONES_MANY", 1) > 0 {
		simulateSizes(add)
	}
	return figures, nil
}

// measureZoneLoss has a zone of three out of reach, under load, with real processes.
func measureZoneLoss(dir, program string, add func(name string, value float64, unit, op string, want float64)) error {
	var near, agreed, back, handled, own []float64
	for r := range zoneRounds {
		p := chaostest.Config{Program: program, Directory: filepath.Join(dir, fmt.Sprint("zones", r)), Controllers: 9, Executors: 12, Zones: 3, Founders: 3, Store: true,
			ClusterSettings: fastFleet, LocalitySettings: "stage = \"700ms\"\n return_wait = \"700ms\"", WorkMS: 20, Cores: 4, MaxInFlight: 64, Seed: uint64(90 + r)}
		f, err := startCluster(p)
		if err != nil {
			return err
		}
		err = func() error {
			defer f.Close()
			for z := range 3 {
				if _, err := f.WaitForZoneState(20*time.Second, f.ZoneOf(z), "whole"); err != nil {
					return err
				}
			}
			load := f.StartTraffic("t", 2, 20*time.Millisecond)
			defer load.Stop()
			time.Sleep(time.Second)
			began := time.Now()
			time.Sleep(4 * time.Second)
			cut := time.Now()
			in, out := f.CountRunsByLocality("t", began, cut)
			f.SetZoneUnreachable("z1", true)
			took, err := f.WaitForZoneState(15*time.Second, "z1", "lost")
			if err != nil {
				return err
			}
			time.Sleep(4 * time.Second)
			f.SetZoneUnreachable("z1", false)
			again := time.Now()
			if _, err := f.WaitForZoneState(30*time.Second, "z1", "whole"); err != nil {
				return err
			}
			whole := time.Since(again)
			ok, all := 0.0, 0.0
			var before, during []float64
			for _, a := range load.Between(began, again) {
				switch home := f.ZoneOf(a.Controller) == "z1"; {
				case home && a.At.After(cut):
					if all++; a.Result == "handled" {
						ok++
					}
				case !home && a.At.Before(cut):
					before = append(before, a.Latency.Seconds())
				case !home:
					during = append(during, a.Latency.Seconds())
				}
			}
			near, agreed, back = append(near, 100*float64(in)/float64(in+out)), append(agreed, took.Seconds()*1000), append(back, whole.Seconds()/(recoveryStages+recoveryWait).Seconds())
			handled, own = append(handled, 100*ok/all), append(own, quantile(during, 0.99)/quantile(before, 0.99))
			return nil
		}()
		if err != nil {
			return err
		}
	}
	add("real_near", slices.Min(near), "% while whole, the least of 3 rounds", ">=", 99)
	add("real_lost_in_all_plans", median(agreed), "ms", ">=", 0)
	add("real_handled_of_its_clients", slices.Min(handled), "% from the loss to the return, the least", ">=", 95)
	add("real_own_p99", median(own), "x before", "<=", 1.2)
	add("real_whole_again", median(back), "x the stages' sum", "<=", 2)
	return nil
}
