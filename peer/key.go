package peer

import (
	"context"
	"io"
	"net/http"
	"strings"

	"dogwoodhead/board"
	"dogwoodhead/frame"
)

// maxKeyBytes bounds the length of an operation key.
const maxKeyBytes = 256

// RequestKey requests an operation key from a VM's node. The error is a
// *frame.OutcomeError with NotRun, because issuing a key runs no call.
func (c *Client) RequestKey(ctx context.Context, vm board.VM, t frame.Target) (string, error) {
	if err := c.emulateDelay(ctx, vm.Zone()); err != nil {
		return "", frame.NotRunError(frame.ReasonExpired, "before a key was issued")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.CallAddr()+"/key/"+t.String(), nil)
	if err != nil {
		return "", frame.NotRunError(frame.ReasonBad, err.Error())
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return "", frame.NotRunError(frame.ReasonDial, "ask "+vm.Name()+" for a key: "+err.Error())
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxKeyBytes+1))
	if err != nil || len(body) > maxKeyBytes {
		return "", frame.NotRunError(frame.ReasonLost, "key from "+vm.Name()+" was cut short or too long")
	}
	if err := c.emulateDelay(ctx, vm.Zone()); err != nil {
		return "", frame.NotRunError(frame.ReasonExpired, "while the key was on its way")
	}
	if resp.StatusCode != http.StatusOK {
		return "", frame.NotRunError(frame.Reason(resp.Header.Get(frame.HeaderReason)), "at "+vm.Name())
	}
	return string(body), nil
}

// KeyHandler returns the HTTP handler of the path /key/{service}/{operation}.
func KeyHandler(issue func(frame.Target) (string, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t, err := frame.ParseTarget(strings.TrimPrefix(r.URL.Path, "/key/"))
		if err != nil {
			WriteError(w, frame.NotRunError(frame.ReasonBad, err.Error()))
			return
		}
		key, err := issue(t)
		if err != nil {
			WriteError(w, err)
			return
		}
		_ = WriteAnswer(w, frame.NewAnswer(http.StatusOK, "text/plain; charset=utf-8", []byte(key)))
	})
}
