// Package badresponse sends responses that are cut, or that are not valid HTTP, in place of an engine or a service. A
// request asks for one by a header.
package badresponse

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Header names the kind of response that a request asks for.
const Header = "Lab-Bad-Response"

// Kind is a kind of bad response.
type Kind string

// Kinds of bad responses.
const (
	// CutUpload is a part of a response that ends with its connection, which is reset while the request is being written.
	CutUpload Kind = "cut_upload"
	// ClosedUpload is the same, but that the connection is closed with the request unread.
	ClosedUpload Kind = "closed_upload"
	// NoStatus and UnknownStatus are responses whose status is none.
	NoStatus      Kind = "status_000"
	UnknownStatus Kind = "status_999"
	// BlankInName has a field name with a blank inside, and BlankLength one that frames the body with a blank behind it.
	BlankInName Kind = "blank_in_name"
	BlankLength Kind = "blank_behind_length"
	// ControlInName has a field name with a control byte.
	ControlInName Kind = "control_in_name"
	// BadTrailer ends its chunks with a trailer whose name is none.
	BadTrailer Kind = "bad_trailer"
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{CutUpload, ClosedUpload, NoStatus, UnknownStatus, BlankInName, BlankLength, ControlInName, BadTrailer}
}

// cutAfter is the time from a part of a response to the end of its connection: the request is still being written then.
const cutAfter = 20 * time.Millisecond

// IsAsked returns the kind of bad response that a request asks for, if it does.
func IsAsked(request *http.Request) (Kind, bool) {
	kind := Kind(request.Header.Get(Header))
	return kind, kind != ""
}

// Write writes a bad response with the header that is set so far, and ends its connection. The body of the request need
// not have been read.
func Write(writer http.ResponseWriter, kind Kind) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer connection.Close()
	var text bytes.Buffer
	text.WriteString(statusLine(kind) + "\r\n")
	_ = writer.Header().Write(&text)
	text.WriteString(rest(kind))
	if _, err := connection.Write(text.Bytes()); err != nil {
		return
	}
	tcp, isTCP := connection.(*net.TCPConn)
	if kind == CutUpload && isTCP {
		time.Sleep(cutAfter)
		_ = tcp.SetLinger(0)
	}
}

func statusLine(kind Kind) string {
	switch kind {
	case NoStatus:
		return "HTTP/1.1 000 OK"
	case UnknownStatus:
		return "HTTP/1.1 999 OK"
	}
	return "HTTP/1.1 200 OK"
}

// rest returns the last fields of the header, and the body.
func rest(kind Kind) string {
	const body = "answer that is none"
	length := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	switch kind {
	case CutUpload, ClosedUpload:
		return "Connection: close\r\n\r\n" + body
	case BlankInName:
		return "Bad Name: x\r\n" + length
	case BlankLength:
		return "Content-Length : 2\r\n\r\n" + body
	case ControlInName:
		return "Bad\x01Name: x\r\n" + length
	case BadTrailer:
		return "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\nBad Name: x\r\n\r\n"
	}
	return length
}
