package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"dogwoodhead/frame"
)

// WrongError says how an answer differs from what its request asked for.
type WrongError struct {
	token  string
	reason string
}

// Token returns the token of the request.
func (e *WrongError) Token() string { return e.token }

func (e *WrongError) Error() string { return fmt.Sprintf("answer to %s: %s", e.token, e.reason) }

func wrong(token, format string, args ...any) error {
	return &WrongError{token: token, reason: fmt.Sprintf(format, args...)}
}

// CheckAnswer reports whether a body with status 200 is the whole answer to
// the request with the token. A direct answer comes from a backend server,
// which sets no digest. The error is a *WrongError.
func CheckAnswer(g Graph, target, token string, h http.Header, body []byte, direct bool) error {
	if n := h.Get("Content-Length"); n != strconv.Itoa(len(body)) {
		return wrong(token, "length %q, got %d bytes", n, len(body))
	}
	if !direct {
		digest, err := strconv.ParseUint(h.Get(frame.HeaderDigest), 16, 64)
		if err != nil || digest != xxhash.Sum64(body) {
			return wrong(token, "digest %q does not match the body", h.Get(frame.HeaderDigest))
		}
	}
	var reply Reply
	if err := json.Unmarshal(body, &reply); err != nil {
		return wrong(token, "not JSON: %v", err)
	}
	return checkReply(g, target, token, &reply)
}

// checkReply checks one reply and, recursively, its parts.
func checkReply(g Graph, target, token string, r *Reply) error {
	if r.Token != token {
		return wrong(token, "token is %q", r.Token)
	}
	if target != "" && r.Service+"/"+r.Operation != target {
		return wrong(token, "operation is %s/%s, asked for %s", r.Service, r.Operation, target)
	}
	calls, known := g[target]
	if known && len(calls) != len(r.Parts) {
		return wrong(token, "%d parts, want %d", len(r.Parts), len(calls))
	}
	for i := range r.Parts {
		part := ""
		if known {
			part = calls[i]
		}
		if err := checkReply(g, part, token+"."+strconv.Itoa(i), &r.Parts[i]); err != nil {
			return err
		}
	}
	return nil
}
