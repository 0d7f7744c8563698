package simproto

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"liftshift/internal/settings"
	"liftshift/scheduler"
)

// listCount is the number of endpoint lists that can be stored. They are numbered from 0.
const listCount = 16

// bufferBytes is the size of the input buffer, which holds nearly all lines whole.
const bufferBytes = 1 << 20

// Reader reads batches of lines and passes their events to a Host. It keeps the endpoint lists between batches.
type Reader struct {
	in       *bufio.Reader
	line     int    // number of the last line read
	longLine []byte // reused for lines longer than the input buffer

	// lists holds the endpoint lists by number, hasList which of them were read.
	lists   [listCount][]scheduler.Endpoint
	hasList [listCount]bool

	names      map[string]string // interned strings
	event      scheduler.Event   // reused for each event
	loadReport []float64         // reused for each event
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, bufferBytes), names: map[string]string{}}
}

// ReadBatch reads the next batch, has the host handle it line by line, and returns the number of the batch. At the end
// of the input it returns io.EOF.
func (r *Reader) ReadBatch(host Host) (uint64, error) {
	line, err := r.next()
	if err != nil {
		return 0, err
	}
	number, now, err := r.parseBatchStart(line)
	if err != nil {
		return 0, err
	}
	for {
		line, err := r.next()
		if err == io.EOF {
			return 0, r.errorf("input ends within a batch: no EOF_BATCH line")
		}
		if err != nil {
			return 0, err
		}
		if line == "EOF_BATCH" {
			return number, nil
		}
		if err := r.handleLine(line, now, host); err != nil {
			return 0, err
		}
	}
}

// parseBatchStart parses the first line of a batch, which has the batch's number and the time of its events.
func (r *Reader) parseBatchStart(line string) (number uint64, now float64, err error) {
	hasClock := false
	tag, err := r.eachField(line, "", func(name, value string) (err error) {
		switch name {
		case "Clock":
			now, err = parseTime(value)
			hasClock = true
		case "seq":
			number, err = parseUint(value)
		}
		return err
	})
	switch {
	case err != nil:
		return 0, 0, err
	case tag != "BEGIN_BATCH":
		return 0, 0, r.errorf("expected BEGIN_BATCH, got %.80q", line)
	case !hasClock:
		return 0, 0, r.errorf("BEGIN_BATCH: field Clock is missing")
	}
	return number, now, nil
}

// handleLine handles one line of a batch, and with SNAPSHOT_ROWS the lines that belong to it.
func (r *Reader) handleLine(line string, now float64, host Host) error {
	tag, _, _ := strings.Cut(line, "\t")
	switch tag {
	case "SNAPSHOT_ROWS":
		return r.readList(line)
	case "ATTACH":
		return r.startInstance(line, now, host)
	case "STOP":
		return r.stopInstance(line, host)
	}
	return r.handleEvent(tag, line, now, host)
}

// startInstance handles an ATTACH line: it starts an instance and passes it the Started event.
func (r *Reader) startInstance(line string, now float64, host Host) error {
	instance := 0
	seed := uint64(0)
	text := ""
	tag, err := r.eachField(line, "Settings", func(name, value string) (err error) {
		switch name {
		case "I":
			instance, err = parseInt(value)
		case "Nonce64":
			seed, err = parseSeed(value)
		case "Settings":
			text = value
		}
		return err
	})
	if err != nil {
		return err
	}
	if text == "" {
		return r.errorf("ATTACH: field Settings is missing")
	}
	parsed, err := settings.Read([]byte(text))
	if err != nil {
		return r.errorf("ATTACH: Settings: %w", err)
	}
	if err := host.StartInstance(instance, seed, parsed.Scheduler); err != nil {
		return r.hostError(tag, err)
	}
	return r.hostError(tag, host.HandleEvent(instance, now, &scheduler.Event{Kind: scheduler.Started}))
}

// stopInstance handles a STOP line.
func (r *Reader) stopInstance(line string, host Host) error {
	instance := 0
	tag, err := r.eachField(line, "", func(name, value string) (err error) {
		if name == "I" {
			instance, err = parseInt(value)
		}
		return err
	})
	if err != nil {
		return err
	}
	return r.hostError(tag, host.StopInstance(instance))
}

// next returns the next line without its line end.
func (r *Reader) next() (string, error) {
	r.line++
	b, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.longLine = r.longLine[:0]
		for errors.Is(err, bufio.ErrBufferFull) {
			r.longLine = append(r.longLine, b...)
			b, err = r.in.ReadSlice('\n')
		}
		r.longLine = append(r.longLine, b...)
		b = r.longLine
	}
	if err == io.EOF && len(b) > 0 {
		return "", r.errorf("input ends within a line: %.80q", b)
	}
	if err != nil {
		return "", err
	}
	return string(b[:len(b)-1]), nil
}

// eachField calls a function for each name=value field of a line and returns the line's tag. The field named last, if
// any, extends to the end of the line and may contain tabs.
func (r *Reader) eachField(line, last string, handle func(name, value string) error) (string, error) {
	tag, rest, _ := strings.Cut(line, "\t")
	for rest != "" {
		var field string
		if last != "" && strings.HasPrefix(rest, last+"=") {
			field = rest
			rest = ""
		} else {
			field, rest, _ = strings.Cut(rest, "\t")
		}
		name, value, ok := strings.Cut(field, "=")
		if !ok || name == "" {
			return tag, r.errorf("%s: field without a name: %.80q", tag, field)
		}
		if err := handle(name, value); err != nil {
			return tag, r.errorf("%s: %s: %w", tag, name, err)
		}
	}
	return tag, nil
}

// intern returns a copy of a string that does not refer to the line. Equal strings share one copy.
func (r *Reader) intern(name string) string {
	if known, ok := r.names[name]; ok {
		return known
	}
	name = strings.Clone(name)
	r.names[name] = name
	return name
}

// errorf returns a LineError for the last line read.
func (r *Reader) errorf(format string, args ...any) error {
	return &LineError{Line: r.line, Err: fmt.Errorf(format, args...)}
}

// hostError wraps an error of the host in a LineError for the line that caused it. It returns nil for nil.
func (r *Reader) hostError(tag string, err error) error {
	if err != nil {
		return r.errorf("%s: %w", tag, err)
	}
	return nil
}
