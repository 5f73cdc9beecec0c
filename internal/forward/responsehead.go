package forward

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/ravenway/ravenway/internal/httpcheck"
)

// checkHead waits for the whole head of a response, without consuming it, and checks each line as it arrives.
func (c *connection) checkHead() error {
	checker := &httpcheck.HeadChecker{}
	checked := 0
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		length, isWhole, err := checkLines(checker, buffered[checked:])
		if isWhole || err != nil {
			return err
		}
		checked += length
		if len(buffered) == c.reader.Size() {
			c.enlargeBuffer(buffered)
		}
		if _, err := c.reader.Peek(len(buffered) + 1); err != nil {
			return err
		}
	}
}

// checkLines checks the complete lines at the beginning of a text, and returns their length. isWhole reports whether the
// head ends with them.
func checkLines(checker *httpcheck.HeadChecker, text []byte) (length int, isWhole bool, err error) {
	for {
		end := bytes.IndexByte(text[length:], '\n') + 1
		if end == 0 {
			return length, false, nil
		}
		if isWhole, err = checker.Check(text[length : length+end]); isWhole || err != nil {
			return length, isWhole, err
		}
		length += end
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
		return nil, &httpcheck.InvalidError{Part: httpcheck.Framing, Err: err}
	}
	if isChunked(response) {
		response.Body = httpcheck.WithCheckedTrailer(response)
	}
	return response, nil
}
