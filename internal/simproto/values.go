package simproto

import (
	"fmt"
	"math"
	"strconv"
)

// parseInt parses an integer.
func parseInt(s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0, fmt.Errorf("%q is not an integer", s)
	}
	return n, nil
}

// parseUint parses an unsigned integer of 64 bits.
func parseUint(s string) (uint64, error) {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not an unsigned 64-bit integer", s)
	}
	return n, nil
}

// parseSeed parses the seed of an instance.
func parseSeed(s string) (uint64, error) { return strconv.ParseUint(s, 10, 64) }

// parseExecutor parses the id of an executor.
func parseExecutor(s string) (uint32, error) {
	n, err := strconv.ParseUint(s, 10, 32)
	if err != nil {
		return 0, fmt.Errorf("%q is not an executor id (an unsigned 32-bit integer)", s)
	}
	return uint32(n), nil
}

// parseNumber parses a decimal number. It rejects NaN and infinities.
func parseNumber(s string) (float64, error) {
	n, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		return 0, fmt.Errorf("%q is not a finite number", s)
	}
	return n, nil
}

// parseTime parses a time or duration of the protocol and returns it in milliseconds.
func parseTime(s string) (float64, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a time in microseconds", s)
	}
	return float64(n) / microsecondsPerMS, nil
}

// parseBool parses 1 as true and 0 as false.
func parseBool(s string) (bool, error) {
	switch s {
	case "1":
		return true, nil
	case "0":
		return false, nil
	}
	return false, fmt.Errorf("%q is neither 1 nor 0", s)
}

// parseWord returns the value of a word of the protocol. The error names the kind of value that was expected.
func parseWord[T any](words map[string]T, expected, word string) (T, error) {
	value, ok := words[word]
	if !ok {
		return value, fmt.Errorf("unknown %s %q", expected, word)
	}
	return value, nil
}
