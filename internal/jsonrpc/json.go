package jsonrpc

import (
	"encoding/json"
	"strconv"
)

// forEachMember calls each for every member of an object, with the unparsed bytes of its value. The text must be valid JSON; false if
// it is no object. Nothing is copied or unescaped.
func forEachMember(text []byte, each func(name, value []byte)) bool {
	at := skipSpace(text, 0)
	if at >= len(text) || text[at] != '{' {
		return false
	}
	for at = skipSpace(text, at+1); text[at] != '}'; at = skipSpace(text, at) {
		if text[at] == ',' {
			at = skipSpace(text, at+1)
		}
		name := at
		at = skipValue(text, at)
		colon := skipSpace(text, at)
		start := skipSpace(text, colon+1)
		end := skipValue(text, start)
		each(text[name+1:at-1], text[start:end])
		at = end
	}
	return true
}

// skipSpace returns the index behind white space.
func skipSpace(text []byte, at int) int {
	for at < len(text) && (text[at] == ' ' || text[at] == '\t' || text[at] == '\n' || text[at] == '\r') {
		at++
	}
	return at
}

// skipValue returns the index behind the value at an index.
func skipValue(text []byte, at int) int {
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

// stringValue returns the text of a string value; without escapes, which are rare, it is a slice of the value's bytes.
func stringValue(v []byte) (text []byte, ok bool) {
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

// numberValue returns the number of a number value.
func numberValue(v []byte) (float64, bool) {
	n, err := strconv.ParseFloat(string(v), 64)
	return n, err == nil && (v[0] == '-' || isDigit(v[0]))
}
