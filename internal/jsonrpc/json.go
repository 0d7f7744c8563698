package jsonrpc

import (
	"encoding/json"
	"strconv"
)

// forEachMember calls visit for every member of a JSON object, with the member's name and the unparsed bytes of its
// value. The text must be valid JSON. forEachMember returns false if the text is not an object. It neither copies nor
// unescapes anything.
func forEachMember(text []byte, visit func(name, value []byte)) bool {
	pos := skipSpace(text, 0)
	if pos >= len(text) || text[pos] != '{' {
		return false
	}
	for pos = skipSpace(text, pos+1); text[pos] != '}'; pos = skipSpace(text, pos) {
		if text[pos] == ',' {
			pos = skipSpace(text, pos+1)
		}
		name := pos
		pos = skipValue(text, pos)
		colon := skipSpace(text, pos)
		start := skipSpace(text, colon+1)
		end := skipValue(text, start)
		visit(text[name+1:pos-1], text[start:end])
		pos = end
	}
	return true
}

// skipSpace returns the index of the first byte from pos on that is not white space.
func skipSpace(text []byte, pos int) int {
	for pos < len(text) && (text[pos] == ' ' || text[pos] == '\t' || text[pos] == '\n' || text[pos] == '\r') {
		pos++
	}
	return pos
}

// skipValue returns the index behind the JSON value that starts at pos.
func skipValue(text []byte, pos int) int {
	for depth := 0; pos < len(text); {
		switch c := text[pos]; c {
		case '"':
			for pos++; text[pos] != '"'; pos++ {
				if text[pos] == '\\' {
					pos++
				}
			}
			pos++
		case '{', '[':
			depth++
			pos++
		case '}', ']':
			depth--
			pos++
		case ',', ':', ' ', '\t', '\n', '\r':
			pos++
			continue
		default:
			for pos < len(text) && text[pos] > ' ' && text[pos] != ',' && text[pos] != '}' && text[pos] != ']' {
				pos++
			}
		}
		if depth == 0 {
			return pos
		}
	}
	return pos
}

// stringValue returns the text of a JSON string. A string without escapes is returned as a slice of the value's bytes;
// only one with escapes, which is rare, is copied.
func stringValue(value []byte) (text []byte, ok bool) {
	if len(value) < 2 || value[0] != '"' {
		return nil, false
	}
	for _, c := range value {
		if c == '\\' {
			var s string
			err := json.Unmarshal(value, &s)
			return []byte(s), err == nil
		}
	}
	return value[1 : len(value)-1], true
}

// numberValue returns a JSON number; false if the value is not a number.
func numberValue(value []byte) (float64, bool) {
	number, err := strconv.ParseFloat(string(value), 64)
	return number, err == nil && (value[0] == '-' || isDigit(value[0]))
}
