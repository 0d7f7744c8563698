package main

import (
	"fmt"
	"strings"
	"time"
)

// class returns the settings of a request class.
func class(name, idempotency string, deadline, window time.Duration) map[string]any {
	c := map[string]any{"Name": name, "Idempotency": idempotency, "Aim": 1000000, "AimStretch": 1.5,
		"HardLimit": deadline.Microseconds(), "LateWorth": 0.5, "Worth": 1.0}
	if idempotency == "keyed" {
		c["DedupScope"], c["DedupWindow"] = "all", window.Microseconds()
	}
	return c
}

// settings returns the platform's settings of a controller, as in deploy/example.json.
func settings(controllers, slot int, classes ...map[string]any) map[string]any {
	threads, loads, blocked := []int{}, []bool{}, []bool{}
	for range classes {
		threads, loads, blocked = append(threads, 1), append(loads, false), append(blocked, false)
	}
	return map[string]any{
		"Bounds": map[string]any{"Cancelling": true, "ConnectTimeout": 250000, "IdleClose": 15000000, "MaxAttempts": 6,
			"MaxRetryAfter": 500000, "MostHeld": 20000, "ParallelTries": false, "Peers": false, "Probing": true,
			"RetryAfter": true, "StreamsPerConn": 100},
		"Classes": classes, "Discovery": "automatic",
		"FamilyInfo": map[string]any{"BlockedByLoads": blocked, "ClassLoad": loads, "ClassThreads": threads, "Grants": true,
			"KindCores": []int{8}, "LargestShare": 0.4, "MemoryShort": "line_up", "Priorities": true,
			"RamOfKindMb": []float64{16384}, "TellsEvery": noteInterval.Microseconds()},
		"Invariants": map[string]any{"AnswerSlack": 20000, "ColdFrom": 0.3, "DrainGrace": 500000, "ExtraFloor": 3.0,
			"ExtraPerRequest": 0.1, "Fall": 2000000, "FallMultiple": 3.0, "RatioSpan": 10000000, "WarmUp": 14000000},
		"Kinds": []string{"std"}, "Report": map[string]any{"How": "silent", "Names": []string{}}, "Resolution": 5000,
		"Siblings": controllers, "SlotNo": slot, "Zone": "room", "Zones": []string{"room"},
	}
}

// clusterFile returns the operators' file of one of several controllers, as in deploy/handoff.hcl.
func clusterFile(n *node, all []*node, founders []string, clusterMore, handoff string) string {
	var seeds []string
	for _, other := range all[:min(3, len(all))] {
		seeds = append(seeds, fmt.Sprintf("%q", other.cluster))
	}
	var names []string
	for _, f := range founders {
		names = append(names, fmt.Sprintf("%q", f))
	}
	return fmt.Sprintf(`store {
  directory = %q
}
cluster {
  name     = "kurume"
  address  = %q
  listen   = %q
  seeds    = [%s]
  zone     = "room"
  founders = [%s]
%s}
handoff {
%s}
control {
  socket = %q
}
`, n.store(), n.cluster, n.inside, strings.Join(seeds, ", "), strings.Join(names, ", "), clusterMore, handoff, n.folder+"/sock")
}
