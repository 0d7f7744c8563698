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

// listCount is the number of endpoint lists that the protocol keeps by number.
const listCount = 16

// bufferBytes is enough for nearly all lines.
const bufferBytes = 1 << 20

// Reader reads batches.
type Reader struct {
	in       *bufio.Reader
	line     int    // number of the last line read
	longLine []byte // of a line longer than the buffer

	lists   [listCount][]scheduler.Endpoint
	hasList [listCount]bool

	names      map[string]string // recurring names, one copy of each
	event      scheduler.Event
	loadReport []float64
}

// NewReader returns a Reader on in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, bufferBytes), names: map[string]string{}}
}

// ReadBatch plays the next batch to the host and returns its number. At the end of the input it returns io.EOF.
func (r *Reader) ReadBatch(host Host) (uint64, error) {
	line, err := r.next()
	if err != nil {
		return 0, err
	}
	number, now, err := r.batchStart(line)
	if err != nil {
		return 0, err
	}
	for {
		line, err := r.next()
		if err == io.EOF {
			return 0, r.errorf("the batch has no EOF_BATCH")
		}
		if err != nil {
			return 0, err
		}
		if line == "EOF_BATCH" {
			return number, nil
		}
		if err := r.playLine(line, now, host); err != nil {
			return 0, err
		}
	}
}

// batchStart reads the first line of a batch: its number and the time of its events.
func (r *Reader) batchStart(line string) (number uint64, now float64, err error) {
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
		return 0, 0, r.errorf("BEGIN_BATCH expected, not %.80q", line)
	case !hasClock:
		return 0, 0, r.errorf("BEGIN_BATCH: Clock is missing")
	}
	return number, now, nil
}

// playLine plays one line of a batch.
func (r *Reader) playLine(line string, now float64, host Host) error {
	tag, _, _ := strings.Cut(line, "\t")
	switch tag {
	case "SNAPSHOT_ROWS":
		return r.readList(line)
	case "ATTACH":
		return r.startInstance(line, now, host)
	case "STOP":
		return r.stopInstance(line, host)
	}
	return r.playEvent(tag, line, now, host)
}

// startInstance reads an ATTACH line.
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
		return r.errorf("ATTACH: Settings is missing")
	}
	s, err := settings.Read([]byte(text))
	if err != nil {
		return r.errorf("ATTACH: Settings: %w", err)
	}
	if err := host.StartInstance(instance, seed, s.Scheduler); err != nil {
		return r.hostError(tag, err)
	}
	return r.hostError(tag, host.HandleEvent(instance, now, &scheduler.Event{Kind: scheduler.Started}))
}

// stopInstance reads a STOP line.
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

// next returns the next line without its end.
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
		return "", r.errorf("the line breaks off: %.80q", b)
	}
	if err != nil {
		return "", err
	}
	return string(b[:len(b)-1]), nil
}

// eachField calls a function for each name=value field of a line and returns the line's tag. The field named by last runs to the
// end of the line.
func (r *Reader) eachField(line, last string, each func(name, value string) error) (string, error) {
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
			return tag, r.errorf("%s: a part without a name: %.80q", tag, field)
		}
		if err := each(name, value); err != nil {
			return tag, r.errorf("%s: %s: %w", tag, name, err)
		}
	}
	return tag, nil
}

// intern returns the one copy of a recurring name.
func (r *Reader) intern(name string) string {
	if known, ok := r.names[name]; ok {
		return known
	}
	name = strings.Clone(name)
	r.names[name] = name
	return name
}

func (r *Reader) errorf(format string, args ...any) error {
	return &LineError{Line: r.line, Err: fmt.Errorf(format, args...)}
}

// hostError returns an error of the host as one of the line that led to it.
func (r *Reader) hostError(tag string, err error) error {
	if err != nil {
		return r.errorf("%s: %w", tag, err)
	}
	return nil
}
