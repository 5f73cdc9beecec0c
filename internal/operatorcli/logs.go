package operatorcli

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

// contextWindow is how long before and after a request's own lines others are
// shown that may have caused them.
const contextWindow = 3 * time.Second

// contextEvents are the events that change what a node believes.
var contextEvents = []string{
	"instance", "document_in_force", "leadership", "node_heard", "node_lost", "stopping", "started", "disk_failed", "disk_unusable",
	"lives_closed", "member_change", "reloaded", "loan_given", "account",
}

// logLine is one line of a node's log.
type logLine struct {
	at     time.Time
	fields map[string]string
	text   string
}

// parseLogLine reads key=value pairs; words before the first pair, such as a
// collector's own time and name, are passed over.
func parseLogLine(text string) (logLine, bool) {
	line := logLine{fields: map[string]string{}, text: strings.TrimSpace(text)}
	rest := line.text
	for rest != "" {
		key, value, found := strings.Cut(rest, "=")
		if !found {
			break
		}
		if space := strings.LastIndexByte(key, ' '); space >= 0 {
			key = key[space+1:]
		}
		value, rest = cutValue(value)
		line.fields[key] = value
	}
	at, err := time.Parse(time.RFC3339, line.fields["time"])
	line.at = at
	return line, err == nil && line.fields["event"] != ""
}

// cutValue takes a bare word or a quoted text off the front.
func cutValue(text string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(text); err == nil {
		value, _ = strconv.Unquote(quoted)
		return value, strings.TrimPrefix(text[len(quoted):], " ")
	}
	value, rest, _ = strings.Cut(text, " ")
	return value, rest
}

// readLogs reads all lines of the files; "-" is the standard input.
func readLogs(paths []string) ([]logLine, error) {
	var lines []logLine
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
			if line, valid := parseLogLine(scanner.Text()); valid {
				lines = append(lines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("reading %s: %w", path, err)
		}
	}
	return lines, nil
}

// errNotInLogs says that no line names a request.
var errNotInLogs = errors.New("no line of the logs names the request: it was served as planned, its line was left out " +
	"(see lines_left_out in event=summary), or it never reached these nodes")

// explainFromLogs writes a request's own lines and, marked with "~", those around
// them that may have caused what they say.
func explainFromLogs(out io.Writer, lines []logLine, request string) error {
	var own []logLine
	for _, line := range lines {
		if line.fields["request"] == request {
			own = append(own, line)
		}
	}
	if len(own) == 0 {
		return errNotInLogs
	}
	related := relatedWords(own)
	first, last := own[0].at, own[len(own)-1].at
	shown := 0
	for _, line := range lines {
		switch {
		case line.fields["request"] == request:
			fmt.Fprintln(out, "  "+line.text)
			shown++
		case line.at.Before(first.Add(-contextWindow)) || line.at.After(last.Add(contextWindow)):
		case slices.Contains(contextEvents, line.fields["event"]) && isRelated(line, related):
			fmt.Fprintln(out, "~ "+line.text)
			shown++
		}
	}
	end := own[len(own)-1].fields
	fmt.Fprintf(out, "%d lines; it ended with event=%s status=%s reason=%s\n", shown, end["event"], end["status"], end["reason"])
	return nil
}

// relatedWords are the names in a request's own lines: its node, tenant and
// instances.
func relatedWords(own []logLine) []string {
	var words []string
	for _, line := range own {
		for _, key := range []string{"node", "tenant", "instance", "after"} {
			if value := line.fields[key]; value != "" && !slices.Contains(words, value) {
				words = append(words, value)
			}
		}
	}
	return words
}

func isRelated(line logLine, words []string) bool {
	for _, key := range []string{"node", "tenant", "instance", "peer"} {
		if slices.Contains(words, line.fields[key]) {
			return true
		}
	}
	return false
}
