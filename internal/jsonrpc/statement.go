package jsonrpc

import "strings"

// tableGroupOf returns the table group that an SQL statement reads or writes.
func tableGroupOf(statement []byte) (uint64, bool) {
	group, _, ok := parseTables(statement)
	return group, ok
}

// parseTables returns the table group that an SQL statement reads or writes, and the schema of its tables. A schema's
// name ends with an underscore and the number of the table group; the schema is returned without them. String literals,
// comments and schemas without a number are ignored. A name in the position of a table (after FROM, INTO and the like)
// takes precedence over a name elsewhere, which may begin with an alias.
func parseTables(statement []byte) (group uint64, schema string, ok bool) {
	s := scanner{text: statement}
	expectTable := false // the next name is a table's
	inTableList := false // a comma is followed by another table
	for s.next() {
		if s.kind == wordToken && !s.quoted {
			switch s.keyword() {
			case tableKeyword:
				expectTable, inTableList = true, true
				continue
			case fillerKeyword:
				continue
			case clauseKeyword:
				expectTable, inTableList = false, false
				continue
			}
		}
		switch s.kind {
		case symbolToken:
			expectTable = expectTable && s.token[0] == '(' || inTableList && s.token[0] == ','
			continue
		case numberToken:
			continue
		}
		number, name, found := s.schemaOf(expectTable)
		if found && expectTable {
			return number, name, true
		}
		if found && !ok {
			group, schema, ok = number, name, true
		}
		expectTable = false
	}
	return group, schema, ok
}

// keywordKind says whether a table's name can follow a word.
type keywordKind uint8

const (
	noKeyword     keywordKind = iota
	tableKeyword              // a table's name follows
	fillerKeyword             // may stand between a tableKeyword and the table's name
	clauseKeyword             // begins a part of the statement without table names
)

// keyword returns the kind of the current word.
func (s *scanner) keyword() keywordKind {
	switch strings.ToLower(string(s.token)) {
	case "from", "join", "into", "update", "table", "using", "copy", "truncate":
		if !s.beforeDot() { // with a dot, the word is the first part of a name
			return tableKeyword
		}
	case "only", "if", "not", "exists", "overwrite", "lateral":
		return fillerKeyword
	case "where", "on", "set", "values", "select", "group", "order", "having", "limit", "union", "with":
		return clauseKeyword
	}
	return noKeyword
}

// schemaOf reads the rest of a dotted name and returns the number and the name of its schema; false if the name has no
// schema with a number. The schema is the last part but one of a table's name, and the first part of a column's name.
func (s *scanner) schemaOf(isTable bool) (number uint64, name string, ok bool) {
	first := string(s.token)
	schema, last, parts := "", first, 1
	for s.beforeDot() {
		s.next()
		if !s.next() {
			break
		}
		schema, last = last, string(s.token)
		parts++
	}
	if !isTable {
		schema = first
	}
	number, ok = schemaNumber(schema)
	if !ok || parts < 2 {
		return 0, "", false
	}
	return number, schema[:strings.LastIndexByte(schema, '_')], true
}

// schemaNumber returns the number after the last underscore of a schema's name, which may have up to 17 digits.
func schemaNumber(name string) (number uint64, ok bool) {
	underscore := strings.LastIndexByte(name, '_')
	if underscore <= 0 || underscore == len(name)-1 || len(name)-underscore > 18 {
		return 0, false
	}
	for _, c := range []byte(name[underscore+1:]) {
		if c < '0' || c > '9' {
			return 0, false
		}
		number = number*10 + uint64(c-'0')
	}
	return number, true
}

// tokenKind classifies the tokens of a statement.
type tokenKind uint8

const (
	wordToken   tokenKind = iota // a keyword or a part of a name
	symbolToken                  // any other single byte
	numberToken
)

// scanner splits a statement into the tokens that parseTables needs.
type scanner struct {
	text   []byte
	pos    int
	token  []byte // the current token; without the quotes if it is quoted
	kind   tokenKind
	quoted bool // the current word is a quoted identifier
}

// skipBlanks skips white space and comments.
func (s *scanner) skipBlanks() {
	for s.pos < len(s.text) {
		rest := s.text[s.pos:]
		switch {
		case rest[0] <= ' ':
			s.pos++
		case len(rest) > 1 && rest[0] == '-' && rest[1] == '-':
			for s.pos < len(s.text) && s.text[s.pos] != '\n' {
				s.pos++
			}
		case len(rest) > 1 && rest[0] == '/' && rest[1] == '*':
			end := strings.Index(string(rest[2:]), "*/")
			if end < 0 {
				s.pos = len(s.text)
			} else {
				s.pos += end + 4
			}
		default:
			return
		}
	}
}

// beforeDot reports whether a dot follows the current token.
func (s *scanner) beforeDot() bool {
	s.skipBlanks()
	return s.pos < len(s.text) && s.text[s.pos] == '.'
}

// next reads the next token and skips string literals. It returns false at the end of the statement.
func (s *scanner) next() bool {
	for {
		s.skipBlanks()
		if s.pos >= len(s.text) {
			return false
		}
		start := s.pos
		c := s.text[s.pos]
		switch {
		case c == '\'':
			s.readQuoted('\'')
			continue
		case c == '"' || c == '`':
			s.token, s.kind, s.quoted = s.readQuoted(c), wordToken, true
			return true
		case isLetter(c):
			for s.pos < len(s.text) && (isLetter(s.text[s.pos]) || isDigit(s.text[s.pos])) {
				s.pos++
			}
			s.token, s.kind, s.quoted = s.text[start:s.pos], wordToken, false
			return true
		case isDigit(c):
			for s.pos < len(s.text) && (isLetter(s.text[s.pos]) || isDigit(s.text[s.pos]) || s.text[s.pos] == '.') {
				s.pos++
			}
			s.token, s.kind = s.text[start:s.pos], numberToken
			return true
		default:
			s.pos++
			s.token, s.kind = s.text[start:s.pos], symbolToken
			return true
		}
	}
}

// readQuoted reads quoted text and returns its content, where a doubled quote stands for a single one. It skips a
// string literal, in single quotes, without collecting its content.
func (s *scanner) readQuoted(quote byte) []byte {
	var content []byte
	for s.pos++; s.pos < len(s.text); s.pos++ {
		if s.text[s.pos] == quote {
			if s.pos+1 >= len(s.text) || s.text[s.pos+1] != quote {
				s.pos++
				return content
			}
			s.pos++
		}
		if quote != '\'' {
			content = append(content, s.text[s.pos])
		}
	}
	return content
}

// isLetter reports whether a byte can begin an identifier; bytes of non-ASCII characters can.
func isLetter(c byte) bool {
	return c|0x20 >= 'a' && c|0x20 <= 'z' || c == '_' || c == '$' || c >= 0x80
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
