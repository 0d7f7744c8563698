package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestScheduler_KeepsToWarmupShare(t *testing.T) {
	// 3 * 0.3 * 8 cores * 2000 ms, of which nine tenths, between two: 6480 ms of work.
	s := newTestScheduler(1, func(s *Settings) { s.Controllers = 2 })
	s.Step(1500, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 1, Kind: "big", StartedAt: 1400}}}, nil)
	e, class := &s.executors[0], &s.classes[0]
	assert.Equal(t, executorWarmingUp, e.state)
	class.usualWorkMS = 1000
	e.warmupSent.add(1500, 5400)
	assert.True(t, s.fitsWarmupShare(class, e))
	e.warmupSent.add(1500, 100)
	assert.False(t, s.fitsWarmupShare(class, e))
	s.now = 4000
	assert.True(t, s.fitsWarmupShare(class, e), "the window has passed")
	s.Step(2500, &Event{Kind: Started}, nil)
	s.now = 4000
	for s.seed = range 100 { // what it sent before its own start is not known: 0.61 of its share
		e.warmupSent.forget(1e9, 0)
		e.warmupSent.add(4000, 2950)
		assert.True(t, s.fitsWarmupShare(class, e))
		e.warmupSent.add(4000, 1000)
		assert.False(t, s.fitsWarmupShare(class, e))
	}
	e.warmupSent.forget(1e9, 0)
	sending := 0
	s.settings.Controllers = 12 // the warm-up share follows the settings
	for s.seed = range 100 {    // part of these shares holds no request: 0.37 of them by chance
		if s.fitsWarmupShare(class, e) {
			sending++
		}
	}
	assert.InDelta(t, 37, sending, 15)
	s.settings.Controllers = 2
	s.now = 4520
	assert.True(t, s.fitsWarmupShare(class, e))
	class.usualWorkMS = 13000
	assert.False(t, s.fitsWarmupShare(class, e), "what is larger than the share waits until it is warm")
}

// Each of thirty controllers, or of three hundred, sends an executor that warms up all that it may, of every class, and knows of
// no other: the sum keeps to the budget in every case, and there is room for large classes and for small ones. Where what each
// takes for usual is wrong by up to a quarter either way, none of the rounds drawn makes the executor collapse.
func TestScheduler_WarmupSharesAddUpToBudget(t *testing.T) {
	const allowed = 3 * 0.3 * 8 * 2000
	for _, n := range []float64{1, 2, 3, 30, 300} {
		for _, usual := range [][]float64{{1000}, {5600, 3400, 190}, {5000, 500, 50}, {2000, 300, 20}, {20000}, {40, 30, 20}} {
			for turn := range 5 {
				sent, truth, count, kindsSent := 0.0, 0.0, 0.0, map[int]bool{}
				for slot := range int(n) {
					s := newTestScheduler(1, func(s *Settings) { s.Controllers = int(n); s.ControllerIndex = slot })
					e := &s.executors[0]
					e.warmupUntil, s.seed = 9000, uint64(turn)<<32+uint64(slot)
					for k, ms := range usual {
						s.classes[k].usualWorkMS = ms * (1 + float64(min(1, turn))*(s.random()/2-0.25))
					}
					for k, ms := range usual {
						for class := &s.classes[k]; s.fitsWarmupShare(class, e); truth, count, kindsSent[k] = truth+ms, count+1, true {
							e.warmupSent.add(s.now, class.usualWorkMS)
						}
					}
					sent += e.warmupSent.total()
				}
				mean := truth / max(1, count)
				assert.LessOrEqual(t, truth, allowed+mean*(2*math.Sqrt(allowed/max(1, mean))+2), "%v controllers, %v", n, usual)
				if turn == 0 {
					assert.LessOrEqual(t, sent, warmupMargin*allowed+1e-6, "%v controllers, %v", n, usual)
					assert.True(t, usual[0] > 10000 || kindsSent[0], "%v controllers, %v: some may send the largest kind", n, usual)
					assert.True(t, usual[0] > 10000 || sent > 0.6*warmupMargin*allowed, "%v controllers, %v: %v", n, usual, sent)
				}
			}
		}
	}
}

// An executor that joins or starts again warms up from when this controller was told, whatever the wall clocks of both machines
// say. One that was listed at the controller's start and started long before does not.
func TestScheduler_WarmsUpNewStartDespiteWallClocks(t *testing.T) {
	const now, hour = 1e9, 3.6e6
	for name, since := range map[string]float64{"an hour behind": now - hour, "right": now - 20, "an hour ahead": now + hour} {
		s := New(7, testSettings())
		s.startedAt = -1e6
		s.Step(now-5000, &Event{Kind: EndpointsUpdated, List: ListRestored, Endpoints: []Endpoint{{Executor: 1, Kind: "big"}, {Executor: 2, Kind: "big",
			StartedAt: now - hour/2}}}, nil)
		assert.Zero(t, s.executors[0].warmupUntil+s.executors[1].warmupUntil, name)
		s.Step(now, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 3, Kind: "big", StartedAt: since}}}, nil)
		assert.Equal(t, now+10000, s.executors[2].warmupUntil, "%s: joined", name)
		s.Step(now+10, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 2, Kind: "big", StartedAt: since}}}, nil)
		assert.Equal(t, now+10010, s.executors[1].warmupUntil, "%s: started anew", name)
		s.Step(now+20, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 2, Kind: "big", StartedAt: since}}}, nil)
		assert.Equal(t, now+10010, s.executors[1].warmupUntil, "%s: listed again", name)
	}
}

// An executor stands what all controllers send it while it warms up, though seven in ten of them, or all, are killed once they
// have sent their share, and again once they have sent what they may after that, all within the window in which it may collapse.
func TestScheduler_WarmupBudgetOutlastsControllerRestarts(t *testing.T) {
	for _, n := range []int{1, 2, 3, 10, 30, 300} {
		for _, usual := range []float64{20, 100, 300, 1000, 3000} {
			for _, killed := range []int{7, 10} {
				allowed := 3 * 0.3 * 8 * 2000 / usual
				slack := 2*math.Sqrt(allowed) + 2
				if allowed < 30 {
					slack = 3*math.Sqrt(allowed) + 3
				}
				sent := 0
				for slot := range n {
					for turn := range 3 {
						if turn > 0 && slot%10 >= killed {
							break
						}
						s := New(uint64(slot*3+turn+1), testSettings(func(s *Settings) { s.Controllers = n; s.ControllerIndex = slot }))
						if s.startedAt = -1e6; turn > 0 {
							s.Step(900, &Event{Kind: Started}, nil)
						}
						s.Step(1000, &Event{Kind: EndpointsUpdated, List: ListRestored, Endpoints: []Endpoint{{Executor: 1, Kind: "big", StartedAt: 950}}}, nil)
						e, class := &s.executors[0], &s.classes[0]
						class.usualWorkMS, class.arrivals = usual, 50
						for ; s.fitsWarmupShare(class, e); sent++ {
							e.warmupSent.add(s.now, usual)
						}
					}
				}
				assert.LessOrEqual(t, float64(sent), allowed+slack, "%d controllers, %d in ten killed, %v ms", n, killed, usual)
			}
		}
	}
}

// The time of a start is all that a controller has at its own start. Clocks that were stepped by some seconds or by an hour make
// nothing warm that may be warming up.
func TestScheduler_WarmsUpAfterOwnRestartDespiteWallClocks(t *testing.T) {
	const now, hour = 1e9, 3.6e6
	for _, c := range []struct {
		age     float64
		warmsUp bool
	}{{20, true}, {9000, true}, {14000, true}, {20000, false}, {hour / 2, false}, {hour - 4000, true}, {hour + 3000, true}, {hour + 14000, true},
		{hour + 60000, false}, {-4000, true}, {-hour, true}, {-hour + 3000, true}, {30 * hour, false}} {
		s := New(7, testSettings())
		s.startedAt = -1e6
		s.Step(now, &Event{Kind: EndpointsUpdated, List: ListRestored, Endpoints: []Endpoint{{Executor: 1, Kind: "big", StartedAt: now - c.age}}}, nil)
		assert.Equal(t, c.warmsUp, s.executors[0].warmupUntil > now, "%v ms old by the clocks", c.age)
	}
}
