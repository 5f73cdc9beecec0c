package forward

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// invalidPart is the part of a response that is not valid by RFC 9110 or RFC 9112.
type invalidPart string

const (
	invalidStatusLine invalidPart = "status_line"
	invalidStatus     invalidPart = "status"
	invalidLineEnd    invalidPart = "line_end"
	invalidFieldName  invalidPart = "field_name"
	invalidFieldValue invalidPart = "field_value"
	invalidFraming    invalidPart = "framing"
	invalidTrailer    invalidPart = "trailer"
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

// headChecker checks the lines of the head of a response, in order. It is stricter than net/http, which accepts a blank
// in a field's name, any three digits as a status, and lines without a carriage return.
type headChecker struct {
	lines       int
	isHTTP10    bool
	hasLength   bool
	hasEncoding bool
}

// check checks a line with its end. isLast reports whether the head ends with it.
func (c *headChecker) check(line []byte) (isLast bool, err error) {
	content, hasEnd := bytes.CutSuffix(line, []byte("\r\n"))
	if !hasEnd {
		return false, &invalidResponseError{part: invalidLineEnd, text: line}
	}
	c.lines++
	switch {
	case c.lines == 1:
		return false, c.checkStatusLine(content)
	case len(content) == 0:
		return true, c.checkFraming()
	case c.lines > 2 && (content[0] == ' ' || content[0] == '\t'):
		// The line continues the value of the previous one.
		return false, checkFieldText(content)
	}
	return false, c.checkField(content)
}

const (
	httpVersionPrefix = "HTTP/1."
	// statusStart is the position of the status in the status line, behind the version's last digit and a blank.
	statusStart  = len(httpVersionPrefix) + 2
	statusLength = 3
)

func (c *headChecker) checkStatusLine(line []byte) error {
	if len(line) < statusStart+statusLength || !bytes.HasPrefix(line, []byte(httpVersionPrefix)) || !isDigit(line[statusStart-2]) || line[statusStart-1] != ' ' {
		return &invalidResponseError{part: invalidStatusLine, text: line}
	}
	c.isHTTP10 = line[statusStart-2] == '0'
	status, reason := line[statusStart:statusStart+statusLength], line[statusStart+statusLength:]
	if status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]) || len(reason) > 0 && reason[0] != ' ' {
		return &invalidResponseError{part: invalidStatus, text: line}
	}
	return checkFieldText(reason)
}

func (c *headChecker) checkField(line []byte) error {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon || !isToken(name) {
		return &invalidResponseError{part: invalidFieldName, text: line}
	}
	switch strings.ToLower(string(name)) {
	case "content-length":
		c.hasLength = true
	case "transfer-encoding":
		c.hasEncoding = true
	}
	return checkFieldText(value)
}

// checkFraming refuses what different readers may understand as different bodies.
func (c *headChecker) checkFraming() error {
	switch {
	case c.hasEncoding && c.hasLength:
		return &invalidResponseError{part: invalidFraming, text: []byte("a length beside a transfer encoding")}
	case c.hasEncoding && c.isHTTP10:
		return &invalidResponseError{part: invalidFraming, text: []byte("a transfer encoding on HTTP/1.0")}
	}
	return nil
}

// checkFieldText returns an error if a field's value or a reason contains a control byte other than a tab.
func checkFieldText(text []byte) error {
	for _, character := range text {
		if character < ' ' && character != '\t' || character == 0x7f {
			return &invalidResponseError{part: invalidFieldValue, text: text}
		}
	}
	return nil
}

func isDigit(character byte) bool { return '0' <= character && character <= '9' }

// isToken reports whether a name consists of the characters of a token, at least one.
func isToken(name []byte) bool {
	for _, character := range name {
		isLetter := 'a' <= character|0x20 && character|0x20 <= 'z'
		if !isLetter && !isDigit(character) && strings.IndexByte("!#$%&'*+-.^_`|~", character) < 0 {
			return false
		}
	}
	return len(name) > 0
}

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
	if isChunked(response) {
		response.Body = &checkedTrailerBody{ReadCloser: response.Body, response: response}
	}
	return response, nil
}

// checkedTrailerBody is a body in chunks whose end is an error if a trailer field is not valid.
type checkedTrailerBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedTrailerBody) Read(into []byte) (int, error) {
	read, err := b.ReadCloser.Read(into)
	var malformed textproto.ProtocolError
	switch {
	case errors.As(err, &malformed):
		err = &invalidResponseError{part: invalidTrailer, err: err}
	case errors.Is(err, io.EOF):
		if invalid := checkTrailer(b.response.Trailer); invalid != nil {
			err = invalid
		}
	}
	return read, err
}

func checkTrailer(trailer http.Header) error {
	for name, values := range trailer {
		if !isToken([]byte(name)) {
			return &invalidResponseError{part: invalidTrailer, text: []byte(name)}
		}
		for _, value := range values {
			if checkFieldText([]byte(value)) != nil {
				return &invalidResponseError{part: invalidTrailer, text: []byte(value)}
			}
		}
	}
	return nil
}
