package testservers

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

const (
	maxWords     = 16
	maxWordBytes = 1 << 20
)

// encodeArray returns an array of bulk strings as RESP carries it.
func encodeArray(words []string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, word := range words {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(word), word)
	}
	return b
}

// readArray reads an array of bulk strings.
func readArray(r *bufio.Reader) ([]string, error) {
	count, err := readLength(r, '*')
	if err != nil {
		return nil, err
	}
	if count > maxWords {
		return nil, fmt.Errorf("an array of %d words", count)
	}
	words := make([]string, count)
	for k := range words {
		size, err := readLength(r, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+len("\r\n"))
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		words[k] = string(b[:size])
	}
	return words, nil
}

// readLength reads the length line of an array or a bulk string, which begins with a sign.
func readLength(r *bufio.Reader, sign byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != sign {
		return 0, fmt.Errorf("%q instead of %q", line[0], sign)
	}
	length, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err != nil {
		return 0, err
	}
	if length < 0 || length > maxWordBytes {
		return 0, fmt.Errorf("a length of %d", length)
	}
	return length, nil
}
