package simproto

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"liftshift/scheduler"
)

// fakeHost records what it receives. Only instance 3 accepts events.
type fakeHost struct {
	settings scheduler.Settings
	seed     uint64
	stopped  []int
	events   []scheduler.Event
	now      float64
}

// StartInstance implements Host.
func (h *fakeHost) StartInstance(_ int, seed uint64, settings scheduler.Settings) error {
	h.seed, h.settings = seed, settings
	return nil
}

// StopInstance implements Host.
func (h *fakeHost) StopInstance(instance int) error {
	h.stopped = append(h.stopped, instance)
	return nil
}

// HandleEvent implements Host.
func (h *fakeHost) HandleEvent(instance int, now float64, event *scheduler.Event) error {
	if instance != 3 {
		return io.ErrUnexpectedEOF
	}
	h.now, h.events = now, append(h.events, *event)
	return nil
}

// readBatch reads a batch of lines and returns the host that handled them and the number of the batch.
func readBatch(lines ...string) (*fakeHost, uint64, error) {
	host := &fakeHost{}
	text := "BEGIN_BATCH\tClock=1500\tseq=12\n" + strings.Join(lines, "\n") + "\nEOF_BATCH\n"
	seq, err := NewReader(strings.NewReader(strings.ReplaceAll(text, "\n\n", "\n"))).ReadBatch(host)
	return host, seq, err
}

func TestReader_ReadsEvents(t *testing.T) {
	host, seq, err := readBatch("ARRIVAL\tI=3\tHandle=t/b\tTableGroup=11\tTable=91f0\tTierClass=look\tWantMb=384\t"+
		"DropDead=8652250\tEstimate=12000\tNewThing=1", "TIMER\tI=3\tKeyBack=77",
		"VERDICT\tI=3\tHandle=t/b\tExecutor=5\tCode=completed\tSpent=18500\tOver=1\tUsedUp=69728\tLoad=1,0.5",
		"CHANGE\tI=3\tHandle=t/b\tN=1\tWhat=3\tX=2")
	assert.NoError(t, err)
	assert.Equal(t, uint64(12), seq)
	assert.Equal(t, 1.5, host.now)
	assert.Equal(t, scheduler.Event{Kind: scheduler.RequestArrived, Request: "t/b", TableGroup: 11, OrderKey: "91f0",
		Class: "look", MemoryMB: 384, Deadline: 8652.25, WorkMS: 12}, host.events[0])
	assert.Equal(t, uint64(77), host.events[1].Token)
	ended := host.events[2]
	assert.Equal(t, []any{scheduler.Succeeded, 18.5, true, 17.0, 384.0, uint32(5), []float64{1, 0.5}},
		[]any{ended.Outcome, ended.ElapsedMS, ended.Final, ended.CostMS, ended.UsedMB, ended.Executor, ended.LoadReport})
	assert.Equal(t, scheduler.Event{Kind: scheduler.ProgressReported, Request: "t/b", Attempt: 1,
		Progress: scheduler.Waiting, Value: 2}, host.events[3])
}

func TestReader_ReusesListNumbersWithinBatch(t *testing.T) {
	host, _, err := readBatch("SNAPSHOT_ROWS\tBank=2\tRecords=1",
		"ITEM\tExecutor=7\tType=a\tAvailability=active\tUpSince=2000",
		"ENDPOINTS\tI=3\tKind=restored\tBank=2", "SNAPSHOT_ROWS\tBank=2", "ENDPOINTS\tI=3\tKind=replace\tBank=2",
		"ENDPOINTS\tI=3\tKind=unavailable")
	assert.NoError(t, err)
	assert.Equal(t, scheduler.Endpoint{Executor: 7, Kind: "a", StartedAt: 2}, host.events[0].Endpoints[0])
	assert.Empty(t, host.events[1].Endpoints)
	assert.Equal(t, scheduler.ListUnavailable, host.events[2].List)
}

func TestReader_StartsInstanceWithTypedSettings(t *testing.T) {
	host, _, err := readBatch("STOP\tI=3", `ATTACH	I=3	Nonce64=9	Settings={"Siblings": 2, "Odd": [1], "Kinds": ["safe"], `+
		`"Classes": [{"Name": "safe", "Idempotency": "keyed", "Aim": 2000, "KindsOpen": ["probe"]}], `+
		`"FamilyInfo": {"ClassLoad": [true], "ClassThreads": [2]}}`)
	assert.NoError(t, err)
	assert.Equal(t, []int{3}, host.stopped)
	assert.Equal(t, scheduler.Started, host.events[0].Kind)
	want := scheduler.DefaultSettings()
	want.Controllers = 2
	want.Kinds = []scheduler.ExecutorKind{scheduler.DefaultKind("safe")}
	class := scheduler.DefaultClass("safe", scheduler.Keyed)
	class.SoftDeadlineMS, class.Kinds, class.HoldsTableGroup, class.Threads = 2, []string{"probe"}, true, 2
	want.Classes = []scheduler.RequestClass{class}
	assert.Equal(t, want, host.settings)
}

func TestReader_ReportsMalformedLines(t *testing.T) {
	for line, want := range map[string]string{
		"NONSENSE\tI=3":                                       "line 2: unknown event",
		"TIMER\tI=3\tKeyBack=x":                               "line 2: TIMER: KeyBack",
		"TIMER\tI=3\tKeyBack":                                 "line 2: TIMER: field without a name",
		"TIMER\tI=4":                                          "line 2: TIMER:",
		"VERDICT\tI=3\tHandle=t/b":                            "line 2: VERDICT: needs the fields Handle, Code",
		"VERDICT\tI=3\tHandle=t/b\tCode=fine":                 "unknown outcome",
		"ARRIVAL\tI=3\tHandle=t/b\tTierClass=x":               "needs the fields Handle, TierClass, DropDead",
		"CHANGE\tI=3\tHandle=t/b\tWhat=9":                     "unknown progress kind 9",
		"CHANGE\tI=3\tHandle=t/b\tWhat=1\tX=NaN":              "not a finite number",
		"ENDPOINTS\tI=3\tKind=update\tBank=5":                 "no endpoint list with the Bank 5",
		"ENDPOINTS\tI=3\tKind=wrong":                          "unknown list kind",
		"SNAPSHOT_ROWS\tBank=1\tRecords=2\nITEM\tExecutor=1":  "expected an ITEM line with the field Executor",
		"SNAPSHOT_ROWS\tBank=16":                              "invalid Bank 16",
		"SNAPSHOT_ROWS\tRecords=1\nITEM\tAvailability=active": "expected an ITEM line with the field Executor",
		"ATTACH\tI=3\tSettings={":                             "ATTACH: Settings",
		"ATTACH\tI=3":                                         "Settings is missing",
		"MESSAGE\tI=3\tData=%":                                "MESSAGE: Data",
	} {
		t.Run(want, func(t *testing.T) {
			_, _, err := readBatch(line)
			assert.ErrorContains(t, err, want, line)
			var lineError *LineError
			assert.ErrorAs(t, err, &lineError, line)
		})
	}
	for text, want := range map[string]string{
		"EOF_BATCH\n":                   "expected BEGIN_BATCH",
		"BEGIN_BATCH\tseq=1\n":          "Clock is missing",
		"BEGIN_BATCH\tClock=1\tseq=1\n": "no EOF_BATCH",
		"BEGIN_BATCH\tClock=1":          "input ends within a line",
	} {
		_, err := NewReader(strings.NewReader(text)).ReadBatch(&fakeHost{})
		assert.ErrorContains(t, err, want, text)
	}
	_, err := NewReader(strings.NewReader("")).ReadBatch(&fakeHost{})
	assert.Equal(t, io.EOF, err)
}

func TestAppendAction_WritesLines(t *testing.T) {
	for want, action := range map[string]scheduler.Action{
		"ASSIGN\tI=3\tHandle=t/b\tExecutor=7\n": {Kind: scheduler.Send, Request: "t/b", Executor: 7},
		"RESOURCES\tI=3\tHandle=t/b\tGrantMb=64\tPrio=2\n": {
			Kind: scheduler.SetResources, Request: "t/b", GrantMB: 64, Level: 2},
		"CALL_OFF\tI=3\tHandle=t/b\tN=1\n":            {Kind: scheduler.Cancel, Request: "t/b", Attempt: 1},
		"TURN_AWAY\tI=3\tHandle=t/b\tComeBack=2500\n": {Kind: scheduler.Reject, Request: "t/b", AfterMS: 2.5},
		"TURN_AWAY\tI=3\tHandle=t/b\n":                {Kind: scheduler.Reject, Request: "t/b"},
		"REPORT_FAILURE\tI=3\tHandle=t/b\n":           {Kind: scheduler.Fail, Request: "t/b"},
		"SLEEP\tI=3\tDelay=20000\tKeyBack=0\n":        {Kind: scheduler.SetTimer, AfterMS: 20},
		"PROBE\tI=3\tExecutor=7\n":                    {Kind: scheduler.HealthCheck, Executor: 7},
		"LISTEN\tI=3\tActive=1\n":                     {Kind: scheduler.Subscribe},
		"SHARE\tI=3\tDest=*\tData=AQI=\n":             {Kind: scheduler.SendPeer, Peer: -1, Payload: []byte{1, 2}},
		"SHARE\tI=3\tDest=4\tData=AQ==\n":             {Kind: scheduler.SendPeer, Peer: 4, Payload: []byte{1}},
		"LOG\tI=3\tBodyText=two known\n":              {Kind: scheduler.Log, Text: "two known"},
	} {
		assert.Equal(t, want, string(AppendAction(nil, 3, &action)))
	}
	assert.Equal(t, "FINISHED\tseq=12\n", string(AppendBatchEnd(nil, 12)))
}
