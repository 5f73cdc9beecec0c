package httpcheck

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport is a client that refuses the responses that are not valid HTTP. It implements http.RoundTripper.
type Transport struct{ next http.RoundTripper }

// NewTransport returns a client that checks the responses of another one.
func NewTransport(next http.RoundTripper) *Transport { return &Transport{next: next} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{
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
	if len(response.TransferEncoding) > 0 {
		response.Body = WithCheckedTrailer(response)
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
