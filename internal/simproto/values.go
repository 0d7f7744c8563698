package simproto

import (
	"fmt"
	"math"
	"strconv"
)

func parseInt(s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0, fmt.Errorf("%q is not a whole number", s)
	}
	return n, nil
}

func parseUint(s string) (uint64, error) {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a whole number from 0 up", s)
	}
	return n, nil
}

func parseSeed(s string) (uint64, error) { return strconv.ParseUint(s, 10, 64) }

func parseExecutor(s string) (uint32, error) {
	n, err := strconv.ParseUint(s, 10, 32)
	if err != nil {
		return 0, fmt.Errorf("%q is not an executor", s)
	}
	return uint32(n), nil
}

func parseNumber(s string) (float64, error) {
	n, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		return 0, fmt.Errorf("%q is not a number", s)
	}
	return n, nil
}

// parseTime returns a time of the protocol in milliseconds.
func parseTime(s string) (float64, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a time", s)
	}
	return float64(n) / usPerMS, nil
}

func parseBool(s string) (bool, error) {
	switch s {
	case "1":
		return true, nil
	case "0":
		return false, nil
	}
	return false, fmt.Errorf("%q is neither 1 nor 0", s)
}

// parseWord returns what a word stands for.
func parseWord[T any](words map[string]T, what, word string) (T, error) {
	value, ok := words[word]
	if !ok {
		return value, fmt.Errorf("unknown %s %q", what, word)
	}
	return value, nil
}
