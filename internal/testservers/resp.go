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

// encodeArray returns the RESP encoding of an array of bulk strings.
func encodeArray(words []string) []byte {
	data := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, word := range words {
		data = fmt.Appendf(data, "$%d\r\n%s\r\n", len(word), word)
	}
	return data
}

// readArray reads an array of bulk strings.
func readArray(r *bufio.Reader) ([]string, error) {
	count, err := readLength(r, '*')
	if err != nil {
		return nil, err
	}
	if count > maxWords {
		return nil, fmt.Errorf("array of %d words, expected at most %d", count, maxWords)
	}
	words := make([]string, count)
	for i := range words {
		size, err := readLength(r, '$')
		if err != nil {
			return nil, err
		}
		data := make([]byte, size+len("\r\n"))
		if _, err := io.ReadFull(r, data); err != nil {
			return nil, err
		}
		words[i] = string(data[:size])
	}
	return words, nil
}

// readLength reads the length line of an array or a bulk string, which begins with a prefix byte.
func readLength(r *bufio.Reader, prefix byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != prefix {
		return 0, fmt.Errorf("length line begins with %q, expected %q", line[0], prefix)
	}
	length, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err != nil {
		return 0, err
	}
	if length < 0 || length > maxWordBytes {
		return 0, fmt.Errorf("length of %d, expected 0 to %d", length, maxWordBytes)
	}
	return length, nil
}
