// Package logs parses the log lines that ravenway's processes write.
package logs

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Line is one line of a node's log.
type Line struct {
	At     time.Time
	Fields map[string]string
	// Text is the unparsed line without surrounding white space.
	Text string
}

// Number returns a field as a whole number and reports whether it is one.
func (l Line) Number(field string) (int64, bool) {
	number, err := strconv.ParseInt(l.Fields[field], 10, 64)
	return number, err == nil
}

// Parse parses a line of key=value pairs and reports whether it has a time and an event. Text before
// the first pair, such as a log collector's own time and name, is skipped.
func Parse(text string) (Line, bool) {
	line := Line{Fields: map[string]string{}, Text: strings.TrimSpace(text)}
	remaining := line.Text
	for remaining != "" {
		key, value, found := strings.Cut(remaining, "=")
		if !found {
			break
		}
		if space := strings.LastIndexByte(key, ' '); space >= 0 {
			key = key[space+1:]
		}
		value, remaining = cutValue(value)
		line.Fields[key] = value
	}
	at, err := time.Parse(time.RFC3339, line.Fields["time"])
	line.At = at
	return line, err == nil && line.Fields["event"] != ""
}

// cutValue splits an unquoted word or a quoted string off the start of a text.
func cutValue(text string) (value, remaining string) {
	if quoted, err := strconv.QuotedPrefix(text); err == nil {
		value, _ = strconv.Unquote(quoted)
		return value, strings.TrimPrefix(text[len(quoted):], " ")
	}
	value, remaining, _ = strings.Cut(text, " ")
	return value, remaining
}

// SortedByTime returns the lines sorted by time. It returns an error if there are none.
func SortedByTime(lines []Line) ([]Line, error) {
	if len(lines) == 0 {
		return nil, errors.New("the logs contain no line with a time and an event")
	}
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.At.Compare(b.At) })
	return sorted, nil
}

// Read reads the valid lines of all files; "-" is the standard input.
func Read(paths []string) ([]Line, error) {
	var lines []Line
	for _, path := range paths {
		source := io.Reader(os.Stdin)
		if path != "-" {
			file, err := os.Open(path)
			if err != nil {
				return nil, err
			}
			defer file.Close()
			source = file
		}
		scanner := bufio.NewScanner(source)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			if line, valid := Parse(scanner.Text()); valid {
				lines = append(lines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("reading %s: %w", path, err)
		}
	}
	return lines, nil
}
