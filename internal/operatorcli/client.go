// Package operatorcli implements the operators' command line.
//
// Exit codes: 0 success; 1 refused or failed; 2 wrong usage; 3 conflict with another operator's
// change; 4 the outcome is not known (run the printed command again with the same operation id).
package operatorcli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/ravenway/ravenway/api/ravenway/v1/ravenwayv1connect"
)

// Exit codes.
const (
	ExitFailed         = 1
	ExitUsage          = 2
	ExitConflict       = 3
	ExitUnknownOutcome = 4
)

// exitError is an error with its exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func exitWith(code int, format string, arguments ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, arguments...)}
}

// ExitCode returns the process's exit code for an error of the command.
func ExitCode(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailed
}

// session holds the clients and the output of one run of a command.
type session struct {
	out     io.Writer
	json    bool
	clients []namedClient
}

type namedClient struct {
	address string
	client  ravenwayv1connect.OperatorServiceClient
}

// requestTimeout is the maximum duration of one call to one daemon.
const requestTimeout = 15 * time.Second

func newSession(out io.Writer, command *cli.Command) (*session, error) {
	opened := &session{out: out, json: command.String("output") == "json"}
	var token string
	if path := command.String("token-file"); path != "" {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, exitWith(ExitUsage, "reading the operator token: %w", err)
		}
		token = strings.TrimSpace(string(content))
	}
	httpClient := newHTTPClient(token)
	for _, address := range command.StringSlice("server") {
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		opened.clients = append(opened.clients, namedClient{
			address: address, client: ravenwayv1connect.NewOperatorServiceClient(httpClient, address, connect.WithReadMaxBytes(maximumResponseBytes)),
		})
	}
	return opened, nil
}

const (
	// maximumResponseBytes bounds a daemon's response, in bytes. The status of a fleet of 1,000 nodes
	// takes less than 1 MB.
	maximumResponseBytes = 64 << 20
	// maximumResponseHeadBytes bounds the head of a response, in bytes.
	maximumResponseHeadBytes = 64 << 10
)

// newHTTPClient returns a client that sends an operator's token and bounds what it reads.
func newHTTPClient(token string) *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = maximumResponseHeadBytes
	return &http.Client{Timeout: requestTimeout, Transport: &tokenTransport{token: token, next: transport}}
}

// tokenTransport adds the operator's bearer token to each request.
type tokenTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *tokenTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if t.token != "" {
		request = request.Clone(request.Context())
		request.Header.Set("Authorization", "Bearer "+t.token)
	}
	return t.next.RoundTrip(request)
}

// operationID returns the id from the command line, or a newly generated one.
func operationID(command *cli.Command) string {
	if id := command.String("operation-id"); id != "" {
		return id
	}
	return uuid.NewString()
}

// call sends a request to each server in turn until one responds. A change whose response was lost
// is sent again to the next server, which is safe, since it has the same operation id.
func call[Request, Response any](ctx context.Context, s *session, method func(ravenwayv1connect.OperatorServiceClient) func(context.Context, *connect.Request[Request]) (*connect.Response[Response], error), request *Request) (*Response, error) {
	var failures []string
	unknown := false
	for _, server := range s.clients {
		response, err := method(server.client)(ctx, connect.NewRequest(request))
		if err == nil {
			return response.Msg, nil
		}
		switch connect.CodeOf(err) {
		case connect.CodeUnavailable, connect.CodeUnknown:
		case connect.CodeDeadlineExceeded:
			unknown = true
		default:
			return nil, exitWith(ExitFailed, "%s: %w", server.address, err)
		}
		failures = append(failures, fmt.Sprintf("%s: %v", server.address, err))
	}
	if unknown {
		return nil, exitWith(ExitUnknownOutcome, "the outcome is not known:\n%s", strings.Join(failures, "\n"))
	}
	return nil, exitWith(ExitFailed, "no server responded:\n%s", strings.Join(failures, "\n"))
}

// printMessage prints a message as JSON if the session's output is JSON; otherwise it runs table.
func (s *session) printMessage(message proto.Message, table func()) error {
	if !s.json {
		table()
		return nil
	}
	encoded, err := protojson.MarshalOptions{Indent: "  ", EmitUnpopulated: true, UseProtoNames: true}.Marshal(message)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.out, string(encoded))
	return err
}

// NewClient returns a client of one daemon's operator listener.
func NewClient(address, token string) ravenwayv1connect.OperatorServiceClient {
	httpClient := newHTTPClient(token)
	return ravenwayv1connect.NewOperatorServiceClient(httpClient, "http://"+address, connect.WithReadMaxBytes(maximumResponseBytes))
}

// TokenFromEnvironment reads the operator token from the file that RAVENWAY_TOKEN_FILE names. It
// returns "" if the file can't be read.
func TokenFromEnvironment() string {
	content, err := os.ReadFile(os.Getenv("RAVENWAY_TOKEN_FILE"))
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(content))
}
