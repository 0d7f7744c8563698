package chaostest

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/testservers"
)

// diskRecordsInTime is the state of a disk that records first attempts later than waitForRegistrations returns, and early
// enough that they may still leave.
const diskRecordsInTime = "slow 40ms"

// pausePlay is a kill of a controller around which its successors are paused.
type pausePlay struct {
	diskState string        // of the controller that is killed; empty: its disk is sound
	pauseAt   time.Duration // from the requests, or from their registration where the disk is slow, to the pause
	killAt    time.Duration // from the pause to the kill
	paused    []int         // numbers of the successors
	// afterRejections has the kill come once most requests have been rejected, and before their clients retry.
	afterRejections bool
}

// String describes the play for the messages of failed checks.
func (p pausePlay) String() string {
	return fmt.Sprintf("disk %q, pause of %v after %v, kill after %v (rejections: %t)", p.diskState, p.paused, p.pauseAt,
		p.killAt, p.afterRejections)
}

// run sends keyed requests to a controller, pauses successors, kills the controller and resumes the successors. Each
// key that had not run at the kill must be handled when its client retries, and no key may run twice.
func (p pausePlay) run(t *testing.T, dedupWindow time.Duration) {
	t.Helper()
	t.Log(p)
	_, currentProgram := faultsTagVersions.programs(t)
	cluster := startAdoptionCluster(t, dedupWindow, []string{currentProgram, currentProgram, currentProgram})
	if p.diskState != "" {
		require.NoError(t, cluster.SetDiskState(killedController, p.diskState))
	}
	var sent submissions
	ran, retries := retryAfterKillRecording(t, cluster, &sent, func() {
		if p.diskState != "" {
			waitForRegistrations(t, cluster)
		}
		time.Sleep(p.pauseAt)
		p.signal(t, cluster, syscall.SIGSTOP)
		time.Sleep(p.killAt)
		if p.afterRejections {
			waitForRejections(t, &sent)
		}
	}, func() { p.signal(t, cluster, syscall.SIGCONT) })
	assertNoUnsentRequestFailed(t, cluster, ran, retries, dedupWindow)
	assertNoUnsentRequestRejected(t, ran, retries)
}

// waitForRejections waits until most requests have been rejected for the first time.
func waitForRejections(t *testing.T, sent *submissions) {
	t.Helper()
	require.Eventually(t, func() bool { return sent.rejected() >= adoptedRequests*2/3 }, 5*time.Second, time.Millisecond,
		"requests must be rejected because their attempts can't be recorded in time")
}

// signal sends a signal to the successors that are paused.
func (p pausePlay) signal(t *testing.T, cluster *Cluster, signal syscall.Signal) {
	t.Helper()
	for _, successor := range p.paused {
		require.NoError(t, cluster.Signal(successor, signal))
	}
}

// Successors that were paused store no record of an attempt that its owner gave up, or was killed with, before it sent
// the attempt.
func TestVersions_KillWhileSuccessorsArePausedFailsNoUnsentRequest(t *testing.T) {
	for _, killAt := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond} {
		play := pausePlay{diskState: diskRecordsInTime, killAt: killAt, paused: []int{0, 1}}
		runWithAndWithoutDeduplication(t, fmt.Sprint("kill after ", killAt), play.run)
	}
}

// A key whose request the killed controller ended, and that one of two successors missed because it was paused, can be
// used again.
func TestVersions_KillWhileOneSuccessorIsPausedLeavesKeysUsable(t *testing.T) {
	for successor := range killedController {
		t.Run(fmt.Sprintf("successor %d paused", successor), func(t *testing.T) {
			t.Parallel()
			pausePlay{diskState: diskSlowForOwner, paused: []int{successor}, afterRejections: true}.run(t, -1)
		})
	}
}

// The seeds of TestVersions_RandomPausesFailNoUnsentRequest; the environment may name others.
const (
	defaultPauseSeeds  = 2
	pauseSeedsEnv      = "LIFTSHIFT_PAUSE_SEEDS"
	pauseFirstSeedEnv  = "LIFTSHIFT_PAUSE_FIRST"
	maxParallelPauses  = 4
	longestPauseDelay  = 12 * time.Millisecond
	shortestKillDelay  = 50 * time.Millisecond
	longestKillDelay   = time.Second
	slowDiskPlayOneIn  = 3
	singlePausePlayOne = 4
)

// randomPausePlay draws a play from a seed.
func randomPausePlay(seed uint64) pausePlay {
	random := rand.New(rand.NewPCG(seed, 0))
	play := pausePlay{
		pauseAt: time.Duration(random.Int64N(int64(longestPauseDelay))),
		killAt:  shortestKillDelay + time.Duration(random.Int64N(int64(longestKillDelay-shortestKillDelay))),
		paused:  []int{0, 1},
	}
	if random.IntN(slowDiskPlayOneIn) == 0 {
		play.diskState = []string{diskRecordsInTime, diskSlowForOwner}[random.IntN(2)]
	}
	if random.IntN(singlePausePlayOne) == 0 {
		play.paused = []int{random.IntN(killedController)}
	}
	return play
}

// The lengths of the pauses in a memberPausesPlay.
const (
	shortestMemberPause = 300 * time.Millisecond
	longestMemberPause  = 800 * time.Millisecond
	// givingUpTime is how long a controller that was paused takes to give up the attempts that waited meanwhile, and to
	// tell their replicas: a tick of 100 ms and an exchange.
	givingUpTime = 200 * time.Millisecond
)

// memberSignal is a signal to a member at a time after the requests were sent.
type memberSignal struct {
	at     time.Duration
	member int
	signal syscall.Signal
}

// memberPausesPlay is a kill of a controller around which any of the members is paused for a time.
type memberPausesPlay struct {
	signals []memberSignal // in the order of their times
	killAt  time.Duration  // after the requests were sent
}

// randomMemberPauses draws a play from a seed. The controller that is killed has been resumed for givingUpTime by then:
// an attempt that its replicas have on record, and that it has neither sent nor given up, may have run, for all that they
// can know.
func randomMemberPauses(seed uint64) (play memberPausesPlay) {
	random := rand.New(rand.NewPCG(seed, 1))
	play.killAt = shortestKillDelay + time.Duration(random.Int64N(int64(longestKillDelay-shortestKillDelay)))
	for member := range killedController + 1 {
		if random.IntN(2) == 0 {
			continue
		}
		from := time.Duration(random.Int64N(int64(longestPauseDelay)))
		until := from + shortestMemberPause + time.Duration(random.Int64N(int64(longestMemberPause-shortestMemberPause)))
		if member == killedController {
			play.killAt = max(play.killAt, until+givingUpTime)
		}
		play.signals = append(play.signals, memberSignal{from, member, syscall.SIGSTOP},
			memberSignal{until, member, syscall.SIGCONT})
	}
	slices.SortStableFunc(play.signals, func(a, b memberSignal) int { return cmp.Compare(a.at, b.at) })
	return play
}

// sendSignals sends the signals that are due from one time up to another, each at its time.
func (p *memberPausesPlay) sendSignals(t *testing.T, cluster *Cluster, sentAt time.Time, from, to time.Duration) {
	t.Helper()
	for _, s := range p.signals {
		if s.at >= from && s.at < to {
			time.Sleep(time.Until(sentAt.Add(s.at)))
			require.NoError(t, cluster.Signal(s.member, s.signal))
		}
	}
}

// run plays it. Each key that had not run at the kill must be handled when its client retries, and no key may run twice.
func (p *memberPausesPlay) run(t *testing.T, dedupWindow time.Duration) {
	t.Helper()
	t.Logf("signals %v, kill after %v", p.signals, p.killAt)
	_, currentProgram := faultsTagVersions.programs(t)
	cluster := startAdoptionCluster(t, dedupWindow, []string{currentProgram, currentProgram, currentProgram})
	var sentAt time.Time
	ran, retries := retryAfterKill(t, cluster, func() {
		sentAt = time.Now()
		p.sendSignals(t, cluster, sentAt, 0, p.killAt)
		time.Sleep(time.Until(sentAt.Add(p.killAt)))
	}, func() { p.sendSignals(t, cluster, sentAt, p.killAt, longestKillDelay+longestMemberPause) })
	assertNoUnsentRequestFailed(t, cluster, ran, retries, dedupWindow)
	assertNoUnsentRequestRejected(t, ran, retries)
}

// assertNoUnsentRequestRejected checks that successors have handled the retries of keys that had not run.
func assertNoUnsentRequestRejected(t *testing.T, ran map[string]int, retries []keyedRequest) {
	t.Helper()
	for _, r := range retries {
		if ran[r.key] == 0 {
			assert.NotEqual(t, testservers.CodeRejected, r.reply.Code, "successors that run must handle it: %s", r)
		}
	}
}

// seedsFromEnv returns the first seed and the number of seeds to play.
func seedsFromEnv(t *testing.T) (first, count uint64) {
	t.Helper()
	first, count = 1, defaultPauseSeeds
	for name, value := range map[string]*uint64{pauseFirstSeedEnv: &first, pauseSeedsEnv: &count} {
		if text := os.Getenv(name); text != "" {
			parsed, err := strconv.ParseUint(text, 10, 64)
			require.NoError(t, err, name)
			*value = parsed
		}
	}
	return first, count
}

// playSeeds runs a play for each of the seeds, with and without deduplication, a few at a time.
func playSeeds(t *testing.T, run func(t *testing.T, seed uint64, dedupWindow time.Duration)) {
	t.Helper()
	first, count := seedsFromEnv(t)
	slots := make(chan struct{}, maxParallelPauses)
	for seed := first; seed < first+count; seed++ {
		runWithAndWithoutDeduplication(t, fmt.Sprint("seed ", seed), func(t *testing.T, dedupWindow time.Duration) {
			slots <- struct{}{}
			defer func() { <-slots }()
			run(t, seed, dedupWindow)
		})
	}
}

// Pauses of successors at random moments around the first attempts, and a kill of the owner meanwhile, fail no request
// that was not sent.
func TestVersions_RandomPausesFailNoUnsentRequest(t *testing.T) {
	playSeeds(t, func(t *testing.T, seed uint64, dedupWindow time.Duration) {
		randomPausePlay(seed).run(t, dedupWindow)
	})
}

// Pauses of any members around a kill fail no request that was not sent, leave no key unusable and run none twice.
func TestVersions_RandomPausesOfAllMembersFailNoUnsentRequest(t *testing.T) {
	playSeeds(t, func(t *testing.T, seed uint64, dedupWindow time.Duration) {
		play := randomMemberPauses(seed)
		play.run(t, dedupWindow)
	})
}
