package wire

import (
	"encoding/json"
	"strconv"
)

// members calls each for every member of an object, with the bytes of its value as they stand. The text must be
// valid JSON; false if it is no object. Nothing is copied: large values pass by untouched.
func members(text []byte, each func(name, value []byte)) bool {
	at := blank(text, 0)
	if at >= len(text) || text[at] != '{' {
		return false
	}
	for at = blank(text, at+1); text[at] != '}'; at = blank(text, at) {
		if text[at] == ',' {
			at = blank(text, at+1)
		}
		name := at
		at = value(text, at)
		colon := blank(text, at)
		start := blank(text, colon+1)
		end := value(text, start)
		each(text[name+1:at-1], text[start:end])
		at = end
	}
	return true
}

// blank gives the place of what follows white space.
func blank(text []byte, at int) int {
	for at < len(text) && (text[at] == ' ' || text[at] == '\t' || text[at] == '\n' || text[at] == '\r') {
		at++
	}
	return at
}

// value gives the place behind the value at a place.
func value(text []byte, at int) int {
	for depth := 0; at < len(text); {
		switch c := text[at]; c {
		case '"':
			for at++; text[at] != '"'; at++ {
				if text[at] == '\\' {
					at++
				}
			}
			at++
		case '{', '[':
			depth++
			at++
		case '}', ']':
			depth--
			at++
		case ',', ':', ' ', '\t', '\n', '\r':
			at++
			continue
		default:
			for at < len(text) && text[at] > ' ' && text[at] != ',' && text[at] != '}' && text[at] != ']' {
				at++
			}
		}
		if depth == 0 {
			return at
		}
	}
	return at
}

// quoted gives the text of a string value; without escapes, which are rare, it is a part of the value's bytes.
func quoted(v []byte) (text []byte, ok bool) {
	if len(v) < 2 || v[0] != '"' {
		return nil, false
	}
	for _, c := range v {
		if c == '\\' {
			var s string
			err := json.Unmarshal(v, &s)
			return []byte(s), err == nil
		}
	}
	return v[1 : len(v)-1], true
}

// amount gives the figure of a number value.
func amount(v []byte) (float64, bool) {
	n, err := strconv.ParseFloat(string(v), 64)
	return n, err == nil && (v[0] == '-' || digit(v[0]))
}
