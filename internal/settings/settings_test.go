package settings

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"liftshift/scheduler"
)

func TestRead_AppliesDefaults(t *testing.T) {
	s, err := Read([]byte(`{"Classes": [{"Name": "look", "Idempotency": "safe"}], "Kinds": ["big"]}`))
	require.NoError(t, err)
	want := scheduler.DefaultSettings()
	want.Classes = []scheduler.RequestClass{scheduler.DefaultClass("look", scheduler.Idempotent)}
	want.Kinds = []scheduler.ExecutorKind{scheduler.DefaultKind("big")}
	assert.Equal(t, &Settings{
		Scheduler:      want,
		AdoptionBudget: defaultAdoptionBudget,
		Executors:      ExecutorConnections{ConnectTimeoutMS: 250, IdleCloseMS: 15000, StreamsPerConn: 100},
	}, s)
}

func TestRead_TranslatesPlatformNames(t *testing.T) {
	s, err := Read([]byte(`{
		"Siblings": 3, "SlotNo": 2, "Discovery": "subscribe", "Kinds": ["a", "b"], "Odd": {"Kinds": 1},
		"Report": {"How": "pull", "Names": ["outstanding", "backlog", "x0"]},
		"Classes": [{"Name": "load", "Idempotency": "keyed", "DedupScope": "cell", "DedupWindow": 5000, "Aim": 1000,
			"AimStretch": 1.5, "HardLimit": 7000, "Worth": 0, "LateWorth": 0.1, "OneAtATime": true, "KindsOpen": [],
			"ZonesOnly": ["z"]}],
		"Bounds": {"Cancelling": true, "Probing": true, "Peers": true, "RetryAfter": true, "MaxRetryAfter": 500000,
			"ConnectTimeout": 0, "IdleClose": 2000, "StreamsPerConn": 4, "MaxAttempts": 6, "MostHeld": 9},
		"FamilyInfo": {"ClassThreads": [2], "ClassLoad": [true], "BlockedByLoads": [true], "KindCores": [8],
			"RamOfKindMb": [null, 64], "LargestShare": 0.4, "Grants": true, "TellsEvery": 3000},
		"Invariants": {"DrainGrace": 1000, "FallMultiple": 3, "Fall": 2000, "ColdFrom": 0.3, "WarmUp": 4000,
			"ExtraFloor": 5, "ExtraPerRequest": 0.2, "RatioSpan": 6000, "KeyQuiet": 7000}}`))
	require.NoError(t, err)
	budget := scheduler.RetryBudget{WindowMS: 6, Floor: 5, Share: 0.2}
	kindA, kindB := scheduler.DefaultKind("a"), scheduler.DefaultKind("b")
	kindA.Cores, kindB.MemoryMB = 8, 64
	assert.Equal(t, &Settings{
		MaxRequests:    9,
		AdoptionBudget: budget,
		Executors:      ExecutorConnections{IdleCloseMS: 2, StreamsPerConn: 4},
		Scheduler: scheduler.Settings{
			Controllers:           3,
			ControllerIndex:       2,
			SubscribesToEndpoints: true,
			Kinds:                 []scheduler.ExecutorKind{kindA, kindB},
			ReportsByProbe:        true,
			ReportNames:           []string{scheduler.ReportInFlight, scheduler.ReportQueued, scheduler.ReportMemoryShare},
			Classes: []scheduler.RequestClass{{
				Name:                   "load",
				Idempotency:            scheduler.Keyed,
				DedupScope:             scheduler.DedupCell,
				DedupWindowMS:          5,
				SoftDeadlineMS:         1,
				SoftDeadlineWorkFactor: 1.5,
				DeadlineMS:             7,
				LateValueShare:         0.1,
				InOrder:                true,
				HoldsTableGroup:        true,
				BlockedByHolders:       true,
				Threads:                2,
				Kinds:                  []string{},
				Zones:                  []string{"z"},
			}},
			MayCancel:         true,
			MayHealthCheck:    true,
			MayMessagePeers:   true,
			SendsRetryAfter:   true,
			MaxRetryAfterMS:   500,
			MaxAttempts:       6,
			MaxGrantShare:     0.4,
			HonorsGrants:      true,
			ProgressEveryMS:   3,
			DrainGraceMS:      1,
			CollapseMultiple:  3,
			CollapseWindowMS:  2,
			ColdCapacity:      0.3,
			WarmupMS:          4,
			RetryBudget:       budget,
			OrderKeyHoldoffMS: 7,
		},
	}, s)
}

func TestRead_ReportsPathOfInvalidSetting(t *testing.T) {
	for text, path := range map[string]string{
		`{"Classes": [{"Name": "look", "Idempotency": "safe", "Aim": "x"}]}`:           "Classes.Aim",
		`{"Classes": [{"Name": "look"}]}`:                                              "Classes.0.Idempotency",
		`{"Classes": [{"Name": "look", "Idempotency": "perhaps"}]}`:                    "Classes.0.Idempotency",
		`{"Classes": [{"Idempotency": "safe"}]}`:                                       "Classes.0.Name",
		`{"Classes": [{"Name": "a", "Idempotency": "keyed", "DedupScope": "planet"}]}`: "Classes.0.DedupScope",
		`{"Bounds": {"Cancelling": 1}}`:                                                "Bounds.Cancelling",
		`{"Discovery": "never"}`:                                                       "Discovery",
		`{"Report": {"How": "loudly"}}`:                                                "Report.How",
		`{"Kinds": "big"}`:                                                             "Kinds",
	} {
		_, err := Read([]byte(text))
		var settingError *Error
		if assert.ErrorAs(t, err, &settingError, text) {
			assert.Equal(t, path, settingError.Path, text)
		}
	}
	_, err := Read([]byte(`[]`))
	assert.ErrorContains(t, err, "not an object")
	_, err = Read([]byte(`{`))
	var syntaxError *json.SyntaxError
	assert.ErrorAs(t, err, &syntaxError)
	_, err = Read([]byte(`{"Classes": [{"Name": "a", "Idempotency": "safe"}, {"Name": "a", "Idempotency": "safe"}]}`))
	assert.ErrorContains(t, err, `class "a" is defined twice`)
}
