package handoffnet

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/handoff"
)

func TestLanes(t *testing.T) {
	for name, c := range map[string]struct {
		inputs []laneInput
		state  laneState
	}{
		"answers keep it":             {[]laneInput{answered, silent, silent, answered, silent, silent}, swift},
		"silence ends it":             {[]laneInput{silent, silent, silent}, secluded},
		"one is tried later":          {[]laneInput{silent, silent, silent, worn}, trying},
		"it gets through":             {[]laneInput{silent, silent, silent, worn, answered}, swift},
		"it doesn't":                  {[]laneInput{silent, silent, silent, worn, silent}, secluded},
		"a late answer is one, too":   {[]laneInput{silent, silent, silent, answered}, swift},
		"after it, as many as before": {[]laneInput{silent, silent, silent, answered, silent, silent}, swift},
	} {
		l := lane{}
		for _, in := range c.inputs {
			l.play(5, in)
		}
		assert.Equal(t, c.state, l.state, name)
	}
	l := lane{state: secluded, since: 100}
	assert.False(t, l.takes(100+secludedMS-1, 0))
	assert.False(t, l.takes(100+secludedMS, 3), "some are under way still")
	assert.True(t, l.takes(100+secludedMS, 0))
	assert.False(t, l.takes(100+secludedMS, 1), "one is enough to try")
	assert.False(t, (&lane{}).takes(0, mostUnder))
}

// Short words go as datagrams, each is answered once, and no call is made.
func TestWordsGoAsDatagrams(t *testing.T) {
	a, _, heard := pair(t)
	for k := range 50 {
		a.ask(fmt.Sprint("k", k))
	}
	items := 0
	require.Eventually(t, func() bool {
		items = 0
		for _, x := range heard.answers() {
			items += len(x.back.Items)
		}
		return items >= 50
	}, 3*time.Second, time.Millisecond)
	assert.Equal(t, 50, items)
	assert.Zero(t, a.trustee.Calls.Load())
	assert.NotZero(t, a.trustee.Datagrams.Load())
	for _, x := range heard.answers() {
		require.Len(t, x.back.Items, len(x.sent.Items))
		assert.Equal(t, handoff.OpUnknown, x.back.Items[0].Op)
		assert.Equal(t, "b", x.to)
	}
	nothing := true
	a.trustee.flights.Range(func(any, any) bool { nothing = false; return false })
	assert.True(t, nothing, "no flight is kept past its answer")
}

// Where datagrams get lost, words go again by a call, soon by calls alone, and as datagrams again once one gets through.
func TestLostDatagramsGoByCalls(t *testing.T) {
	a, b, heard := pair(t)
	b.deaf.Store(true)
	for k := range silences + 2 {
		began := time.Now()
		a.ask(fmt.Sprint("k", k))
		heard.waits(t, k+1)
		assert.Less(t, time.Since(began), 400*time.Millisecond)
	}
	assert.EqualValues(t, silences, a.trustee.Unanswered.Load())
	assert.EqualValues(t, silences+2, a.trustee.Calls.Load())
	for _, x := range heard.answers() {
		assert.NotNil(t, x.back, "all are answered")
	}
	b.deaf.Store(false)
	l := a.trustee.line("b")
	l.mu.Lock()
	l.lane.since -= secludedMS
	l.mu.Unlock()
	a.ask("again")
	heard.waits(t, silences+3)
	a.ask("and again")
	heard.waits(t, silences+4)
	assert.EqualValues(t, silences+2, a.trustee.Calls.Load(), "no further call")
}

// What is too long for a datagram, in either direction, goes by a call.
func TestLongWordsAndLongAnswers(t *testing.T) {
	a, b, heard := pair(t)
	var keys []string
	for k := range 80 {
		keys = append(keys, fmt.Sprint("k", k))
	}
	a.ask(keys...)
	assert.Len(t, heard.waits(t, 1)[0].back.Items, 80)
	assert.EqualValues(t, 1, a.trustee.Calls.Load())
	assert.Zero(t, a.trustee.Datagrams.Load())
	key := handoff.KeyOf("long", "")
	b.desk.Call(func(now float64) {
		who := handoff.Member{Name: "c", Incarnation: 1}
		c := handoff.Copy{RequestData: handoff.RequestData{ID: "x", IdempotencyKey: "long", Class: "mark"}, Owner: who, Sequence: 1, Deadline: now + 5000, Complete: true}
		b.trustee.estate.Step(now, &handoff.Event{Kind: handoff.BatchReceived, LeaseHeld: true, Batch: &handoff.Batch{From: who, Version: 1, Items: []handoff.Item{
			{Op: handoff.OpRegister, Key: key, Sequence: 1, From: who, Copy: &c},
			{Op: handoff.OpClose, Key: key, Sequence: 2, From: who, Outcome: handoff.Succeeded, RunState: handoff.Ran, FirstAttemptAt: now, Answer: make([]byte, 3000)}}}})
	})
	began := time.Now()
	a.ask("long")
	got := heard.waits(t, 2)[1]
	assert.Less(t, time.Since(began), 25*time.Millisecond*4, "it is told to call, and does so at once")
	require.NotNil(t, got.back)
	require.NotNil(t, got.back.Items[0].Copy)
	assert.Len(t, got.back.Items[0].Copy.Answer, 3000)
	assert.EqualValues(t, 2, a.trustee.Calls.Load())
	assert.Zero(t, a.trustee.Unanswered.Load(), "that was no silence")
}

// A member that is not there holds nobody up: words to it line up to a bound, and each comes back as not answered or is dropped.
func TestNobodyThere(t *testing.T) {
	a, b, heard := pair(t)
	b.stop()
	began := time.Now()
	for k := range lineRoom + 200 {
		a.ask(fmt.Sprint("k", k))
	}
	assert.Less(t, time.Since(began), time.Second)
	require.Eventually(t, func() bool { return len(heard.answers()) > 0 && a.trustee.Failed.Load() > 0 }, 5*time.Second, 5*time.Millisecond)
	for _, x := range heard.answers() {
		assert.Nil(t, x.back)
	}
	assert.LessOrEqual(t, len(a.trustee.line("b").in), lineRoom)
}

// Datagrams that mean nothing, or are made up, change nothing.
func TestForeignDatagrams(t *testing.T) {
	a, b, heard := pair(t)
	to := netip.MustParseAddrPort(b.at)
	from := netip.MustParseAddrPort(a.at)
	for _, data := range [][]byte{nil, {wordsKind}, frame(wordsKind, 7, []byte{0xff}), frame('?', 7, nil), frame(answerKind, 7, nil), frame(callKind, 9, nil)} {
		a.carrier.SendHandoff(to, data)
		a.trustee.heardWord(from, data)
	}
	pull := &handoff.Batch{From: handoff.Member{Name: "a", Incarnation: 1}, Version: 1, Items: []handoff.Item{{Op: handoff.OpFetch}}}
	a.carrier.SendHandoff(to, frame(wordsKind, 8, pull.Append(nil, 0)))
	a.ask("k")
	heard.waits(t, 1)
	time.Sleep(20 * time.Millisecond)
	assert.Len(t, heard.answers(), 1)
}
