package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// invalidPart is the part of a response that is not valid by RFC 9110 or RFC 9112.
type invalidPart string

const (
	invalidStatusLine invalidPart = "status_line"
	invalidStatus     invalidPart = "status"
	invalidLineEnd    invalidPart = "line_end"
	invalidFraming    invalidPart = "framing"
)

// maximumQuotedBytes bounds the part of an invalid line that its error quotes.
const maximumQuotedBytes = 60

// invalidResponseError is the error of a response that is not valid HTTP. The engine is alive, and nothing that the
// response says is used: other parts of it may have been read wrongly, too.
type invalidResponseError struct {
	part invalidPart
	text []byte
	// err is the error of the library that has read the response, if it is one.
	err error
}

// Error implements error.
func (e *invalidResponseError) Error() string {
	text := e.text[:min(len(e.text), maximumQuotedBytes)]
	if e.err != nil {
		return fmt.Sprintf("forward: the response is not valid HTTP: %s: %v", e.part, e.err)
	}
	return fmt.Sprintf("forward: the response is not valid HTTP: %s: %q", e.part, text)
}

// Unwrap returns the error of the library.
func (e *invalidResponseError) Unwrap() error { return e.err }

// countInvalid counts a response that is not valid HTTP, and reports whether err is about one.
func countInvalid(err error) bool {
	var invalid *invalidResponseError
	if !errors.As(err, &invalid) {
		return false
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("ravenway_engine_responses_invalid_total{part=%q}", invalid.part)).Inc()
	return true
}

// headChecker checks the lines of the head of a response, in order. It is stricter than net/http, which accepts any three
// digits as a status, and lines without a carriage return.
type headChecker struct{ lines int }

// check checks a line with its end. isLast reports whether the head ends with it.
func (c *headChecker) check(line []byte) (isLast bool, err error) {
	content, hasEnd := bytes.CutSuffix(line, []byte("\r\n"))
	if !hasEnd {
		return false, &invalidResponseError{part: invalidLineEnd, text: line}
	}
	c.lines++
	switch {
	case c.lines == 1:
		return false, checkStatusLine(content)
	case len(content) == 0:
		return true, nil
	}
	return false, nil
}

const (
	httpVersionPrefix = "HTTP/1."
	// statusStart is the position of the status in the status line, behind the version's last digit and a blank.
	statusStart  = len(httpVersionPrefix) + 2
	statusLength = 3
)

func checkStatusLine(line []byte) error {
	if len(line) < statusStart+statusLength || !bytes.HasPrefix(line, []byte(httpVersionPrefix)) || !isDigit(line[statusStart-2]) || line[statusStart-1] != ' ' {
		return &invalidResponseError{part: invalidStatusLine, text: line}
	}
	status, reason := line[statusStart:statusStart+statusLength], line[statusStart+statusLength:]
	if status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]) || len(reason) > 0 && reason[0] != ' ' {
		return &invalidResponseError{part: invalidStatus, text: line}
	}
	return nil
}

func isDigit(character byte) bool { return '0' <= character && character <= '9' }

// checkHead waits for the whole head of a response, without consuming it, and checks each line as it arrives.
func (c *connection) checkHead() error {
	checker := &headChecker{}
	checked := 0
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		for {
			length := bytes.IndexByte(buffered[checked:], '\n') + 1
			if length == 0 {
				break
			}
			isLast, err := checker.check(buffered[checked : checked+length])
			if isLast || err != nil {
				return err
			}
			checked += length
		}
		if len(buffered) == c.reader.Size() {
			c.enlargeBuffer(buffered)
		}
		if _, err := c.reader.Peek(len(buffered) + 1); err != nil {
			return err
		}
	}
}

// enlargeBuffer makes the read buffer large enough for the heads of a response.
func (c *connection) enlargeBuffer(buffered []byte) {
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.source), readBufferBytes+maximumHeadBytes)
}

// readCheckedHead reads a head that checkHead accepts.
func (c *connection) readCheckedHead(method string) (*http.Response, error) {
	if err := c.checkHead(); err != nil {
		return nil, err
	}
	// The whole head is buffered, so that any error is about its content.
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, &invalidResponseError{part: invalidFraming, err: err}
	}
	return response, nil
}
