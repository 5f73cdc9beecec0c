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
		for {
			length := bytes.IndexByte(buffered[checked:], '\n') + 1
			if length == 0 {
				break
			}
			isLast, err := checker.Check(buffered[checked : checked+length])
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
		return nil, &httpcheck.InvalidError{Part: httpcheck.Framing, Err: err}
	}
	if isChunked(response) {
		response.Body = httpcheck.WithCheckedTrailer(response)
	}
	return response, nil
}
