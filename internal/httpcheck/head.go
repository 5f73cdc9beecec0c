// Package httpcheck checks responses against the grammar of RFC 9110 and RFC 9112, where net/http's reader accepts more
// than that: what one reader skips may be the length of the body to the next one.
package httpcheck

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Part is the part of a response that is not valid by RFC 9110 or RFC 9112.
type Part string

// Parts.
const (
	StatusLine Part = "status_line"
	Status     Part = "status"
	LineEnd    Part = "line_end"
	FieldName  Part = "field_name"
	FieldValue Part = "field_value"
	Framing    Part = "framing"
	Trailer    Part = "trailer"
)

// maximumQuotedBytes bounds the part of an invalid line that its error quotes.
const maximumQuotedBytes = 60

// InvalidError is the error of a response that is not valid HTTP. The engine is alive, and nothing that the
// response says is used: other parts of it may have been read wrongly, too.
type InvalidError struct {
	Part Part
	// Text is the part itself, or what is wrong with it.
	Text string
	// Err is the error of the library that has read the response, if it is one.
	Err error
}

// Error implements error.
func (e *InvalidError) Error() string {
	text := e.Text[:min(len(e.Text), maximumQuotedBytes)]
	if e.Err != nil {
		return fmt.Sprintf("httpcheck: the response is not valid HTTP: %s: %v", e.Part, e.Err)
	}
	return fmt.Sprintf("httpcheck: the response is not valid HTTP: %s: %q", e.Part, text)
}

// Unwrap returns the error of the library.
func (e *InvalidError) Unwrap() error { return e.Err }

// Count counts a response that is not valid HTTP, and reports whether err is about one.
func Count(err error) bool {
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		return false
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("ravenway_engine_responses_invalid_total{part=%q}", invalid.Part)).Inc()
	return true
}

// HeadChecker checks the lines of the head of a response, in order. It is stricter than net/http, which accepts a blank
// in a field's name, any three digits as a status, and lines without a carriage return.
type HeadChecker struct {
	lines       int
	isHTTP10    bool
	hasLength   bool
	hasEncoding bool
}

// Check checks a line with its end. isLast reports whether the head ends with it.
func (c *HeadChecker) Check(line []byte) (isLast bool, err error) {
	content, hasEnd := bytes.CutSuffix(line, []byte("\r\n"))
	if !hasEnd {
		return false, &InvalidError{Part: LineEnd, Text: string(line)}
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

func (c *HeadChecker) checkStatusLine(line []byte) error {
	if len(line) < statusStart+statusLength || !bytes.HasPrefix(line, []byte(httpVersionPrefix)) || !isDigit(line[statusStart-2]) || line[statusStart-1] != ' ' {
		return &InvalidError{Part: StatusLine, Text: string(line)}
	}
	c.isHTTP10 = line[statusStart-2] == '0'
	status, reason := line[statusStart:statusStart+statusLength], line[statusStart+statusLength:]
	if status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]) || len(reason) > 0 && reason[0] != ' ' {
		return &InvalidError{Part: Status, Text: string(line)}
	}
	return checkFieldText(reason)
}

func (c *HeadChecker) checkField(line []byte) error {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon || !isToken(name) {
		return &InvalidError{Part: FieldName, Text: string(line)}
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
func (c *HeadChecker) checkFraming() error {
	switch {
	case c.hasEncoding && c.hasLength:
		return &InvalidError{Part: Framing, Text: "a length beside a transfer encoding"}
	case c.hasEncoding && c.isHTTP10:
		return &InvalidError{Part: Framing, Text: "a transfer encoding on HTTP/1.0"}
	}
	return nil
}

// checkFieldText returns an error if a field's value or a reason contains a control byte other than a tab.
func checkFieldText(text []byte) error {
	for _, character := range text {
		if character < ' ' && character != '\t' || character == 0x7f {
			return &InvalidError{Part: FieldValue, Text: string(text)}
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

// WithCheckedTrailer returns the body of a response in chunks, whose end is an error if a trailer field is not valid.
func WithCheckedTrailer(response *http.Response) io.ReadCloser {
	return &trailerCheckedBody{ReadCloser: response.Body, response: response}
}

type trailerCheckedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *trailerCheckedBody) Read(into []byte) (int, error) {
	read, err := b.ReadCloser.Read(into)
	var malformed textproto.ProtocolError
	switch {
	case errors.As(err, &malformed):
		err = &InvalidError{Part: Trailer, Err: err}
	case errors.Is(err, io.EOF):
		if invalid := checkFields(b.response.Trailer); invalid != nil {
			err = &InvalidError{Part: Trailer, Err: invalid}
		}
	}
	return read, err
}

// checkFields returns an error if a name or a value of the fields that net/http has read is not valid.
func checkFields(fields http.Header) error {
	for name, values := range fields {
		if !isToken([]byte(name)) {
			return &InvalidError{Part: FieldName, Text: name}
		}
		for _, value := range values {
			if err := checkFieldText([]byte(value)); err != nil {
				return err
			}
		}
	}
	return nil
}
