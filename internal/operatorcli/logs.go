package operatorcli

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/logs"
)

// contextWindow is the time before and after a request's own lines within which other lines are
// shown that may have caused them.
const contextWindow = 3 * time.Second

// contextEvents are the events that change a node's view of the fleet.
var contextEvents = []string{
	"instance", "document_in_force", "leadership", "node_heard", "node_lost", "stopping", "started", "disk_failed", "disk_unusable",
	"lives_closed", "member_change", "reloaded", "loan_given", "account",
}

// errNotInLogs indicates that no log line names the request.
var errNotInLogs = errors.New("no log line names the request: it was served as planned, its line was left out " +
	"(see lines_left_out in event=summary), or it never reached these nodes")

// explainFromLogs writes the log lines that name a request and, marked with "~", the lines around
// them that may explain them.
func explainFromLogs(out io.Writer, lines []logs.Line, request string) error {
	var requestLines []logs.Line
	for _, line := range lines {
		if line.Fields["request"] == request {
			requestLines = append(requestLines, line)
		}
	}
	if len(requestLines) == 0 {
		return errNotInLogs
	}
	names := relatedNames(requestLines)
	first, last := requestLines[0].At, requestLines[len(requestLines)-1].At
	shown := 0
	for _, line := range lines {
		switch {
		case line.Fields["request"] == request:
			fmt.Fprintln(out, "  "+line.Text)
			shown++
		case line.At.Before(first.Add(-contextWindow)) || line.At.After(last.Add(contextWindow)):
		case slices.Contains(contextEvents, line.Fields["event"]) && isRelated(line, names):
			fmt.Fprintln(out, "~ "+line.Text)
			shown++
		}
	}
	lastFields := requestLines[len(requestLines)-1].Fields
	fmt.Fprintf(out, "%d lines; it ended with event=%s status=%s reason=%s\n", shown, lastFields["event"], lastFields["status"], lastFields["reason"])
	return nil
}

// relatedNames returns the names in a request's own lines: of its node, tenant and instances.
func relatedNames(requestLines []logs.Line) []string {
	var names []string
	for _, line := range requestLines {
		for _, key := range []string{"node", "tenant", "instance", "after"} {
			if value := line.Fields[key]; value != "" && !slices.Contains(names, value) {
				names = append(names, value)
			}
		}
	}
	return names
}

func isRelated(line logs.Line, names []string) bool {
	for _, key := range []string{"node", "tenant", "instance", "peer"} {
		if slices.Contains(names, line.Fields[key]) {
			return true
		}
	}
	return false
}
