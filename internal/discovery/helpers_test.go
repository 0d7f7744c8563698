package discovery

import (
	"bufio"
	"strings"
)

func newReader(s string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(s), 4096) }
