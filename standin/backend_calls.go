package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"dogwoodhead/frame"
)

// runResult is the result of one run of an operation.
type runResult struct {
	startedAt      time.Time
	selfTime       time.Duration
	end            runEnd
	childResponses []json.RawMessage
}

// makeCalls makes the downstream calls of an operation one after another.
func (b *Backend) makeCalls(ctx context.Context, targets []string, reqBody RequestBody, parentHeader http.Header) ([]json.RawMessage, error) {
	var responses []json.RawMessage
	for i, target := range targets {
		body, err := json.Marshal(RequestBody{Token: reqBody.Token + "." + strconv.Itoa(i)})
		if err != nil {
			return nil, eris.Wrap(err, "encode request")
		}
		response, err := b.attemptCall(ctx, target, i, body, parentHeader)
		for n := 0; err != nil && n < b.settings.MaxRetries && ctx.Err() == nil; n++ {
			response, err = b.attemptCall(ctx, target, i, body, parentHeader)
		}
		if err != nil {
			return nil, err
		}
		responses = append(responses, response)
	}
	return responses, nil
}

// attemptCall makes one attempt. step is the position of the call, so that two
// declared calls to one operation differ while a retry has the same step.
func (b *Backend) attemptCall(ctx context.Context, target string, step int, body []byte, parentHeader http.Header) (json.RawMessage, error) {
	url, err := b.callURL(target)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrapf(err, "call %s", target)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(frame.HeaderStep, strconv.Itoa(step))
	if c := parentHeader.Get(frame.HeaderContext); c != "" {
		req.Header.Set(frame.HeaderContext, c)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "call %s", target)
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, eris.Wrapf(err, "answer of %s", target)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("answer of %s: status %d, outcome %q, reason %q", target,
			resp.StatusCode, resp.Header.Get(frame.HeaderOutcome), resp.Header.Get(frame.HeaderReason))
	}
	if !json.Valid(respBody) {
		return nil, eris.Errorf("answer of %s is not JSON", target)
	}
	return respBody, nil
}

func (b *Backend) callURL(target string) (string, error) {
	if b.settings.OutboundAddr != "" {
		return "http://" + b.settings.OutboundAddr + "/call/" + target, nil
	}
	service, operation, _ := strings.Cut(target, "/")
	addr, ok := b.settings.DirectAddrs[service]
	if !ok {
		return "", eris.Errorf("call %s: no outbound address", target)
	}
	return "http://" + addr + "/" + operation, nil
}
