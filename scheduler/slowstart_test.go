package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScheduler_KeepsToWarmupShare(t *testing.T) {
	// Nine tenths of 3 * 0.3 * 8 cores * 2000 ms, divided between two controllers: 6480 ms of work for each.
	s := newTestScheduler(1, func(settings *Settings) { settings.Controllers = 2 })
	started := []Endpoint{{Executor: 1, Kind: "big", StartedAt: 1400}}
	s.Step(1500, &Event{Kind: EndpointsUpdated, Endpoints: started}, nil)
	e, class := &s.executors[0], &s.classes[0]
	assert.Equal(t, executorWarmingUp, e.state)
	class.meanWorkMS = 1000
	e.warmupSent.add(1500, 5400)
	assert.True(t, s.fitsWarmupShare(class, e))
	e.warmupSent.add(1500, 100)
	assert.False(t, s.fitsWarmupShare(class, e))
	s.now = 4000
	assert.True(t, s.fitsWarmupShare(class, e), "the window has passed")
	s.Step(2500, &Event{Kind: Started}, nil)
	s.now = 4000
	for s.seed = range 100 { // a controller started within the window may use 0.61 of its share
		e.warmupSent.evictBefore(1e9, 0)
		e.warmupSent.add(4000, 2950)
		assert.True(t, s.fitsWarmupShare(class, e))
		e.warmupSent.add(4000, 1000)
		assert.False(t, s.fitsWarmupShare(class, e))
	}
	e.warmupSent.evictBefore(1e9, 0)
	sending := 0
	s.settings.Controllers = 12 // the warm-up share follows the settings
	for s.seed = range 100 {    // the reduced share holds no request, so a fraction of 0.37 sends, chosen at random
		if s.fitsWarmupShare(class, e) {
			sending++
		}
	}
	assert.InDelta(t, 37, sending, 15)
	s.settings.Controllers = 2
	s.now = 4520
	assert.True(t, s.fitsWarmupShare(class, e))
	class.meanWorkMS = 13000
	assert.False(t, s.fitsWarmupShare(class, e), "a request larger than the share waits for the end of the warm-up")
}

// Guards against warm-up shares that overload an executor when every controller sends as many requests of each class as
// it may, and against shares that leave no room for large requests or waste much of the budget. In rounds after the
// first, the controllers' estimates of the mean work are off by up to a quarter.
func TestScheduler_WarmupSharesAddUpToBudget(t *testing.T) {
	const budget = 3 * 0.3 * 8 * 2000
	workloads := [][]float64{
		{1000}, {5600, 3400, 190}, {5000, 500, 50}, {2000, 300, 20}, {20000}, {40, 30, 20},
	}
	for _, controllers := range []float64{1, 2, 3, 30, 300} {
		for _, classMeanWork := range workloads {
			for round := range 5 {
				estimatedWork, actualWork, requests := 0.0, 0.0, 0.0
				classesSent := map[int]bool{}
				for controller := range int(controllers) {
					s := newTestScheduler(1, func(settings *Settings) {
						settings.Controllers = int(controllers)
						settings.ControllerIndex = controller
					})
					e := &s.executors[0]
					e.warmupUntil, s.seed = 9000, uint64(round)<<32+uint64(controller)
					for k, workMS := range classMeanWork {
						s.classes[k].meanWorkMS = workMS * (1 + float64(min(1, round))*(s.random()/2-0.25))
					}
					for k, workMS := range classMeanWork {
						class := &s.classes[k]
						for s.fitsWarmupShare(class, e) {
							e.warmupSent.add(s.now, class.meanWorkMS)
							actualWork += workMS
							requests++
							classesSent[k] = true
						}
					}
					estimatedWork += e.warmupSent.total()
				}
				overallMeanWork := actualWork / max(1, requests)
				toleratedWork := budget + overallMeanWork*(2*math.Sqrt(budget/max(1, overallMeanWork))+2)
				assert.LessOrEqual(t, actualWork, toleratedWork,
					"%v controllers, mean work %v ms", controllers, classMeanWork)
				if round == 0 {
					assert.LessOrEqual(t, estimatedWork, warmupMargin*budget+1e-6,
						"%v controllers, mean work %v ms", controllers, classMeanWork)
					assert.True(t, classMeanWork[0] > 10000 || classesSent[0],
						"%v controllers, mean work %v ms: no request of the largest class was sent",
						controllers, classMeanWork)
					assert.True(t, classMeanWork[0] > 10000 || estimatedWork > 0.6*warmupMargin*budget,
						"%v controllers, mean work %v ms: only %v ms were sent",
						controllers, classMeanWork, estimatedWork)
				}
			}
		}
	}
}

// An executor that joins or restarts warms up from the time of the list update on, even if wall clocks disagree. An
// executor in the restored list that started long before does not warm up.
func TestScheduler_WarmsUpNewStartDespiteWallClocks(t *testing.T) {
	const now, hour = 1e9, 3.6e6
	startTimes := map[string]float64{"an hour behind": now - hour, "right": now - 20, "an hour ahead": now + hour}
	for clock, startedAt := range startTimes {
		s := New(7, testSettings())
		s.startedAt = -1e6
		restored := []Endpoint{{Executor: 1, Kind: "big"}, {Executor: 2, Kind: "big", StartedAt: now - hour/2}}
		s.Step(now-5000, &Event{Kind: EndpointsUpdated, List: ListRestored, Endpoints: restored}, nil)
		assert.Zero(t, s.executors[0].warmupUntil+s.executors[1].warmupUntil, "executor's clock %s: restored", clock)
		joined := []Endpoint{{Executor: 3, Kind: "big", StartedAt: startedAt}}
		s.Step(now, &Event{Kind: EndpointsUpdated, Endpoints: joined}, nil)
		assert.Equal(t, now+10000, s.executors[2].warmupUntil, "executor's clock %s: joined", clock)
		restarted := []Endpoint{{Executor: 2, Kind: "big", StartedAt: startedAt}}
		s.Step(now+10, &Event{Kind: EndpointsUpdated, Endpoints: restarted}, nil)
		assert.Equal(t, now+10010, s.executors[1].warmupUntil, "executor's clock %s: restarted", clock)
		s.Step(now+20, &Event{Kind: EndpointsUpdated, Endpoints: restarted}, nil)
		assert.Equal(t, now+10010, s.executors[1].warmupUntil, "executor's clock %s: listed again", clock)
	}
}

// Guards against overloading an executor that is warming up when most or all controllers are killed twice within the
// window, each time after they have sent all that they may.
func TestScheduler_WarmupBudgetOutlastsControllerRestarts(t *testing.T) {
	for _, controllers := range []int{1, 2, 3, 10, 30, 300} {
		for _, meanWorkMS := range []float64{20, 100, 300, 1000, 3000} {
			for _, killedInTen := range []int{7, 10} {
				budget := 3 * 0.3 * 8 * 2000 / meanWorkMS
				toleratedExcess := 2*math.Sqrt(budget) + 2
				if budget < 30 {
					toleratedExcess = 3*math.Sqrt(budget) + 3
				}
				sent := 0
				for controller := range controllers {
					for restarts := range 3 {
						if restarts > 0 && controller%10 >= killedInTen {
							break
						}
						s := New(uint64(controller*3+restarts+1), testSettings(func(settings *Settings) {
							settings.Controllers = controllers
							settings.ControllerIndex = controller
						}))
						if s.startedAt = -1e6; restarts > 0 {
							s.Step(900, &Event{Kind: Started}, nil)
						}
						list := []Endpoint{{Executor: 1, Kind: "big", StartedAt: 950}}
						s.Step(1000, &Event{Kind: EndpointsUpdated, List: ListRestored, Endpoints: list}, nil)
						e, class := &s.executors[0], &s.classes[0]
						class.meanWorkMS, class.workSamples = meanWorkMS, 50
						for ; s.fitsWarmupShare(class, e); sent++ {
							e.warmupSent.add(s.now, meanWorkMS)
						}
					}
				}
				assert.LessOrEqual(t, float64(sent), budget+toleratedExcess,
					"requests sent by %d controllers, %d in ten killed, %v ms per request",
					controllers, killedInTen, meanWorkMS)
			}
		}
	}
}

// At its own start, a controller knows only the start time of an executor. An executor that may be warming up is
// treated as such, even if clocks were stepped by some seconds or are off by an hour.
func TestScheduler_WarmsUpAfterOwnRestartDespiteWallClocks(t *testing.T) {
	const now, hour = 1e9, 3.6e6
	for _, test := range []struct {
		ageMS   float64
		warmsUp bool
	}{
		{20, true},
		{9000, true},
		{14000, true},
		{20000, false},
		{hour / 2, false},
		{hour - 4000, true},
		{hour + 3000, true},
		{hour + 14000, true},
		{hour + 60000, false},
		{-4000, true},
		{-hour, true},
		{-hour + 3000, true},
		{30 * hour, false},
	} {
		s := New(7, testSettings())
		s.startedAt = -1e6
		list := []Endpoint{{Executor: 1, Kind: "big", StartedAt: now - test.ageMS}}
		s.Step(now, &Event{Kind: EndpointsUpdated, List: ListRestored, Endpoints: list}, nil)
		isWarmingUp := s.executors[0].warmupUntil > now
		assert.Equal(t, test.warmsUp, isWarmingUp, "executor started %v ms ago by the clocks", test.ageMS)
	}
}
