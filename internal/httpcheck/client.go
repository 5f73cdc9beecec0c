package httpcheck

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// ErrRequestNotWritten means that a response ended with its connection before its request was written as a whole.
var ErrRequestNotWritten = errors.New("httpcheck: the response's connection ended before the whole request was written")

// Transport is a client that refuses the responses that are not valid HTTP, and those with neither a length nor chunks
// whose connection ended before their request was written. It implements http.RoundTripper.
type Transport struct{ next http.RoundTripper }

// NewTransport returns a client that checks the responses of another one.
func NewTransport(next http.RoundTripper) *Transport { return &Transport{next: next} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	write := &requestWrite{}
	trace := &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { write.begin() },
		WroteRequest: func(info httptrace.WroteRequestInfo) { write.end(info.Err) },
		Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
			return checkRead(code, http.Header(header))
		},
	}
	response, err := t.next.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		Count(err)
		return nil, err
	}
	if err := checkResponse(response); err != nil {
		Count(err)
		_ = response.Body.Close()
		return nil, err
	}
	switch {
	case len(response.TransferEncoding) > 0:
		response.Body = WithCheckedTrailer(response)
	case response.ContentLength < 0 && request.Method != http.MethodHead:
		response.Body = &endCheckedBody{ReadCloser: response.Body, request: request, write: write}
	}
	return response, nil
}

// checkResponse checks what net/http has read of the head of a response.
func checkResponse(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return &InvalidError{Part: StatusLine, Text: response.Proto}
	}
	if response.StatusCode < http.StatusOK {
		// No request asks for another protocol.
		return &InvalidError{Part: Status, Text: response.Status}
	}
	return checkRead(response.StatusCode, response.Header)
}

func checkRead(status int, header http.Header) error {
	if status < 100 || status > 599 {
		return &InvalidError{Part: Status, Text: fmt.Sprint(status)}
	}
	return checkFields(header)
}

// requestWrite is the writing of a request. net/http may write one again on another connection; the last time counts.
type requestWrite struct {
	mutex sync.Mutex
	// done is closed at the end of the writing, whose error is err; nil before the writing begins.
	done     chan struct{}
	hasEnded bool
	err      error
}

func (w *requestWrite) begin() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.done, w.hasEnded, w.err = make(chan struct{}), false, nil
}

func (w *requestWrite) end(err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.done == nil || w.hasEnded {
		return
	}
	w.err, w.hasEnded = err, true
	close(w.done)
}

// wait returns the error of the writing once it has ended.
func (w *requestWrite) wait(ctx context.Context) error {
	w.mutex.Lock()
	done := w.done
	w.mutex.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return ctx.Err()
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.err
}

// endCheckedBody is a body that ends with its connection. Its end is an error unless the request was written.
type endCheckedBody struct {
	io.ReadCloser
	request *http.Request
	write   *requestWrite
}

// Read implements io.Reader.
func (b *endCheckedBody) Read(into []byte) (int, error) {
	read, err := b.ReadCloser.Read(into)
	if errors.Is(err, io.EOF) {
		if failure := b.write.wait(b.request.Context()); failure != nil {
			err = fmt.Errorf("%w: %w", ErrRequestNotWritten, failure)
		}
	}
	return read, err
}
