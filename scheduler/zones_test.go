package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A remote zone gets requests only where no near one has room, no more threads than its capacity, none that are worth too little
// and none that would be late on the way. For requests that run only on kinds that no near zone has, it counts as near.
func TestScheduler_LimitsRequestsToRemoteZones(t *testing.T) {
	far := func(r ZoneReach) *Scheduler {
		s := newTestScheduler(1, func(s *Settings) { s.Classes[2].Kinds = []string{"odd"} })
		s.Step(1000, &Event{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Executor: 2, Zone: "there", Kind: "big"}, {Executor: 3, Zone: "there", Kind: "odd"}}}, nil)
		r.Zone, r.Tier = "there", 1
		s.Step(1000, &Event{Kind: ReachabilityChanged, Reaches: []ZoneReach{r}}, nil)
		return s
	}
	sent := func(s *Scheduler, class string, n int) (by [4]int) {
		for k := range n {
			for _, a := range arrive(s, 1001, class+string(rune('a'+k)), class) {
				if a.Kind == Send {
					by[a.Executor]++
				}
			}
		}
		return by
	}
	shut := sent(far(ZoneReach{}), "read", 24)
	assert.Greater(t, shut[1], 7, "near ones as far as there is room")
	assert.Zero(t, shut[2]+shut[3])
	some := sent(far(ZoneReach{Capacity: 3}), "read", 24)
	assert.Equal(t, shut[1], some[1], "near ones first")
	assert.Equal(t, 3, some[2]+some[3])
	all := sent(far(ZoneReach{Capacity: math.Inf(1)}), "read", 24)
	assert.Equal(t, shut[1], all[1])
	assert.Equal(t, 24-shut[1], all[2]+all[3])
	assert.Zero(t, sent(far(ZoneReach{Capacity: 9, MinDensity: 1}), "read", 24)[2], "its value density is a hundredth")
	assert.Zero(t, sent(far(ZoneReach{Capacity: 9, LatencyMS: 7900}), "read", 24)[2], "it has 8 s")
	assert.Zero(t, sent(far(ZoneReach{}), "unsafe", 3)[3])
	assert.Equal(t, 3, sent(far(ZoneReach{ExclusiveKinds: []string{"odd"}}), "unsafe", 3)[3])
	assert.Zero(t, sent(far(ZoneReach{ExclusiveKinds: []string{"odd"}}), "read", 24)[3], "others may run near")
	s := far(ZoneReach{Capacity: 1})
	sent(s, "read", 24)
	moved := 0
	for _, a := range s.Step(1002, &Event{Kind: ReachabilityChanged}, nil) {
		if a.Kind == Send && a.Executor > 1 {
			moved++
		}
	}
	assert.Positive(t, moved, "once all zones are near, queued requests go on")
}
