package benchmark

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"liftshift/internal/chaostest"
	"liftshift/internal/clustersim"
	"liftshift/scheduler"
)

const (
	zonesStages = 4 * 700 * time.Millisecond // of the real processes' return, and what it waits before
	zonesWait   = 700 * time.Millisecond
	zonesReal   = 3 // rounds with real processes
)

// Zones measures what zones that fail over in common do to searches: in simulated time with the decision module, and with nine real
// processes. ZONES_MANY=0 leaves out the play with 300 controllers, ZONES_REAL=0 the real processes.
func Zones(dir, programs string) ([]Figure, error) {
	var figures []Figure
	add := func(name string, value float64, unit, op string, want float64) {
		figures = append(figures, Figure{"zones." + name, value, unit, op, want})
		fmt.Println("#", figures[len(figures)-1])
	}
	add("cost_of_a_choice", reachCost(), "x without zones", "<=", 1.5)
	if number("ZONES_REAL", zonesReal) > 0 {
		if err := zonesRounds(dir, filepath.Join(programs, "liftshift"), add); err != nil {
			return figures, err
		}
	}
	policies := []clustersim.LocalityPolicy{clustersim.SharedPlan, clustersim.NoLocality, clustersim.LocalFirst, clustersim.RandomGroup, clustersim.Uncoordinated}
	for _, load := range []float64{0.5, 0.65, 0.8} {
		got := make([]clustersim.LocalityResult, len(policies))
		parallel(len(policies), func(k int) {
			got[k] = clustersim.RunLocality(clustersim.LocalityScenario{Policy: policies[k], Zones: 3, Controllers: 9, Executors: 24, Load: load, Cores: 8, CrossZoneRTTMS: 10,
				LostAtMS: 8000, BackAtMS: 20_000, EndMS: 40_000, Seed: 7})
		})
		ours, at := got[0], fmt.Sprintf("at_%.0f_", 100*load)
		for k, f := range got {
			fmt.Printf("# sim, load %.2f, %s: gain %.4f, near %.4f, own p99 %.2f x, swings %d, falls %d, back after %.0f ms\n", load, policies[k], f.ValueShare, f.LocalShare,
				f.OtherZonesP99Ratio, f.Oscillations, f.Collapses, f.RecoveryMS)
			if k > 0 {
				add("sim_gain_"+at+"against_"+[]string{"", "before", "nearest", "even", "alone"}[k], ours.ValueShare/f.ValueShare, "x", ">=", 1)
			}
		}
		add("sim_over_cap_"+at[:len(at)-1], float64(ours.CapViolations), "looks", "==", 0)
		add("sim_falls_"+at[:len(at)-1], float64(ours.Collapses), "", "==", 0)
		add("sim_near_"+at[:len(at)-1], 100*ours.LocalShare, "%", ">=", 99)
		add("sim_own_p99_"+at[:len(at)-1], ours.OtherZonesP99Ratio, "x before", "<=", 1.2)
		add("sim_swings_"+at[:len(at)-1], float64(ours.Oscillations), "", "<=", 2)
	}
	if number("ZONES_MANY", 1) > 0 {
		per := map[int]float64{}
		for _, n := range []int{30, 300} {
			f := clustersim.RunLocality(clustersim.LocalityScenario{Policy: clustersim.SharedPlan, Zones: 3, Controllers: n, Executors: n * 2 / 3, Load: 0.5, Cores: 8, CrossZoneRTTMS: 10,
				LostAtMS: 6000, BackAtMS: 12_000, EndMS: 20_000, Seed: 9, CutOffControllers: 2})
			fmt.Printf("# sim, %d controllers, %d executors: %+v\n", n, n*2/3, f)
			per[n] = f.ReportBytesPerSecond
			add(fmt.Sprintf("sim_over_cap_of_%d", n), float64(f.CapViolations), "looks", "==", 0)
			add(fmt.Sprintf("sim_falls_of_%d", n), float64(f.Collapses), "", "==", 0)
			add(fmt.Sprintf("sim_in_force_of_%d", n), f.PlanInForceMS, "ms at 95%", ">=", 0)
		}
		add("sim_bytes_a_controller", per[300]/per[30], "x of 300 against 30", "<=", 1.5)
	}
	return figures, nil
}

// zonesRounds has a zone of three out of reach, under load, with real processes.
func zonesRounds(dir, program string, add func(name string, value float64, unit, op string, want float64)) error {
	var near, agreed, back, handled, own []float64
	for r := range zonesReal {
		p := chaostest.Plan{Program: program, Folder: filepath.Join(dir, fmt.Sprint("zones", r)), Controllers: 9, Engines: 12, Zones: 3, Founders: 3, Store: true,
			Fleet: fastFleet, Between: "stage = \"700ms\"\n return_wait = \"700ms\"", WorkMS: 20, Cores: 4, Room: 64, Seed: uint64(90 + r)}
		f, err := opened(p)
		if err != nil {
			return err
		}
		err = func() error {
			defer f.Close()
			for z := range 3 {
				if _, err := f.Agreed(20*time.Second, f.ZoneOf(z), "whole"); err != nil {
					return err
				}
			}
			load := f.Traffic("t", 2, 20*time.Millisecond)
			defer load.End()
			time.Sleep(time.Second)
			began := time.Now()
			time.Sleep(4 * time.Second)
			cut := time.Now()
			in, out := f.Spilled("t", began, cut)
			f.CutZone("z1", true)
			took, err := f.Agreed(15*time.Second, "z1", "lost")
			if err != nil {
				return err
			}
			time.Sleep(4 * time.Second)
			f.CutZone("z1", false)
			again := time.Now()
			if _, err := f.Agreed(30*time.Second, "z1", "whole"); err != nil {
				return err
			}
			whole := time.Since(again)
			ok, all := 0.0, 0.0
			var before, during []float64
			for _, a := range load.Between(began, again) {
				switch home := f.ZoneOf(a.Controller) == "z1"; {
				case home && a.At.After(cut):
					if all++; a.Outcome == "handled" {
						ok++
					}
				case !home && a.At.Before(cut):
					before = append(before, a.Took.Seconds())
				case !home:
					during = append(during, a.Took.Seconds())
				}
			}
			near, agreed, back = append(near, 100*float64(in)/float64(in+out)), append(agreed, took.Seconds()*1000), append(back, whole.Seconds()/(zonesStages+zonesWait).Seconds())
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

// reachCost is what the choice of an executor costs with reaches, against without.
func reachCost() float64 {
	cost := func(reaches []scheduler.ZoneReach) func() float64 {
		settings := scheduler.DefaultSettings()
		settings.Controllers = 3
		settings.Kinds = []scheduler.ExecutorKind{{Name: "big", Cores: 8, MemoryMB: 65536}}
		look := scheduler.DefaultClass("look", scheduler.Idempotent)
		look.SoftDeadlineMS, look.DeadlineMS = 1000, 5000
		settings.Classes = []scheduler.RequestClass{look}
		g := scheduler.New(1, settings)
		ev := scheduler.Event{Kind: scheduler.EndpointsUpdated, List: scheduler.ListComplete}
		for k := range 60 {
			ev.Endpoints = append(ev.Endpoints, scheduler.Endpoint{Executor: uint32(k + 1), Zone: fmt.Sprint("z", k%3), Kind: "big"})
		}
		g.Step(1, &ev, nil)
		g.Step(1, &scheduler.Event{Kind: scheduler.ReachabilityChanged, Reaches: reaches}, nil)
		n := 0
		return func() float64 {
			return seconds(func() {
				for range 2000 {
					n++
					id, now := fmt.Sprint(n), float64(1000+n)
					g.Step(now, &scheduler.Event{Kind: scheduler.RequestArrived, Request: id, Class: "look", TableGroup: uint64(n), WorkMS: 10, Deadline: now + 5000}, nil)
					g.Step(now, &scheduler.Event{Kind: scheduler.AttemptEnded, Request: id, Outcome: scheduler.Succeeded, Final: true}, nil)
				}
			})
		}
	}
	s := sides(cost([]scheduler.ZoneReach{{Zone: "z1", Tier: 1, Capacity: 8}, {Zone: "z2", Tier: 1, Capacity: 8}}), cost(nil))
	return s[0] / s[1]
}
