package explain

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLine is the length in bytes of the longest log line that Read accepts.
const maxLine = 1 << 20

// Line is one parsed log line.
type Line struct {
	At       time.Time
	Instance string
	Message  string
	// fields holds all fields but ts, instance and msg, in the order of the line.
	fields []field
}

// field is one key of a log line with its value.
type field struct {
	key, value string
}

// Get returns the value of the first field with the key, or the empty string if
// there is none.
func (l *Line) Get(key string) string {
	for _, f := range l.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

// startOfLine is the first key of each log line. Text before it was added by the
// collector of the logs.
var startOfLine = []byte("ts=")

// Read parses a log. It skips lines that are not in logfmt or have no timestamp. It
// returns an error and no lines if r fails or a line is too long for maxLine.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	var lines []Line
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.Index(text, startOfLine)
		if start < 0 {
			continue
		}
		line, err := parse(text[start:])
		if err == nil {
			lines = append(lines, line)
		}
	}
	err := scanner.Err()
	if err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

// errNoTime reports a log line without a valid timestamp.
var errNoTime = errors.New("line has no time")

// parse parses one log line that begins with startOfLine.
func parse(text []byte) (Line, error) {
	var line Line
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	decoder.ScanRecord()
	for decoder.ScanKeyval() {
		key, value := string(decoder.Key()), string(decoder.Value())
		switch key {
		case "ts":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return line, fmt.Errorf("%w: %w", errNoTime, err)
			}
			line.At = at
		case "instance":
			line.Instance = value
		case "msg":
			line.Message = value
		default:
			line.fields = append(line.fields, field{
				key:   key,
				value: value,
			})
		}
	}
	if line.At.IsZero() {
		return line, errNoTime
	}
	return line, decoder.Err()
}
