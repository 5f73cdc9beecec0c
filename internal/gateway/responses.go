package gateway

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/ravenway/ravenway/internal/state/document"
)

// retryAfterSeconds is the value of Retry-After, in seconds, in responses to requests to the
// control interface that this node can't serve now.
const retryAfterSeconds = "0.3"

// ErrorResponse is the body of a refusal of the control interface.
type ErrorResponse struct {
	Error    string             `json:"error"`
	Findings []document.Finding `json:"findings,omitempty"`
}

// WriteFailure responds to a request to the control interface that failed: it redirects an order that
// has to name the last order, and asks the sender of any other one to retry later.
func WriteFailure(writer http.ResponseWriter, request *http.Request, err error) {
	var condition *ConditionError
	switch {
	case errors.As(err, &condition):
		condition.redirect(writer, request)
	case errors.Is(err, ErrCondition):
		WriteJSON(writer, http.StatusBadRequest, ErrorResponse{Error: err.Error()})
	default:
		writer.Header().Set("Retry-After", retryAfterSeconds)
		WriteJSON(writer, http.StatusServiceUnavailable, ErrorResponse{Error: err.Error()})
	}
}

// WriteJSON writes a response of the control interface.
func WriteJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
