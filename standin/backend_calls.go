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

// outcome is what one run of an operation came to.
type outcome struct {
	began time.Time
	work  time.Duration
	how   ending
	parts []json.RawMessage
}

// callAll makes the downstream calls of an operation one after another.
func (b *Backend) callAll(ctx context.Context, targets []string, ask Ask, in http.Header) ([]json.RawMessage, error) {
	var parts []json.RawMessage
	for i, target := range targets {
		body, err := json.Marshal(Ask{Token: ask.Token + "." + strconv.Itoa(i)})
		if err != nil {
			return nil, eris.Wrap(err, "encode request")
		}
		part, err := b.callOne(ctx, target, i, body, in)
		for n := 0; err != nil && n < b.set.Retries && ctx.Err() == nil; n++ {
			part, err = b.callOne(ctx, target, i, body, in)
		}
		if err != nil {
			return nil, err
		}
		parts = append(parts, part)
	}
	return parts, nil
}

// callOne makes one attempt. The step is the position of the call, so that two
// declared calls to one operation differ while a retry repeats its step.
func (b *Backend) callOne(ctx context.Context, target string, step int, body []byte, in http.Header) (json.RawMessage, error) {
	url, err := b.urlOf(target)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrapf(err, "call %s", target)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(frame.HeaderStep, strconv.Itoa(step))
	if c := in.Get(frame.HeaderContext); c != "" {
		req.Header.Set(frame.HeaderContext, c)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "call %s", target)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, eris.Wrapf(err, "answer of %s", target)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("answer of %s: status %d, outcome %q, reason %q", target,
			resp.StatusCode, resp.Header.Get(frame.HeaderOutcome), resp.Header.Get(frame.HeaderReason))
	}
	if !json.Valid(answer) {
		return nil, eris.Errorf("answer of %s is not JSON", target)
	}
	return answer, nil
}

func (b *Backend) urlOf(target string) (string, error) {
	if b.set.Outbound != "" {
		return "http://" + b.set.Outbound + "/call/" + target, nil
	}
	service, operation, _ := strings.Cut(target, "/")
	addr, ok := b.set.Direct[service]
	if !ok {
		return "", eris.Errorf("call %s: no outbound address", target)
	}
	return "http://" + addr + "/" + operation, nil
}
