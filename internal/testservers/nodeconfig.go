package testservers

import (
	"encoding/json"
	"time"
)

// object is a JSON object.
type object = map[string]any

// NodeConfig returns the configuration of a controller for some executors. It has three request classes: look
// (idempotent), mark (idempotent with a key, whose repeats the executors of a zone drop within a window) and once
// (non-idempotent).
func NodeConfig(listen, discovery string, dedupWindow time.Duration, executors ...*Executor) []byte {
	var endpoints []object
	for _, e := range executors {
		endpoints = append(endpoints, endpoint(e, "Ready"))
	}
	class := func(name, idempotency string) object {
		return object{
			"Name": name, "Idempotency": idempotency, "DedupScope": "zone", "DedupWindow": dedupWindow.Microseconds(),
			"Aim": 1000000, "AimStretch": 1.5, "HardLimit": 5000000, "LateWorth": 0.5, "Worth": 1,
		}
	}
	update := object{"index": 1, "snapshot": true, "endpoints": endpoints}
	text, err := json.Marshal(object{
		"name": "n0", "listen": listen, "seed": "8c1f30d27a5be964", "changelog": discovery,
		"limits": object{"cores": 2, "memory_mb": 192, "sockets": 1024},
		"known":  object{"seq": 1, "results": []object{{"seq": 1, "fleet": update}}},
		"settings": object{
			"Bounds": object{"Cancelling": true, "ConnectTimeout": 250000, "IdleClose": 15000000, "MaxAttempts": 6,
				"MaxRetryAfter": 500000, "Probing": true, "RetryAfter": true, "StreamsPerConn": 100},
			"Classes": []object{class("look", "safe"), class("mark", "keyed"), class("once", "unsafe")},
			"FamilyInfo": object{"ClassThreads": []int{1, 1, 1}, "KindCores": []int{8},
				"RamOfKindMb": []float64{16384}, "LargestShare": 0.4, "TellsEvery": 0},
			"Invariants": object{"DrainGrace": 500000, "ExtraFloor": 3.0, "ExtraPerRequest": 0.1,
				"RatioSpan": 10000000},
			"Kinds": []string{"big"}, "Siblings": 1, "Resolution": 5000}})
	if err != nil {
		panic(err) // cannot happen: the values are strings, booleans and finite numbers
	}
	return text
}

// endpoint returns the entry of an executor in the endpoint list.
func endpoint(e *Executor, status string) object {
	return object{
		"name": e.Name, "address": e.Address(), "zone": e.Zone,
		"type": "big", "group": 0, "status": status, "weight": 8,
	}
}
