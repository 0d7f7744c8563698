package vrrp

import (
	"flag"
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The same cases in every run, and no files left behind; the command line may say otherwise.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}

var (
	localAddr, remoteAddr = netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")
	addr6                 = netip.MustParseAddr("fe80::1")
)

func testRouter(priority uint8, preempt bool) Router {
	return Router{ID: 7, Priority: priority, Addresses: []netip.Addr{netip.MustParseAddr("10.0.0.9")}, IntervalMS: 100, Preempt: preempt}
}

func newMachine(t require.TestingT, priority uint8, preempt bool, local netip.Addr) *Machine {
	m, err := New(testRouter(priority, preempt), local)
	require.NoError(t, err)
	return m
}

// An advertisement survives encoding and decoding; any bit flip and any truncation is rejected.
func TestPacket_RoundTripChecksEveryField(t *testing.T) {
	p := Packet{RouterID: 7, Priority: 200, IntervalMS: 1000, Addresses: []netip.Addr{localAddr, remoteAddr}}
	b, err := p.Append(nil, localAddr, remoteAddr)
	require.NoError(t, err)
	assert.Equal(t, []byte{0x31, 7, 200, 2, 0, 100}, b[:6], "the header of the RFC")
	got, err := Parse(b, localAddr, remoteAddr)
	require.NoError(t, err)
	assert.Equal(t, p, got)
	_, err = Parse(b, localAddr, localAddr)
	assert.ErrorContains(t, err, "checksum", "the checksum contains the destination")
	for at := range b {
		for bit := range 8 {
			corrupted := append([]byte(nil), b...)
			corrupted[at] ^= 1 << bit
			_, err := Parse(corrupted, localAddr, remoteAddr)
			assert.ErrorIs(t, err, ErrInvalidPacket, "byte %d bit %d", at, bit)
		}
		_, err := Parse(b[:at], localAddr, remoteAddr)
		assert.ErrorIs(t, err, ErrInvalidPacket)
	}
	p6 := Packet{RouterID: 1, Priority: 1, IntervalMS: 10, Addresses: []netip.Addr{addr6}}
	b, err = p6.Append(nil, addr6, addr6)
	require.NoError(t, err)
	got, err = Parse(b, addr6, addr6)
	require.NoError(t, err)
	assert.Equal(t, p6, got)
	for _, bad := range []Packet{{RouterID: 0, IntervalMS: 100, Addresses: p.Addresses}, {RouterID: 1, IntervalMS: 100},
		{RouterID: 1, IntervalMS: 5, Addresses: p.Addresses}, {RouterID: 1, IntervalMS: 50_000, Addresses: p.Addresses},
		{RouterID: 1, IntervalMS: 100, Addresses: []netip.Addr{addr6}}} {
		_, err := bad.Append(nil, localAddr, remoteAddr)
		assert.ErrorIs(t, err, ErrInvalidPacket)
	}
}

func FuzzParse(f *testing.F) {
	p := Packet{RouterID: 7, Priority: 200, IntervalMS: 1000, Addresses: []netip.Addr{localAddr}}
	b, _ := p.Append(nil, localAddr, remoteAddr)
	f.Add(b)
	f.Fuzz(func(t *testing.T, in []byte) {
		if p, err := Parse(in, localAddr, remoteAddr); err == nil {
			if out, err := p.Append(nil, localAddr, remoteAddr); err != nil || len(out) != len(in) {
				t.Fatalf("%x reads as %v, which is written as %x: %v", in, p, out, err)
			}
		}
	})
}

// Each transition, as RFC 9568 has them.
func TestMachine_FollowsTransitions(t *testing.T) {
	backup := func() *Machine { m := newMachine(t, 100, true, localAddr); m.Start(1000); return m }
	active := func() *Machine { m := backup(); m.Tick(m.Next()); return m }
	advertisement := func(priority uint8) Packet {
		return Packet{RouterID: 7, Priority: priority, IntervalMS: 200, Addresses: []netip.Addr{localAddr}}
	}
	m := newMachine(t, PriorityOwner, true, localAddr)
	assert.Equal(t, []Effect{SendAdvertisement, AcquireAddresses}, m.Start(1000))
	assert.Equal(t, 1100.0, m.Next())
	m = backup()
	assert.Equal(t, Backup, m.State())
	assert.InDelta(t, 1000+300+156*100.0/256, m.Next(), 1e-9)
	assert.Empty(t, m.Tick(1300))
	assert.Equal(t, []Effect{SendAdvertisement, AcquireAddresses}, m.Tick(1400))
	assert.Equal(t, []Effect{SendAdvertisement}, m.Tick(1500))
	m = backup()
	assert.Empty(t, m.HandlePacket(1100, remoteAddr, advertisement(200)))
	assert.InDelta(t, 1100+600+156*200.0/256, m.Next(), 1e-9, "by the interval in the active router's advertisement")
	assert.Empty(t, m.HandlePacket(1200, remoteAddr, advertisement(PriorityStop)))
	assert.InDelta(t, 1200+156*200.0/256, m.Next(), 1e-9, "it takes over after the skew alone")
	before := m.Next()
	assert.Empty(t, m.HandlePacket(1210, remoteAddr, advertisement(50)))
	assert.Equal(t, before, m.Next(), "a lower priority does not extend the timer")
	m = active()
	assert.Equal(t, []Effect{SendAdvertisement}, m.HandlePacket(1500, remoteAddr, advertisement(50)))
	assert.Equal(t, []Effect{SendAdvertisement}, m.HandlePacket(1500, remoteAddr, advertisement(PriorityStop)))
	assert.Equal(t, []Effect{ReleaseAddresses}, m.HandlePacket(1500, remoteAddr, advertisement(101)))
	assert.Equal(t, Backup, m.State())
	assert.Equal(t, []Effect{ReleaseAddresses}, active().HandlePacket(1500, remoteAddr, advertisement(100)), "between equal priorities, the higher address")
	lower := netip.MustParseAddr("127.0.0.0")
	assert.Equal(t, []Effect{SendAdvertisement}, active().HandlePacket(1500, lower, advertisement(100)))
	assert.Equal(t, []Effect{SendResignation, ReleaseAddresses}, active().Stop(1500))
	m = backup()
	assert.Empty(t, m.Stop(1100))
	assert.Equal(t, []any{Initialize, 0.0}, []any{m.State(), m.Next()})
	assert.Empty(t, m.HandlePacket(1200, remoteAddr, advertisement(200)))
	nonPreempting := newMachine(t, 200, false, localAddr)
	nonPreempting.Start(1000)
	nonPreempting.HandlePacket(1100, remoteAddr, advertisement(50))
	assert.Greater(t, nonPreempting.Next(), 1600.0, "without preemption, any active router extends the timer")
	foreign := advertisement(200)
	foreign.RouterID = 9
	m.HandlePacket(1200, remoteAddr, foreign)
	assert.EqualValues(t, 2, m.Counts().Foreign)
}

// A router that comes back does not take over before its preemption delay has passed.
func TestMachine_WaitsForPreemptDelay(t *testing.T) {
	set := testRouter(200, true)
	set.PreemptDelayMS = 1000
	m, err := New(set, localAddr)
	require.NoError(t, err)
	m.Start(0)
	for now := 50.0; now < 1000; now += 100 {
		m.HandlePacket(now, remoteAddr, Packet{RouterID: 7, Priority: 100, IntervalMS: 100, Addresses: set.Addresses})
		assert.Empty(t, m.Tick(now))
	}
	for now := 1050.0; m.State() == Backup; now += 100 {
		require.Less(t, now, 1500.0)
		m.HandlePacket(now, remoteAddr, Packet{RouterID: 7, Priority: 100, IntervalMS: 100, Addresses: set.Addresses})
		m.Tick(now)
	}
	m.SetPriority(2000, 50)
	assert.EqualValues(t, 50, m.Advertisement(false).Priority)
	assert.EqualValues(t, PriorityStop, m.Advertisement(true).Priority)
	m.SetPriority(2000, 0)
	m.SetPriority(2000, PriorityOwner)
	assert.EqualValues(t, 50, m.Priority())
}

// Several controllers on a network that loses, delays and duplicates; some crash and come back. Once the network is reliable for long
// enough, one router is active, that with the highest priority, and after its crash another is within three intervals and the skew.
func TestMachine_OneIsActiveOnReliableNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "controllers")
		type delivery struct {
			at   float64
			to   int
			from netip.Addr
			p    Packet
		}
		var inFlight []delivery
		list, local := make([]*Machine, n), make([]netip.Addr, n)
		now, reliable := 0.0, false
		execute := func(k int, effects []Effect) {
			for _, e := range effects {
				if e != SendAdvertisement && e != SendResignation {
					continue
				}
				for to := range n {
					if to == k || !reliable && rapid.IntRange(0, 2).Draw(t, "lost") == 0 {
						continue
					}
					late := 1.0
					if !reliable {
						late = rapid.Float64Range(1, 250).Draw(t, "late")
					}
					inFlight = append(inFlight, delivery{now + late, to, local[k], list[k].Advertisement(e == SendResignation)})
					if !reliable && rapid.Bool().Draw(t, "duplicated") {
						inFlight = append(inFlight, delivery{now + 2*late, to, local[k], list[k].Advertisement(e == SendResignation)})
					}
				}
			}
		}
		for k := range list {
			local[k] = netip.MustParseAddr(fmt.Sprintf("127.0.0.%d", k+1))
			list[k] = newMachine(t, uint8(rapid.SampledFrom([]int{100, 100, 150, 254}).Draw(t, "priority")), true, local[k])
			execute(k, list[k].Start(0))
		}
		run := func(until float64) {
			for ; now < until; now += 5 {
				for k := 0; k < len(inFlight); k++ {
					if l := inFlight[k]; l.at <= now {
						inFlight = append(inFlight[:k], inFlight[k+1:]...)
						execute(l.to, list[l.to].HandlePacket(now, l.from, l.p))
						k--
					}
				}
				for k := range list {
					execute(k, list[k].Tick(now))
				}
			}
		}
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			run(now + rapid.Float64Range(50, 600).Draw(t, "for"))
			k := rapid.IntRange(0, n-1).Draw(t, "who")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0: // crashed and restarted
				list[k] = newMachine(t, list[k].router.Priority, true, local[k])
				execute(k, list[k].Start(now))
			case 1:
				execute(k, list[k].Stop(now))
				execute(k, list[k].Start(now))
			}
		}
		reliable = true
		run(now + 1500)
		count := func() (active, best int) {
			best = -1
			for k, m := range list {
				if m.State() == Active {
					active++
				}
				if m.State() != Initialize && (best < 0 || m.Priority() > list[best].Priority() ||
					m.Priority() == list[best].Priority() && local[best].Less(local[k])) {
					best = k
				}
			}
			return active, best
		}
		active, best := count()
		assert.Equal(t, 1, active)
		if list[best].State() != Active { // equal priorities do not preempt each other
			for _, m := range list {
				if m.State() == Active {
					assert.Equal(t, list[best].Priority(), m.Priority())
				}
			}
		}
		for k, m := range list {
			if m.State() == Active { // it crashes
				list[k] = newMachine(t, m.router.Priority, true, local[k])
				break
			}
		}
		run(now + 3*100 + 100 + 10)
		active, _ = count()
		assert.Equal(t, 1, active)
	})
}
