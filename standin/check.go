package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"dogwoodhead/frame"
)

// WrongResponseError describes how a response does not match its request.
type WrongResponseError struct {
	token  string
	reason string
}

// Token returns the token of the request.
func (e *WrongResponseError) Token() string { return e.token }

func (e *WrongResponseError) Error() string {
	return fmt.Sprintf("response to %s: %s", e.token, e.reason)
}

func wrongResponse(token, format string, args ...any) error {
	return &WrongResponseError{token: token, reason: fmt.Sprintf(format, args...)}
}

// CheckResponse checks that a body with status 200 is the complete response to the
// request with the given token. A direct response comes from a backend server,
// which sets no digest. The error is a *WrongResponseError.
func CheckResponse(g Graph, target, token string, h http.Header, body []byte, direct bool) error {
	if n := h.Get("Content-Length"); n != strconv.Itoa(len(body)) {
		return wrongResponse(token, "length %q, got %d bytes", n, len(body))
	}
	if !direct {
		digest, err := strconv.ParseUint(h.Get(frame.HeaderDigest), 16, 64)
		if err != nil || digest != xxhash.Sum64(body) {
			return wrongResponse(token, "digest %q does not match the body", h.Get(frame.HeaderDigest))
		}
	}
	var parsed ResponseBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return wrongResponse(token, "not JSON: %v", err)
	}
	return checkBody(g, target, token, &parsed)
}

// checkBody checks a response body and, recursively, its child responses.
func checkBody(g Graph, target, token string, r *ResponseBody) error {
	if r.Token != token {
		return wrongResponse(token, "token is %q", r.Token)
	}
	if target != "" && r.Service+"/"+r.Operation != target {
		return wrongResponse(token, "operation is %s/%s, want %s", r.Service, r.Operation, target)
	}
	calls, known := g[target]
	if known && len(calls) != len(r.ChildResponses) {
		return wrongResponse(token, "%d child responses, want %d", len(r.ChildResponses), len(calls))
	}
	for i := range r.ChildResponses {
		childTarget := ""
		if known {
			childTarget = calls[i]
		}
		if err := checkBody(g, childTarget, token+"."+strconv.Itoa(i), &r.ChildResponses[i]); err != nil {
			return err
		}
	}
	return nil
}
