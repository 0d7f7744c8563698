// Package settings turns the settings of the platform, as both adapters get them, into the plain map of names and
// values that package rules reads. The platform's names for them end here.
package settings

import (
	"encoding/json"
	"fmt"

	"liftshift/scheduler"
)

// usPerMS is the settings' unit of time: microseconds.
const usPerMS = 1000

// renamed gives our name for each setting that we read, under its path on the wire. A setting with "_ms" at
// the end of our name is a time. A star stands for the place in a list.
var renamed = map[string]string{
	"Siblings": "controllers", "SlotNo": "slot", "Resolution": "beat_ms", "Discovery": "list_comes",
	"Zone":              "place",
	"Bounds.Cancelling": "may_call_off", "Bounds.Probing": "may_probe", "Bounds.Peers": "may_tell", "Bounds.ParallelTries": "may_run_two",
	"Bounds.RetryAfter": "tells_come_back", "Bounds.MaxRetryAfter": "longest_come_back_ms",
	"Bounds.ConnectTimeout": "connect_ms", "Bounds.IdleClose": "idle_close_ms",
	"Bounds.StreamsPerConn": "shots_per_connection",
	"Bounds.MaxAttempts":    "most_shots", "Bounds.MostHeld": "most_held", "Callers.MarksRetry": "marks_repeats",
	"Classes.*.Name": "offering.*.name", "Classes.*.Idempotency": "offering.*.effect",
	"Classes.*.DedupScope": "offering.*.scope", "Classes.*.DedupWindow": "offering.*.window_ms",
	"Classes.*.Aim": "offering.*.due_ms", "Classes.*.AimStretch": "offering.*.due_stretch",
	"Classes.*.HardLimit": "offering.*.limit_ms", "Classes.*.Worth": "offering.*.gain",
	"Classes.*.LateWorth": "offering.*.late_share", "Classes.*.OneAtATime": "offering.*.in_order",
	"Classes.*.KindsOpen": "offering.*.kinds", "Classes.*.ZonesOnly": "offering.*.places",
	"Classes.*.Stream": "offering.*.stream", "FamilyInfo.ClassThreads.*": "offering.*.threads",
	"FamilyInfo.ClassLoad.*":      "offering.*.holds_group",
	"FamilyInfo.BlockedByLoads.*": "offering.*.stands_behind",
	"FamilyInfo.KindCores.*":      "kind.*.cores", "FamilyInfo.RamOfKindMb.*": "kind.*.ram_mb",
	"Kinds.*":                 "kind.*.name",
	"FamilyInfo.LargestShare": "largest_share", "FamilyInfo.Grants": "grants",
	"FamilyInfo.Priorities": "priorities",
	"FamilyInfo.TellsEvery": "told_every_ms", "FamilyInfo.TellsCost": "tells_cost",
	"FamilyInfo.MemoryShort": "memory_short", "Report.Names": "report", "Report.How": "report_comes",
	"Invariants.DrainGrace": "drain_grace_ms", "Invariants.AnswerSlack": "answer_slack_ms",
	"Invariants.FallMultiple": "fall_multiple", "Invariants.Fall": "fall_ms", "Invariants.ColdFrom": "cold_from",
	"Invariants.WarmUp": "warm_up_ms", "Invariants.ExtraFloor": "ration_floor",
	"Invariants.ExtraPerRequest": "ration_share", "Invariants.RatioSpan": "ration_span_ms",
	"Invariants.KeyQuiet": "key_rest_ms",
}

// worded gives our word for texts that are words of the wire.
var worded = map[string]string{
	"safe": "redoable", "keyed": "labelled", "unsafe": "irreversible", "subscribe": "asked",
	"automatic": "pushed",
	"pull":      "probes", "piggyback": "outcomes", "silent": "none", "line_up": "line", "overcommit": "page",
	"outstanding": "inflight", "backlog": "queue",
}

// Word gives our word for a word of the wire.
func Word(s string) string {
	if w, ok := worded[s]; ok {
		return w
	}
	return s
}

// translated tells which settings carry words of the wire; the others hold names, which stay as they are.
var translated = map[string]bool{
	"offering.*.effect": true, "list_comes": true, "report_comes": true, "memory_short": true, "report": true,
}

// Read flattens the settings, a JSON object, into our names. Unknown ones are skipped.
func Read(text []byte) (scheduler.Given, error) {
	var tree any
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	if _, ok := tree.(map[string]any); !ok {
		return nil, fmt.Errorf("not an object")
	}
	out := scheduler.Given{}
	return out, flatten(out, tree, "", "")
}

func flatten(out scheduler.Given, v any, path, place string) error {
	name, known := renamed[path]
	if known {
		ours := name
		if place != "" {
			ours = replaceStar(name, place)
		}
		if v, ok := value(v, name); ok {
			out[ours] = v
			return nil
		}
		return fmt.Errorf("%s: unexpected value %v", path, v)
	}
	switch v := v.(type) {
	case map[string]any:
		for k, w := range v {
			p := k
			if path != "" {
				p = path + "." + k
			}
			if err := flatten(out, w, p, place); err != nil {
				return err
			}
		}
	case []any:
		for i, w := range v {
			if err := flatten(out, w, path+".*", fmt.Sprint(i)); err != nil {
				return err
			}
		}
	}
	return nil
}

func replaceStar(name, place string) string {
	for i := range name {
		if name[i] == '*' {
			return name[:i] + place + name[i+1:]
		}
	}
	return name
}

func value(v any, name string) (any, bool) {
	word := func(s string) string {
		if translated[name] {
			return Word(s)
		}
		return s
	}
	switch v := v.(type) {
	case float64:
		if len(name) > 3 && name[len(name)-3:] == "_ms" {
			return v / usPerMS, true
		}
		return v, true
	case bool:
		return v, true
	case string:
		return word(v), true
	case nil:
		return nil, true
	case []any:
		list := make([]string, 0, len(v))
		for _, w := range v {
			s, ok := w.(string)
			if !ok {
				return nil, false
			}
			list = append(list, word(s))
		}
		return list, true
	}
	return nil, false
}
