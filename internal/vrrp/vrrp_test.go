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

// Makes rapid draw the same cases in every run and write no files for failures. Flags on the command line take
// precedence.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
}

var (
	localAddr  = netip.MustParseAddr("127.0.0.1")
	remoteAddr = netip.MustParseAddr("127.0.0.2")
	ipv6Addr   = netip.MustParseAddr("fe80::1")
)

func testConfig(priority uint8, preempt bool) Config {
	return Config{RouterID: 7, Priority: priority, Addresses: []netip.Addr{netip.MustParseAddr("10.0.0.9")},
		IntervalMS: 100, Preempt: preempt}
}

func newMachine(t require.TestingT, priority uint8, preempt bool, local netip.Addr) *Machine {
	m, err := New(testConfig(priority, preempt), local)
	require.NoError(t, err)
	return m
}

// An advertisement must survive encoding and decoding, and any bit flip and any truncation must be detected.
func TestPacket_RoundTripChecksEveryField(t *testing.T) {
	p := Packet{RouterID: 7, Priority: 200, IntervalMS: 1000, Addresses: []netip.Addr{localAddr, remoteAddr}}
	encoded, err := p.Append(nil, localAddr, remoteAddr)
	require.NoError(t, err)
	assert.Equal(t, []byte{0x31, 7, 200, 2, 0, 100}, encoded[:checksumOffset], "the header as in the RFC")
	got, err := Parse(encoded, localAddr, remoteAddr)
	require.NoError(t, err)
	assert.Equal(t, p, got)
	_, err = Parse(encoded, localAddr, localAddr)
	assert.ErrorContains(t, err, "wrong checksum", "the checksum covers the destination")
	for at := range encoded {
		for bit := range 8 {
			corrupted := append([]byte(nil), encoded...)
			corrupted[at] ^= 1 << bit
			_, err := Parse(corrupted, localAddr, remoteAddr)
			assert.ErrorIs(t, err, ErrInvalidPacket, "with bit %d of byte %d flipped", bit, at)
		}
		_, err := Parse(encoded[:at], localAddr, remoteAddr)
		assert.ErrorIs(t, err, ErrInvalidPacket, "truncated to %d bytes", at)
	}

	ipv6Packet := Packet{RouterID: 1, Priority: 1, IntervalMS: 10, Addresses: []netip.Addr{ipv6Addr}}
	encoded, err = ipv6Packet.Append(nil, ipv6Addr, ipv6Addr)
	require.NoError(t, err)
	got, err = Parse(encoded, ipv6Addr, ipv6Addr)
	require.NoError(t, err)
	assert.Equal(t, ipv6Packet, got)

	for _, invalid := range []Packet{
		{RouterID: 0, IntervalMS: 100, Addresses: p.Addresses},
		{RouterID: 1, IntervalMS: 100}, // no addresses
		{RouterID: 1, IntervalMS: 5, Addresses: p.Addresses},
		{RouterID: 1, IntervalMS: 50_000, Addresses: p.Addresses},
		{RouterID: 1, IntervalMS: 100, Addresses: []netip.Addr{ipv6Addr}}, // not of the source's family
	} {
		_, err := invalid.Append(nil, localAddr, remoteAddr)
		assert.ErrorIs(t, err, ErrInvalidPacket, "encoding %+v", invalid)
	}
}

// An advertisement that Parse accepts must be encodable in as many bytes.
func FuzzParse(f *testing.F) {
	p := Packet{RouterID: 7, Priority: 200, IntervalMS: 1000, Addresses: []netip.Addr{localAddr}}
	seed, _ := p.Append(nil, localAddr, remoteAddr)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, in []byte) {
		if p, err := Parse(in, localAddr, remoteAddr); err == nil {
			if out, err := p.Append(nil, localAddr, remoteAddr); err != nil || len(out) != len(in) {
				t.Fatalf("%x is decoded as %v, which is encoded as %x, error %v", in, p, out, err)
			}
		}
	})
}

// Guards the states, effects and timers of all transitions of RFC 9568.
func TestMachine_FollowsTransitions(t *testing.T) {
	backup := func() *Machine {
		m := newMachine(t, 100, true, localAddr)
		m.Start(1000)
		return m
	}
	active := func() *Machine {
		m := backup()
		m.Tick(m.Deadline())
		return m
	}
	advertisement := func(priority uint8) Packet {
		return Packet{RouterID: 7, Priority: priority, IntervalMS: 200, Addresses: []netip.Addr{localAddr}}
	}

	m := newMachine(t, PriorityOwner, true, localAddr)
	assert.Equal(t, []Effect{SendAdvertisement, AcquireAddresses}, m.Start(1000), "an owner starts")
	assert.Equal(t, 1100.0, m.Deadline(), "the owner's next advertisement")

	m = backup()
	assert.Equal(t, Backup, m.State())
	assert.InDelta(t, 1000+300+156*100.0/256, m.Deadline(), 1e-9, "three intervals and the skew time")
	assert.Empty(t, m.Tick(1300), "a tick before the deadline")
	assert.Equal(t, []Effect{SendAdvertisement, AcquireAddresses}, m.Tick(1400), "a backup takes over")
	assert.Equal(t, []Effect{SendAdvertisement}, m.Tick(1500), "an active router advertises")

	m = backup()
	assert.Empty(t, m.HandlePacket(1100, remoteAddr, advertisement(200)))
	assert.InDelta(t, 1100+600+156*200.0/256, m.Deadline(), 1e-9, "by the interval in the active router's advertisement")
	assert.Empty(t, m.HandlePacket(1200, remoteAddr, advertisement(PriorityResign)))
	assert.InDelta(t, 1200+156*200.0/256, m.Deadline(), 1e-9, "after a resignation, the skew time alone")
	before := m.Deadline()
	assert.Empty(t, m.HandlePacket(1210, remoteAddr, advertisement(50)))
	assert.Equal(t, before, m.Deadline(), "a lower priority does not extend the timer")

	m = active()
	assert.Equal(t, []Effect{SendAdvertisement}, m.HandlePacket(1500, remoteAddr, advertisement(50)), "lower priority")
	assert.Equal(t, []Effect{SendAdvertisement}, m.HandlePacket(1500, remoteAddr, advertisement(PriorityResign)),
		"a resignation")
	assert.Equal(t, []Effect{ReleaseAddresses}, m.HandlePacket(1500, remoteAddr, advertisement(101)), "higher priority")
	assert.Equal(t, Backup, m.State())
	assert.Equal(t, []Effect{ReleaseAddresses}, active().HandlePacket(1500, remoteAddr, advertisement(100)),
		"of equal priorities, the higher address takes precedence")
	lowerAddr := netip.MustParseAddr("127.0.0.0")
	assert.Equal(t, []Effect{SendAdvertisement}, active().HandlePacket(1500, lowerAddr, advertisement(100)),
		"of equal priorities, the lower address does not take precedence")
	assert.Equal(t, []Effect{SendResignation, ReleaseAddresses}, active().Stop(1500), "an active router stops")

	m = backup()
	assert.Empty(t, m.Stop(1100), "a backup stops")
	assert.Equal(t, Initialize, m.State(), "after Stop")
	assert.Equal(t, 0.0, m.Deadline(), "after Stop")
	assert.Empty(t, m.HandlePacket(1200, remoteAddr, advertisement(200)), "an advertisement after Stop")

	nonPreempting := newMachine(t, 200, false, localAddr)
	nonPreempting.Start(1000)
	nonPreempting.HandlePacket(1100, remoteAddr, advertisement(50))
	assert.Greater(t, nonPreempting.Deadline(), 1600.0, "without preemption, any active router extends the timer")

	otherRouter := advertisement(200)
	otherRouter.RouterID = 9
	m.HandlePacket(1200, remoteAddr, otherRouter)
	assert.EqualValues(t, 2, m.Counts().Ignored, "advertisements that were ignored after Stop")
}

// A restarted router must not take over from a router of lower priority before its preemption delay has passed.
func TestMachine_WaitsForPreemptDelay(t *testing.T) {
	config := testConfig(200, true)
	config.PreemptDelayMS = 1000
	m, err := New(config, localAddr)
	require.NoError(t, err)
	lowerPriority := Packet{RouterID: 7, Priority: 100, IntervalMS: 100, Addresses: config.Addresses}
	m.Start(0)
	for now := 50.0; now < 1000; now += 100 {
		m.HandlePacket(now, remoteAddr, lowerPriority)
		assert.Empty(t, m.Tick(now), "effects at %g ms, before the delay has passed", now)
	}
	for now := 1050.0; m.State() == Backup; now += 100 {
		require.Less(t, now, 1500.0, "no takeover after the delay")
		m.HandlePacket(now, remoteAddr, lowerPriority)
		m.Tick(now)
	}

	m.SetPriority(2000, 50)
	assert.EqualValues(t, 50, m.Advertisement(false).Priority)
	assert.EqualValues(t, PriorityResign, m.Advertisement(true).Priority)
	m.SetPriority(2000, PriorityResign)
	m.SetPriority(2000, PriorityOwner)
	assert.EqualValues(t, 50, m.Priority(), "the reserved priorities are ignored")
}

// Routers crash or are restarted as planned on a network that loses, delays and duplicates packets. Once the network
// has been reliable for long enough, one router of the highest priority must be active, and after its crash another
// one within three intervals and the skew time.
func TestMachine_OneIsActiveOnReliableNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 4).Draw(t, "routers")
		type delivery struct {
			at          float64
			destination int
			source      netip.Addr
			packet      Packet
		}
		var inFlight []delivery
		machines, addresses := make([]*Machine, count), make([]netip.Addr, count)
		now, reliable := 0.0, false
		execute := func(sender int, effects []Effect) {
			for _, e := range effects {
				if e != SendAdvertisement && e != SendResignation {
					continue
				}
				for destination := range count {
					if destination == sender || !reliable && rapid.IntRange(0, 2).Draw(t, "lost if 0") == 0 {
						continue
					}
					delayMS := 1.0
					if !reliable {
						delayMS = rapid.Float64Range(1, 250).Draw(t, "delay in ms")
					}
					packet := machines[sender].Advertisement(e == SendResignation)
					inFlight = append(inFlight, delivery{now + delayMS, destination, addresses[sender], packet})
					if !reliable && rapid.Bool().Draw(t, "duplicated") {
						inFlight = append(inFlight, delivery{now + 2*delayMS, destination, addresses[sender], packet})
					}
				}
			}
		}
		for k := range machines {
			addresses[k] = netip.MustParseAddr(fmt.Sprintf("127.0.0.%d", k+1))
			priority := rapid.SampledFrom([]int{100, 100, 150, 254}).Draw(t, "priority")
			machines[k] = newMachine(t, uint8(priority), true, addresses[k])
			execute(k, machines[k].Start(0))
		}
		run := func(until float64) {
			for ; now < until; now += 5 {
				for k := 0; k < len(inFlight); k++ {
					if d := inFlight[k]; d.at <= now {
						inFlight = append(inFlight[:k], inFlight[k+1:]...)
						execute(d.destination, machines[d.destination].HandlePacket(now, d.source, d.packet))
						k--
					}
				}
				for k := range machines {
					execute(k, machines[k].Tick(now))
				}
			}
		}

		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			run(now + rapid.Float64Range(50, 600).Draw(t, "time until the fault in ms"))
			k := rapid.IntRange(0, count-1).Draw(t, "router")
			switch rapid.IntRange(0, 2).Draw(t, "0: crash, 1: restart, 2: none") {
			case 0:
				machines[k] = newMachine(t, machines[k].config.Priority, true, addresses[k])
				execute(k, machines[k].Start(now))
			case 1:
				execute(k, machines[k].Stop(now))
				execute(k, machines[k].Start(now))
			}
		}
		reliable = true
		run(now + 1500)

		// survey counts the active routers and finds the router that takes precedence over all others.
		survey := func() (active, best int) {
			best = -1
			for k, m := range machines {
				if m.State() == Active {
					active++
				}
				if m.State() != Initialize && (best < 0 || m.Priority() > machines[best].Priority() ||
					m.Priority() == machines[best].Priority() && addresses[best].Less(addresses[k])) {
					best = k
				}
			}
			return active, best
		}
		active, best := survey()
		assert.Equal(t, 1, active, "active routers on the reliable network")
		if machines[best].State() != Active { // a router does not preempt another of equal priority
			for _, m := range machines {
				if m.State() == Active {
					assert.Equal(t, machines[best].Priority(), m.Priority(), "priority of the active router")
				}
			}
		}
		for k, m := range machines {
			if m.State() == Active { // crashes and is not started again
				machines[k] = newMachine(t, m.config.Priority, true, addresses[k])
				break
			}
		}
		run(now + 3*100 + 100 + 10)
		active, _ = survey()
		assert.Equal(t, 1, active, "active routers after the crash of the active one")
	})
}
