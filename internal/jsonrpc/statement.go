package jsonrpc

import "strings"

// tableGroupOf returns the table group that a statement reads or writes.
func tableGroupOf(statement []byte) (uint64, bool) {
	n, _, ok := parseTables(statement)
	return n, ok
}

// parseTables returns the number of the table group that a statement reads or writes, which is the number behind the last underscore
// of a schema's name, and the schema without it. Strings, comments and schemas without a number don't count. A name where a table is
// named (behind from, into and the like) goes before one that stands elsewhere, which may be an alias.
func parseTables(statement []byte) (group uint64, schema string, ok bool) {
	s := scanner{text: statement}
	table, list := false, false // a table's name may follow; further ones may follow behind a comma
	for s.next() {
		if s.kind == wordToken && !s.quoted {
			switch s.keyword() {
			case tableKeyword:
				table, list = true, true
				continue
			case fillerKeyword:
				continue
			case clauseKeyword:
				table, list = false, false
				continue
			}
		}
		switch s.kind {
		case symbolToken:
			table = table && s.token[0] == '(' || list && s.token[0] == ','
			continue
		case numberToken:
			continue
		}
		number, name, found := s.schemaOf(table)
		if found && table {
			return number, name, true
		}
		if found && !ok {
			group, schema, ok = number, name, true
		}
		table = false
	}
	return group, schema, ok
}

// keywordKind tells what a word means for where tables are named.
type keywordKind uint8

const (
	noKeyword     keywordKind = iota
	tableKeyword              // a table's name follows
	fillerKeyword             // may stand before a table's name
	clauseKeyword             // no table's name follows
)

// keyword returns the kind of the word that was read.
func (s *scanner) keyword() keywordKind {
	switch strings.ToLower(string(s.token)) {
	case "from", "join", "into", "update", "table", "using", "copy", "truncate":
		if !s.dotted() { // else it is the first part of a name
			return tableKeyword
		}
	case "only", "if", "not", "exists", "overwrite", "lateral":
		return fillerKeyword
	case "where", "on", "set", "values", "select", "group", "order", "having", "limit", "union", "with":
		return clauseKeyword
	}
	return noKeyword
}

// schemaOf reads the rest of a dotted name and returns the number and the name of its schema, if it has one with a number. Of a
// table's name the schema is the last part but one, of a column's the first.
func (s *scanner) schemaOf(table bool) (number uint64, name string, ok bool) {
	first := string(s.token)
	schema, last, parts := "", first, 1
	for s.dotted() {
		s.next()
		if !s.next() {
			break
		}
		schema, last = last, string(s.token)
		parts++
	}
	if !table {
		schema = first
	}
	number, ok = schemaNumber(schema)
	if !ok || parts < 2 {
		return 0, "", false
	}
	return number, schema[:strings.LastIndexByte(schema, '_')], true
}

// schemaNumber returns the number behind the last underscore of a schema's name.
func schemaNumber(name string) (n uint64, ok bool) {
	at := strings.LastIndexByte(name, '_')
	if at <= 0 || at == len(name)-1 || len(name)-at > 18 {
		return 0, false
	}
	for _, c := range []byte(name[at+1:]) {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + uint64(c-'0')
	}
	return n, true
}

type tokenKind uint8

const (
	wordToken tokenKind = iota
	symbolToken
	numberToken
)

// scanner reads the tokens of a statement as far as parseTables needs them.
type scanner struct {
	text   []byte
	at     int
	token  []byte
	kind   tokenKind
	quoted bool
}

// skipBlanks skips white space and comments.
func (s *scanner) skipBlanks() {
	for s.at < len(s.text) {
		rest := s.text[s.at:]
		switch {
		case rest[0] <= ' ':
			s.at++
		case len(rest) > 1 && rest[0] == '-' && rest[1] == '-':
			for s.at < len(s.text) && s.text[s.at] != '\n' {
				s.at++
			}
		case len(rest) > 1 && rest[0] == '/' && rest[1] == '*':
			end := strings.Index(string(rest[2:]), "*/")
			if end < 0 {
				s.at = len(s.text)
			} else {
				s.at += end + 4
			}
		default:
			return
		}
	}
}

// dotted returns whether a dot follows the token.
func (s *scanner) dotted() bool {
	s.skipBlanks()
	return s.at < len(s.text) && s.text[s.at] == '.'
}

// next reads a token; strings are skipped. False at the end.
func (s *scanner) next() bool {
	for {
		s.skipBlanks()
		if s.at >= len(s.text) {
			return false
		}
		start := s.at
		c := s.text[s.at]
		switch {
		case c == '\'':
			s.readQuoted('\'')
			continue
		case c == '"' || c == '`':
			s.token, s.kind, s.quoted = s.readQuoted(c), wordToken, true
			return true
		case isLetter(c):
			for s.at < len(s.text) && (isLetter(s.text[s.at]) || isDigit(s.text[s.at])) {
				s.at++
			}
			s.token, s.kind, s.quoted = s.text[start:s.at], wordToken, false
			return true
		case isDigit(c):
			for s.at < len(s.text) && (isLetter(s.text[s.at]) || isDigit(s.text[s.at]) || s.text[s.at] == '.') {
				s.at++
			}
			s.token, s.kind = s.text[start:s.at], numberToken
			return true
		default:
			s.at++
			s.token, s.kind = s.text[start:s.at], symbolToken
			return true
		}
	}
}

// readQuoted reads what is between two quotes, where a doubled one stands for itself. Strings are only skipped.
func (s *scanner) readQuoted(by byte) []byte {
	var in []byte
	for s.at++; s.at < len(s.text); s.at++ {
		if s.text[s.at] == by {
			if s.at+1 >= len(s.text) || s.text[s.at+1] != by {
				s.at++
				return in
			}
			s.at++
		}
		if by != '\'' {
			in = append(in, s.text[s.at])
		}
	}
	return in
}

func isLetter(c byte) bool {
	return c|0x20 >= 'a' && c|0x20 <= 'z' || c == '_' || c == '$' || c >= 0x80
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
