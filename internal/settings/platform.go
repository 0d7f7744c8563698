package settings

import (
	"fmt"

	"liftshift/scheduler"
)

// usPerMS is the unit of time of the platform's settings: microseconds.
const usPerMS = 1000

// platform is the JSON of the platform's settings. Pointers tell what is missing from what is zero.
type platform struct {
	Siblings *float64 `json:"Siblings"`
	SlotNo   *float64 `json:"SlotNo"`
	Kinds    []string `json:"Kinds"`
	Classes  []class  `json:"Classes"`

	Discovery string `json:"Discovery"`
	Report    struct {
		How   string   `json:"How"`
		Names []string `json:"Names"`
	} `json:"Report"`

	Bounds struct {
		Cancelling     bool     `json:"Cancelling"`
		Probing        bool     `json:"Probing"`
		Peers          bool     `json:"Peers"`
		RetryAfter     bool     `json:"RetryAfter"`
		MaxRetryAfter  float64  `json:"MaxRetryAfter"`
		ConnectTimeout *float64 `json:"ConnectTimeout"`
		IdleClose      *float64 `json:"IdleClose"`
		StreamsPerConn *float64 `json:"StreamsPerConn"`
		MaxAttempts    *float64 `json:"MaxAttempts"`
		MostHeld       float64  `json:"MostHeld"`
	} `json:"Bounds"`

	FamilyInfo struct {
		ClassThreads   []*float64 `json:"ClassThreads"`
		ClassLoad      []bool     `json:"ClassLoad"`
		BlockedByLoads []bool     `json:"BlockedByLoads"`
		KindCores      []*float64 `json:"KindCores"`
		RAMOfKindMB    []*float64 `json:"RamOfKindMb"`
		LargestShare   *float64   `json:"LargestShare"`
		Grants         bool       `json:"Grants"`
		TellsEvery     float64    `json:"TellsEvery"`
	} `json:"FamilyInfo"`

	Invariants struct {
		DrainGrace      float64  `json:"DrainGrace"`
		FallMultiple    *float64 `json:"FallMultiple"`
		Fall            *float64 `json:"Fall"`
		ColdFrom        *float64 `json:"ColdFrom"`
		WarmUp          float64  `json:"WarmUp"`
		ExtraFloor      *float64 `json:"ExtraFloor"`
		ExtraPerRequest *float64 `json:"ExtraPerRequest"`
		RatioSpan       *float64 `json:"RatioSpan"`
		KeyQuiet        float64  `json:"KeyQuiet"`
	} `json:"Invariants"`
}

// class is one request class as the platform names it.
type class struct {
	Name        string   `json:"Name"`
	Idempotency string   `json:"Idempotency"`
	DedupScope  string   `json:"DedupScope"`
	DedupWindow float64  `json:"DedupWindow"`
	Aim         float64  `json:"Aim"`
	AimStretch  float64  `json:"AimStretch"`
	HardLimit   float64  `json:"HardLimit"`
	Worth       *float64 `json:"Worth"`
	LateWorth   float64  `json:"LateWorth"`
	OneAtATime  bool     `json:"OneAtATime"`
	KindsOpen   []string `json:"KindsOpen"`
	ZonesOnly   []string `json:"ZonesOnly"`
}

// The platform's words for what the program has typed values for.
var (
	effects = map[string]scheduler.Effect{
		"safe": scheduler.Idempotent, "keyed": scheduler.Keyed, "unsafe": scheduler.NonIdempotent}
	scopes = map[string]scheduler.DedupScope{
		"": scheduler.DedupNone, "all": scheduler.DedupAll, "zone": scheduler.DedupZone, "cell": scheduler.DedupCell}
	subscribes     = map[string]bool{"": false, "automatic": false, "subscribe": true}
	reportsByProbe = map[string]bool{"": false, "silent": false, "piggyback": false, "pull": true}
	reportNames    = map[string]string{"outstanding": scheduler.ReportInFlight, "backlog": scheduler.ReportQueued}
)

// lookup returns what a word of the platform stands for.
func lookup[T any](words map[string]T, path, word string) (T, error) {
	value, ok := words[word]
	if !ok {
		return value, &Error{Path: path, Want: "a word that this program knows", Got: fmt.Sprintf("%q", word)}
	}
	return value, nil
}

// number returns a value, or a fallback where it is missing.
func number(value *float64, fallback float64) float64 {
	if value == nil {
		return fallback
	}
	return *value
}

// milliseconds returns a time, or a fallback where it is missing.
func milliseconds(us *float64, fallback float64) float64 {
	if us == nil {
		return fallback
	}
	return *us / usPerMS
}

// at returns the value at k, or the zero value past the end.
func at[T any](list []T, k int) (value T) {
	if k < len(list) {
		value = list[k]
	}
	return value
}
