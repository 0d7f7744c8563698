package main

// second is a second in the settings' unit.
const second = 1000000

// officeSettings returns the settings of kurume-office at its first size, with the figures of the briefs.
func officeSettings() object {
	return object{
		"Bounds": object{
			"Cancelling": true, "ConnectTimeout": 250000, "IdleClose": 15 * second, "MaxAttempts": 6,
			"MaxRetryAfter": 500000, "MostHeld": 20000, "ParallelTries": true, "Peers": true, "Probing": true,
			"RetryAfter": true, "StreamsPerConn": 100,
		},
		"Callers": object{"MarksRetry": false},
		"Classes": []object{
			{"Name": "lookup", "Idempotency": "safe", "DedupScope": "all", "DedupWindow": 5 * second, "Aim": second,
				"AimStretch": 1.5, "HardLimit": 5 * second, "LateWorth": 0.1, "Worth": 1.0, "Stream": false},
			{"Name": "report", "Idempotency": "safe", "DedupScope": "all", "DedupWindow": 5 * second, "Aim": 3 * second,
				"AimStretch": 2.5, "HardLimit": 20 * second, "LateWorth": 0.4, "Worth": 8.0, "Stream": false,
				"KindsOpen": []string{"type-a"}},
			{"Name": "load", "Idempotency": "keyed", "DedupScope": "all", "DedupWindow": 20 * second, "Aim": 4 * second,
				"AimStretch": 3.0, "HardLimit": 20 * second, "LateWorth": 0.5, "Worth": 10.0, "Stream": false},
		},
		"Discovery": "automatic", "Family": "queries",
		"FamilyInfo": object{
			"BlockedByLoads": []bool{true, false, false}, "ClassLoad": []bool{false, false, true},
			"ClassThreads": []int{1, 2, 2}, "Grants": true, "KindCores": []int{8, 8}, "LargestShare": 0.4,
			"MemoryShort": "line_up", "Priorities": true, "RamOfKindMb": []float64{16384, 16384}, "TellsCost": false,
			"TellsEvery": 500000,
		},
		"Invariants": object{
			"AnswerSlack": 20000, "AskWithin": 10 * second, "ColdFrom": 0.3, "DrainGrace": 500000, "ExtraFloor": 3.0,
			"ExtraPerRequest": 0.1, "Fall": 2 * second, "FallMultiple": 3.0, "RatioSpan": 10 * second,
			"WarmUp": 14 * second,
		},
		"Kinds": []string{"type-a", "type-b"}, "OverShareWorth": 0.1, "Realms": []object{},
		"Report": object{"How": "silent", "Names": []string{}}, "Resolution": 5000, "Tier": 0,
		"Tiers": []string{"library-engines"}, "ValueBy": "request", "Weights": "rough", "Zone": "kurume-1",
		"Zones": []string{"kurume-1"},
	}
}

// archiveSettings returns the settings of budapest-archive, with the figures of its brief.
func archiveSettings() object {
	return object{
		"Bounds": object{
			"Cancelling": true, "ConnectTimeout": 250000, "IdleClose": 15 * second, "MaxAttempts": 3,
			"MaxRetryAfter": 500000, "MostHeld": 20000, "ParallelTries": false, "Peers": true, "Probing": false,
			"RetryAfter": true, "StreamsPerConn": 100,
		},
		"Callers": object{"MarksRetry": false},
		"Classes": []object{
			{"Name": "lookup", "Idempotency": "safe", "Aim": 600000, "AimStretch": 1.5, "HardLimit": 3 * second,
				"LateWorth": 0.5, "Worth": 1.0, "Stream": false},
			{"Name": "report", "Idempotency": "safe", "Aim": 2 * second, "AimStretch": 2.5, "HardLimit": 20 * second,
				"LateWorth": 0.5, "Worth": 10.0, "Stream": false},
			{"Name": "ingest", "Idempotency": "unsafe", "Aim": 4 * second, "AimStretch": 2.5, "HardLimit": 25 * second,
				"LateWorth": 0.5, "Worth": 12.0, "Stream": false},
		},
		"Discovery": "automatic", "Family": "queries",
		"FamilyInfo": object{
			"BlockedByLoads": []bool{false, false, false}, "ClassLoad": []bool{false, false, true},
			"ClassThreads": []int{1, 4, 2}, "Grants": true, "KindCores": []int{16}, "LargestShare": 0.4,
			"MemoryShort": "overcommit", "Priorities": true, "RamOfKindMb": []float64{32768}, "TellsCost": false,
			"TellsEvery": second,
		},
		"Invariants": object{
			"AnswerSlack": 20000, "AskWithin": 10 * second, "ColdFrom": 0.32, "DrainGrace": 500000, "Fall": 3 * second,
			"FallMultiple": 2.5, "WarmUp": 15 * second,
		},
		"Kinds": []string{"std-16"}, "OverShareWorth": 0.1, "Realms": []object{},
		"Report": object{"How": "piggyback", "Names": []string{"backlog"}}, "Resolution": 5000, "Tier": 0,
		"Tiers": []string{"query-fleet"}, "ValueBy": "request", "Weights": "silent", "Zone": "room-a",
		"Zones": []string{"room-a"},
	}
}
