package wire

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/internal/dispatch"
	"liftshift/internal/ledger"
	"liftshift/scheduler"
)

// door is a front with an offering of each kind, and one client.
func door(t *testing.T, doors ServerLimits) (*ClientServer, mailbox, net.Conn, *bufio.Reader) {
	m := make(mailbox, 100)
	if doors.Clients == 0 {
		doors.Clients = 5
	}
	doors.AnswerBudget = NewByteBudget(1 << 20)
	if doors.BodyBudget == nil {
		doors.BodyBudget = NewByteBudget(1 << 20)
	}
	f, err := NewClientServer("127.0.0.1:0", map[string]ClassLimits{"look": {}, "load": {Keyed: true}}, m, dispatch.NewClock(),
		doors, silentLog())
	require.NoError(t, err)
	go f.Run()
	t.Cleanup(func() { f.Stop(0) })
	c, r := dial(t, f)
	return f, m, c, r
}

func dial(t *testing.T, f *ClientServer) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", f.listener.Addr().String())
	require.NoError(t, err)
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

func ask(c net.Conn, text string) { fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", len(text), text) }

func look(id int, req string) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"look","params":{"req":"%s","timeout":1500,"ms":82,"ram":96,`+
		`"data":"U0VMRUNUIDEgRlJPTSBzYWxlc18xNy50"}}`, id, req)
}

func answered(t *testing.T, r *bufio.Reader, want string) {
	t.Helper()
	got, err := readMessage(r, nil)
	require.NoError(t, err)
	assert.JSONEq(t, want, string(got))
}

func TestARequestComesInAndIsAnsweredOnce(t *testing.T) {
	f, m, c, r := door(t, ServerLimits{})
	ask(c, look(7, "a1"))
	s := m.next(t).Request
	assert.Equal(t, []any{"a1", "look", uint64(17), 96.0, 82.0, "SELECT 1 FROM sales_17.t"},
		[]any{s.ID, s.Class, s.TableGroup, s.MemoryMB, s.WorkMS, string(s.Body)})
	assert.InDelta(t, f.clock.Now()+1500, s.Deadline, 1400)
	s.Client.Succeeded(s.Tag, []byte("x\n"))
	s.Client.Rejected(s.Tag, 5)
	answered(t, r, `{"jsonrpc":"2.0","id":7,"result":{"data":"eAo="}}`)
	for id, give := range map[int]func(*dispatch.Request){8: func(s *dispatch.Request) { s.Client.Rejected(s.Tag, 200) },
		9: func(s *dispatch.Request) { s.Client.Failed(s.Tag) }} {
		ask(c, look(id, "b"))
		give(m.next(t).Request)
		got, _ := readMessage(r, nil)
		assert.Contains(t, string(got), map[int]string{8: `"code":-32008,"message":"denied","data":{"holdoff":200}`,
			9: `"code":-32000`}[id])
	}
	assert.Zero(t, f.bodies.Held())
}

// A bad request gets an error and costs no other on its connection.
func TestBadRequestsCostNoOther(t *testing.T) {
	_, m, c, r := door(t, ServerLimits{})
	ask(c, look(1, "a"))
	s := m.next(t).Request
	for _, bad := range []string{`{`, `[]`, `{"jsonrpc":"2.0","id":4,"method":"none"}`, look(1, "again"), look(5, "no good"),
		`{"jsonrpc":"2.0","method":"look","params":{}}`, strings.Replace(look(6, "b"), "look", "load", 1)} {
		ask(c, bad)
		got, err := readMessage(r, nil)
		assert.NoError(t, err)
		assert.Contains(t, string(got), `"error"`, bad)
		assert.NotContains(t, string(got), `"id":1,`, "it would pass for the answer of the first")
	}
	ask(c, `{"jsonrpc":"2.0","id":"p","method":"probe"}`)
	answered(t, r, `{"jsonrpc":"2.0","id":"p","result":{"fit":false}}`)
	s.Client.Succeeded(s.Tag, nil)
	answered(t, r, `{"jsonrpc":"2.0","id":1,"result":{"data":""}}`)
	assert.Empty(t, m)
}

// Who sends what can't be read is told at once, and nobody waits for what is open there: an answer that came later
// would pass for a good one, and the connection would be kept for as long as the longest request.
func TestLostFramingFailsWhatIsOpenAndEndsTheConnection(t *testing.T) {
	f, m, c, r := door(t, ServerLimits{})
	for _, bad := range []string{"no head\r\n\r\n", "Content-Length: 60000000\r\n\r\n", "Content-Length: -1\r\n\r\n"} {
		ask(c, look(1, "a"))
		s := m.next(t).Request
		fmt.Fprint(c, bad+strings.Repeat("x", 1000))
		answered(t, r, `{"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"framing lost"}}`)
		answered(t, r, `{"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"framing lost"}}`)
		assert.Equal(t, scheduler.ClientLeft, m.next(t).Event.Kind, "its shots are called off")
		s.Client.Succeeded(s.Tag, nil)
		_, err := r.ReadByte()
		assert.Error(t, err)
		c, r = dial(t, f)
	}
	for id := range mostFaults { // the same again as soon as it is turned away
		ask(c, fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"none"}`, id+1))
		_, err := readMessage(r, nil)
		assert.NoError(t, err)
	}
	answered(t, r, `{"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"framing lost"}}`)
	assert.Zero(t, f.bodies.Held())
}

// Silent and half-open connections cost usual clients nothing: they end soon, and give way before that.
func TestSilentConnectionsEndAndGiveWay(t *testing.T) {
	f, m, c, r := door(t, ServerLimits{Clients: 3})
	ask(c, look(1, "a"))
	s := m.next(t).Request
	began := time.Now()
	silent, _ := dial(t, f)
	half, _ := dial(t, f)
	fmt.Fprint(half, "Content-Length: 100\r\n\r\n{")
	late, rl := dial(t, f) // no place: the silent one gives way at once
	ask(late, `{"jsonrpc":"2.0","id":1,"method":"probe"}`)
	answered(t, rl, `{"jsonrpc":"2.0","id":1,"result":{"fit":false}}`)
	assert.Less(t, time.Since(began), clientWhole/2)
	_, err := silent.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, []uint64{1, 0}, []uint64{f.Evicted.Load(), f.Pauses.Load()})
	got, _ := readMessage(bufio.NewReader(half), nil)
	assert.Contains(t, string(got), "error")
	assert.Less(t, time.Since(began), 3*time.Second)
	s.Client.Succeeded(s.Tag, nil)
	answered(t, r, `{"jsonrpc":"2.0","id":1,"result":{"data":""}}`)
	old := &client{front: f, seen: time.Now().Add(-clientQuiet)}
	assert.NoError(t, (&client{front: f, seen: time.Now()}).stale())
	assert.ErrorIs(t, old.stale(), errClosed, "asked once and stayed")
	assert.Equal(t, codeDenied, old.enter(&pending{}).code, "what crosses the close is not taken")
	assert.False(t, old.depart())
}

func TestGivingUpAndClosingEndRequests(t *testing.T) {
	_, m, c, r := door(t, ServerLimits{})
	var open []*dispatch.Request
	for id := 1; id < 5; id++ {
		ask(c, look(id, fmt.Sprint("a", id)))
		open = append(open, m.next(t).Request)
	}
	for _, give := range []string{`{"jsonrpc":"2.0","method":"giveUp","params":{"req":"a1"}}`,
		`{"jsonrpc":"2.0","id":2,"method":"giveUp"}`, `{"jsonrpc":"2.0","id":77,"method":"giveUp","params":{"id":3}}`} {
		ask(c, give)
		it := m.next(t)
		assert.Equal(t, []any{scheduler.ClientLeft, open[0].ID, open[0].Tag}, []any{it.Event.Kind, it.Event.Request, it.Token})
		open[0].Client.Succeeded(open[0].Tag, nil) // too late: no answer is owed
		open = open[1:]
	}
	answered(t, r, `{"jsonrpc":"2.0","id":77,"result":{}}`)
	c.Close()
	assert.Equal(t, "a4", m.next(t).Event.Request)
}

func TestPlacesAreBounded(t *testing.T) {
	f, m, c, r := door(t, ServerLimits{Clients: 2, BodyBudget: NewByteBudget(60), RetryAfterMS: 300})
	ask(c, look(1, "a"))
	s := m.next(t).Request
	ask(c, strings.Replace(look(2, "b"), "U0VM", strings.Repeat("U0VM", 20), 1)) // more bytes than may be open
	got, _ := readMessage(r, nil)
	assert.Contains(t, string(got), `-32008,"message":"too much is open here","data":{"holdoff":300}`)
	s.Client.Failed(s.Tag)
	_, _ = readMessage(r, nil)
	ask(c, look(4, "d"))
	m.next(t)
	busy, _ := dial(t, f)
	ask(busy, look(5, "e"))
	m.next(t)
	waits, rw := dial(t, f) // no place, and nobody idle: it has its turn once another leaves
	ask(waits, look(3, "c"))
	assert.Eventually(t, func() bool { return f.Pauses.Load() > 0 }, 3*time.Second, time.Millisecond)
	assert.Empty(t, m)
	c.Close()
	assert.Equal(t, scheduler.ClientLeft, m.next(t).Event.Kind)
	s = m.next(t).Request
	s.Client.Succeeded(s.Tag, nil)
	answered(t, rw, `{"jsonrpc":"2.0","id":3,"result":{"data":""}}`)
}

func TestAConnectionCarriesSoManyRequests(t *testing.T) {
	_, m, c, r := door(t, ServerLimits{})
	for id := 1; id <= mostOpen+1; id++ {
		ask(c, look(id, fmt.Sprint("a", id)))
	}
	got, _ := readMessage(r, nil)
	assert.Contains(t, string(got), fmt.Sprintf(`"id":%d,"error":{"code":-32008`, mostOpen+1))
	assert.Len(t, m, mostOpen)
}

// Who doesn't read must not fill the memory: past its room it is cut off, and what it holds is given back.
func TestASlowReaderIsCutOff(t *testing.T) {
	f, m, c, _ := door(t, ServerLimits{})
	page := make([]byte, 48000)
	cut := false
	for id := 1; id < 500 && !cut; id++ {
		ask(c, look(id, fmt.Sprint("a", id)))
		select {
		case it := <-m:
			cut = it.Event.Kind == scheduler.ClientLeft
			if !cut {
				it.Request.Client.Succeeded(it.Request.Tag, page)
			}
		case <-time.After(2500 * time.Millisecond):
			cut = true
		}
		assert.LessOrEqual(t, f.answers.Held(), int64(2<<20))
	}
	assert.True(t, cut)
	assert.Eventually(t, func() bool { return f.answers.Held() == 0 }, 5*time.Second, time.Millisecond)
}

// Clients and connections are always new: what was kept for them ends with them.
func TestNothingIsKeptOfClientsThatAreGone(t *testing.T) {
	f, m, first, _ := door(t, ServerLimits{Clients: 10})
	first.Close()
	for n := range 100 {
		c, r := dial(t, f)
		ask(c, look(1, fmt.Sprint("a", n)))
		s := m.next(t).Request
		if n%2 == 0 {
			s.Client.Succeeded(s.Tag, nil)
			_, _ = readMessage(r, nil)
		}
		c.Close()
		if n%2 == 1 {
			assert.Equal(t, scheduler.ClientLeft, m.next(t).Event.Kind)
		}
	}
	assert.Eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.clients) == 0 && len(f.places) == 0
	}, 3*time.Second, time.Millisecond)
	assert.Zero(t, f.bodies.Held()+f.answers.Held())
}

// A client learns what became of a request by its id or its mark, where outcomes are kept; a call that can't be used gets an
// error, and nothing is opened by any of them.
func TestAClientAsksForAnOutcome(t *testing.T) {
	f, m, c, r := door(t, ServerLimits{ServeOutcomes: true})
	call := func(params string) string {
		return `{"jsonrpc":"2.0","id":4,"method":"outcome","params":` + params + `}`
	}
	ask(c, call(`{"req":"a1"}`))
	it := m.next(t)
	assert.Equal(t, []string{"a1", ""}, []string{it.Query.ID, it.Query.IdempotencyKey})
	it.Query.Reply(ledger.Effect{Outcome: ledger.Succeeded, AgeMS: 1520.7, Body: []byte("x\n")})
	answered(t, r, `{"jsonrpc":"2.0","id":4,"result":{"outcome":"handled","age":1520,"data":"eAo="}}`)
	ask(c, call(`{"opkey":"k9"}`))
	it = m.next(t)
	assert.Equal(t, []string{"", "k9"}, []string{it.Query.ID, it.Query.IdempotencyKey})
	it.Query.Reply(ledger.Effect{})
	answered(t, r, `{"jsonrpc":"2.0","id":4,"result":{"outcome":"unknown"}}`)
	for _, params := range []string{`{}`, `{"req":"a","opkey":"b"}`, `{"req":3}`, `[]`, `{"req":"a b"}`} {
		ask(c, call(params))
		got, err := readMessage(r, nil)
		require.NoError(t, err)
		assert.Contains(t, string(got), `"code":-32602`, params)
	}
	assert.Empty(t, m)
	_, _, c, r = door(t, ServerLimits{})
	ask(c, call(`{"req":"a1"}`))
	got, err := readMessage(r, nil)
	require.NoError(t, err)
	assert.Contains(t, string(got), `"code":-32601`, "off where nothing is kept")
	assert.Zero(t, f.bodies.Held())
}

// What is read after a stand-still of this process may have come as that began: its time counts from there, so that nobody is
// told a later deadline than the client has.
func TestADeadlineCountsFromBeforeAStandStill(t *testing.T) {
	f, m, c, _ := door(t, ServerLimits{Arrival: func(now float64) float64 { return now - 700 }})
	now := f.clock.Now()
	ask(c, look(1, "a"))
	assert.InDelta(t, now+1500-700, m.next(t).Request.Deadline, 200)
}

// A request may stand in the system for long before its connection is accepted, or before anybody has time to read it: its time counts
// from when it came there.
func TestARequestThatWaitedToBeAcceptedLosesThatTime(t *testing.T) {
	f, m, busy, _ := door(t, ServerLimits{Clients: 1})
	ask(busy, look(1, "a"))
	m.next(t)
	waits, _ := dial(t, f)
	ask(waits, look(2, "b"))
	came := f.clock.Now()
	time.Sleep(600 * time.Millisecond)
	busy.Close()
	it := m.next(t)
	for it.Request == nil {
		it = m.next(t)
	}
	assert.InDelta(t, came+1500, it.Request.Deadline, 100)
}

// Where all places are taken by clients that wait for answers, the next one waits only until one of them has its answer and rests.
func TestAClientThatWaitsForAPlaceGetsThatOfOneThatComesToRest(t *testing.T) {
	f, m, busy, r := door(t, ServerLimits{Clients: 1})
	ask(busy, look(1, "a"))
	first := m.next(t).Request
	waits, _ := dial(t, f)
	ask(waits, look(2, "b"))
	require.Eventually(t, func() bool { return f.Pauses.Load() > 0 }, 3*time.Second, time.Millisecond)
	first.Client.Succeeded(first.Tag, nil)
	answered(t, r, `{"jsonrpc":"2.0","id":1,"result":{"data":""}}`)
	go func() { // as clients do that find their connection ended
		_, _ = r.ReadByte()
		busy.Close()
	}()
	began := time.Now()
	assert.Equal(t, "b", m.next(t).Request.ID)
	assert.Less(t, time.Since(began), 200*time.Millisecond)
}

// A request on a connection that waits for a place, or that the system has accepted and nobody else, is refused at a planned stop: it has
// been taken, and is not closed with no answer.
func TestWhatWaitsForAPlaceIsRefusedAtTheStop(t *testing.T) {
	f, m, busy, _ := door(t, ServerLimits{Clients: 1})
	ask(busy, look(1, "a"))
	m.next(t)
	var readers []*bufio.Reader
	for id := range 3 { // one waits for a place, the others in the system
		c, r := dial(t, f)
		ask(c, look(id+2, fmt.Sprint("b", id)))
		readers = append(readers, r)
	}
	require.Eventually(t, func() bool { return f.Pauses.Load() > 0 }, 3*time.Second, time.Millisecond)
	f.Drain()
	for k, r := range readers {
		got, err := readMessage(r, nil)
		if assert.NoError(t, err, "%d", k) {
			assert.Contains(t, string(got), fmt.Sprintf(`"id":%d,"error":{"code":-32008`, k+2))
			_, err = r.ReadByte()
			assert.ErrorIs(t, err, io.EOF)
		}
	}
	assert.Empty(t, m)
}
