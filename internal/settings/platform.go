package settings

import (
	"fmt"
	"maps"
	"slices"

	"liftshift/scheduler"
)

// usPerMS converts the platform's times, which are microseconds, to milliseconds.
const usPerMS = 1000

// platformSettings is the JSON object of the platform's settings. All times are microseconds. A field is a pointer
// where a missing value differs from zero.
type platformSettings struct {
	Controllers     *float64        `json:"Siblings"`
	ControllerIndex *float64        `json:"SlotNo"`
	Kinds           []string        `json:"Kinds"`
	Classes         []platformClass `json:"Classes"`

	Discovery string `json:"Discovery"`
	Report    struct {
		Delivery string   `json:"How"`
		Names    []string `json:"Names"`
	} `json:"Report"`

	// Bounds says which actions are allowed and limits them.
	Bounds struct {
		MayCancel       bool     `json:"Cancelling"`
		MayHealthCheck  bool     `json:"Probing"`
		MayMessagePeers bool     `json:"Peers"`
		SendsRetryAfter bool     `json:"RetryAfter"`
		MaxRetryAfter   float64  `json:"MaxRetryAfter"`
		ConnectTimeout  *float64 `json:"ConnectTimeout"`
		IdleClose       *float64 `json:"IdleClose"`
		StreamsPerConn  *float64 `json:"StreamsPerConn"`
		MaxAttempts     *float64 `json:"MaxAttempts"`
		MaxRequests     float64  `json:"MostHeld"`
	} `json:"Bounds"`

	// Deployment describes the request classes and the executor kinds, each list in the order of Classes or Kinds.
	Deployment struct {
		ClassThreads          []*float64 `json:"ClassThreads"`
		ClassHoldsTableGroup  []bool     `json:"ClassLoad"`
		ClassBlockedByHolders []bool     `json:"BlockedByLoads"`
		KindCores             []*float64 `json:"KindCores"`
		KindMemoryMB          []*float64 `json:"RamOfKindMb"`
		MaxGrantShare         *float64   `json:"LargestShare"`
		HonorsGrants          bool       `json:"Grants"`
		ProgressInterval      float64    `json:"TellsEvery"`
	} `json:"FamilyInfo"`

	// Invariants holds the rules for draining, warm-up and overload of executors, for retries and for order keys.
	Invariants struct {
		DrainGrace       float64  `json:"DrainGrace"`
		CollapseMultiple *float64 `json:"FallMultiple"`
		CollapseWindow   *float64 `json:"Fall"`
		ColdCapacity     *float64 `json:"ColdFrom"`
		Warmup           float64  `json:"WarmUp"`
		RetryFloor       *float64 `json:"ExtraFloor"`
		RetryShare       *float64 `json:"ExtraPerRequest"`
		RetryWindow      *float64 `json:"RatioSpan"`
		OrderKeyHoldoff  float64  `json:"KeyQuiet"`
	} `json:"Invariants"`
}

// platformClass is the JSON object of one request class.
type platformClass struct {
	Name                   string   `json:"Name"`
	Idempotency            string   `json:"Idempotency"`
	DedupScope             string   `json:"DedupScope"`
	DedupWindow            float64  `json:"DedupWindow"`
	SoftDeadline           float64  `json:"Aim"`
	SoftDeadlineWorkFactor float64  `json:"AimStretch"`
	Deadline               float64  `json:"HardLimit"`
	Value                  *float64 `json:"Worth"`
	LateValueShare         float64  `json:"LateWorth"`
	InOrder                bool     `json:"OneAtATime"`
	Kinds                  []string `json:"KindsOpen"`
	Zones                  []string `json:"ZonesOnly"`
}

// These maps translate the platform's words. An empty word stands for a missing setting.
var (
	idempotencyByWord = map[string]scheduler.Idempotency{
		"safe":   scheduler.Idempotent,
		"keyed":  scheduler.Keyed,
		"unsafe": scheduler.NonIdempotent,
	}
	dedupScopesByWord = map[string]scheduler.DedupScope{
		"":     scheduler.DedupNone,
		"all":  scheduler.DedupAll,
		"zone": scheduler.DedupZone,
		"cell": scheduler.DedupCell,
	}
	// subscribesByWord says whether the controller has to subscribe to the endpoint list.
	subscribesByWord = map[string]bool{"": false, "automatic": false, "subscribe": true}
	// reportsByProbeByWord says whether load reports come only with the results of health checks.
	reportsByProbeByWord = map[string]bool{"": false, "silent": false, "piggyback": false, "pull": true}
	reportNamesByWord    = map[string]string{
		"outstanding": scheduler.ReportInFlight,
		"backlog":     scheduler.ReportQueued,
	}
)

// lookup returns the value of a word, or an *Error for the setting at path if the word is unknown.
func lookup[T any](valuesByWord map[string]T, path, word string) (T, error) {
	value, ok := valuesByWord[word]
	if !ok {
		words := slices.Sorted(maps.Keys(valuesByWord))
		return value, &Error{Path: path, Want: fmt.Sprintf("one of %q", words), Got: fmt.Sprintf("%q", word)}
	}
	return value, nil
}

// valueOr returns a number, or the fallback if it is missing.
func valueOr(value *float64, fallback float64) float64 {
	if value == nil {
		return fallback
	}
	return *value
}

// millisecondsOr converts microseconds to milliseconds, or returns the fallback, in milliseconds, if they are missing.
func millisecondsOr(microseconds *float64, fallbackMS float64) float64 {
	if microseconds == nil {
		return fallbackMS
	}
	return *microseconds / usPerMS
}

// elementOrZero returns the element at an index, or the zero value past the end of the list.
func elementOrZero[T any](list []T, index int) (value T) {
	if index < len(list) {
		value = list[index]
	}
	return value
}
