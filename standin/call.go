package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dogwoodhead/frame"
)

// maxBackoff limits the mean wait before a retry.
const maxBackoff = 5 * time.Second

// keyReasonPrefix starts the reason of an attempt that got no operation key.
const keyReasonPrefix = "key-"

// call is one call of a caller, with its retries.
type call struct {
	callers *Callers
	class   ClassLoad
	tally   *tally
	token   string
	due     time.Duration // since the start of the run
	// attemptToken is the token of the current attempt.
	attemptToken string
	// notRunAttempts lists the numbers of the attempts that were not run.
	notRunAttempts []int
	operationKey   string
	random         *rand.Rand
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome string
	reason  string
	partial bool
	// connBroken is set if the connection to the ingress broke.
	connBroken bool
	// lost is set if a connection broke, at the ingress or behind it.
	lost *LostAttempt
}

func (c *call) run(ctx context.Context) {
	sentMicros := c.elapsedMicros()
	if c.class.CancelFraction > 0 && c.random.Float64() < c.class.CancelFraction {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(c.random.Float64()*float64(c.class.Timeout)/4))
		defer cancel()
	}
	outcome, attempts := c.sendWithRetries(ctx)
	c.tally.countCall(RootCall{
		Token: c.token, Target: c.class.Target, Outcome: outcome, Attempts: attempts,
		Keyed: c.class.Keyed, NotRunAttempts: c.notRunAttempts, SentMicros: sentMicros, DoneMicros: c.elapsedMicros(),
	}, c.due)
}

// elapsedMicros returns the microseconds since the start of the run.
func (c *call) elapsedMicros() int64 {
	return c.callers.clock.Since(c.callers.startedAt).Microseconds()
}

// AttemptToken returns the token that a call sends with attempt n, counted from
// 1. A retry of a keyed call sends the same body, because the key identifies
// the call. Any other retry has a new token, which distinguishes runs caused by
// nodes from runs caused by callers.
func AttemptToken(token string, keyed bool, n int) string {
	if keyed || n == 1 {
		return token
	}
	return token + "~" + strconv.Itoa(n)
}

// sendWithRetries sends the call until it has a complete response or no retry is
// left. The outcome covers all n attempts: "not run" only if none was run.
func (c *call) sendWithRetries(ctx context.Context) (outcome string, n int) {
	outcome = OutcomeNotRun
	backoff := c.class.Backoff.D()
	for n = 1; ; n++ {
		c.attemptToken = AttemptToken(c.token, c.class.Keyed, n)
		a := c.sendAttempt(ctx)
		if ctx.Err() != nil {
			a = attemptResult{outcome: OutcomeCancelled}
		}
		c.tally.countAttempt(a)
		switch a.outcome {
		case OutcomeComplete, OutcomeWrong, OutcomeCancelled:
			return a.outcome, n
		case OutcomeNotRun:
			c.notRunAttempts = append(c.notRunAttempts, n)
		case OutcomeUnknown, OutcomeFailed:
			if outcome != OutcomeUnknown {
				outcome = a.outcome
			}
		}
		if n > c.class.MaxRetries {
			return outcome, n
		}
		wait := min(backoff, maxBackoff)
		if !c.callers.sleep(ctx, time.Duration((0.5+c.random.Float64())*float64(wait))) {
			return OutcomeCancelled, n
		}
		backoff *= 2
	}
}

// sendAttempt sends the call once; a keyed call first fetches its key if it has
// none. The times of the attempt then span both requests.
func (c *call) sendAttempt(ctx context.Context) attemptResult {
	ingress, sentMicros := c.callers.pickIngress(c.class, c.random), c.elapsedMicros()
	a := c.sendAttemptTo(ctx, ingress)
	if strings.HasSuffix(a.reason, string(frame.ReasonLost)) || a.partial {
		a.lost = &LostAttempt{Token: c.attemptToken, IngressAddr: ingress, Reason: a.reason, BehindIngress: !a.connBroken, SentMicros: sentMicros, DoneMicros: c.elapsedMicros()}
	}
	return a
}

func (c *call) sendAttemptTo(ctx context.Context, ingress string) attemptResult {
	if c.class.Keyed && c.operationKey == "" {
		if a := c.fetchKey(ctx, ingress); a.outcome != OutcomeComplete {
			return a
		}
	}
	resp, body, err := c.post(ctx, "http://"+ingress+c.path("/call/"))
	if err != nil {
		a := classifyError(err)
		if a.reason == string(frame.ReasonDial) {
			c.callers.excludeIngress(ingress)
		}
		return a
	}
	if c.callers.scenario.Direct {
		return c.classifyResponse(resp, body, frame.Answered.String())
	}
	return c.classifyResponse(resp, body, resp.Header.Get(frame.HeaderOutcome))
}

func (c *call) path(prefix string) string {
	if !c.callers.scenario.Direct {
		return prefix + c.class.Target
	}
	_, operation, _ := strings.Cut(c.class.Target, "/")
	return "/" + operation
}

// post sends one request and reads the complete response, with OneWayDelay added
// in each direction.
func (c *call) post(ctx context.Context, url string) (*http.Response, []byte, error) {
	delay := c.class.OneWayDelay.D()
	ctx, cancel := context.WithTimeout(ctx, c.class.Timeout.D()+2*delay+responseGrace)
	defer cancel()
	c.callers.sleep(ctx, delay)
	reqBody, err := json.Marshal(RequestBody{Token: c.attemptToken})
	if err != nil {
		return nil, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(reqBody))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(frame.HeaderTimeout, c.class.Timeout.D().String())
	req.Header.Set(frame.HeaderCaller, c.class.Name)
	req.Header.Set(frame.HeaderRequest, c.token)
	if c.operationKey != "" {
		req.Header.Set(frame.HeaderKey, c.operationKey)
	}
	resp, err := c.callers.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.callers.sleep(ctx, delay)
	return resp, body, err
}

// fetchKey requests an operation key and stores it in the call. This request
// runs no operation, so every failure is "not run".
func (c *call) fetchKey(ctx context.Context, ingress string) attemptResult {
	resp, body, err := c.post(ctx, "http://"+ingress+c.path("/key/"))
	if err != nil {
		a := classifyError(err)
		if a.reason == string(frame.ReasonDial) {
			c.callers.excludeIngress(ingress)
		}
		return attemptResult{outcome: OutcomeNotRun, reason: keyReasonPrefix + a.reason, connBroken: a.connBroken}
	}
	if resp.StatusCode != http.StatusOK {
		return attemptResult{outcome: OutcomeNotRun, reason: keyReasonPrefix + resp.Header.Get(frame.HeaderReason)}
	}
	if c.operationKey = responseKey(resp.Header, body); c.operationKey == "" {
		return attemptResult{outcome: OutcomeNotRun, reason: keyReasonPrefix + "empty"}
	}
	return attemptResult{outcome: OutcomeComplete}
}

// responseKey returns the operation key of a response: the header, the JSON
// field "key", or the body as text.
func responseKey(h http.Header, body []byte) string {
	if k := h.Get(frame.HeaderKey); k != "" {
		return k
	}
	var v struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal(body, &v); err == nil {
		return v.Key
	}
	return strings.TrimSpace(string(body))
}

// classifyResponse returns the result of an attempt with a complete response.
func (c *call) classifyResponse(resp *http.Response, body []byte, outcome string) attemptResult {
	reason := resp.Header.Get(frame.HeaderReason)
	switch {
	case outcome == frame.NotRun.String():
		return attemptResult{outcome: OutcomeNotRun, reason: reason}
	case outcome == frame.Unknown.String():
		return attemptResult{outcome: OutcomeUnknown, reason: reason}
	case outcome != frame.Answered.String():
		return attemptResult{outcome: OutcomeUnknown, reason: "status-" + resp.Status}
	case resp.StatusCode != http.StatusOK:
		return attemptResult{outcome: OutcomeFailed, reason: resp.Status}
	}
	if err := CheckResponse(c.callers.scenario.Graph, c.class.Target, c.attemptToken, resp.Header, body, c.callers.scenario.Direct); err != nil {
		return attemptResult{outcome: OutcomeWrong, reason: err.Error()}
	}
	return attemptResult{outcome: OutcomeComplete}
}

// classifyError returns the result of an attempt without a response. Only a
// failed dial proves that nothing was sent.
func classifyError(err error) attemptResult {
	var opErr *net.OpError
	switch {
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return attemptResult{outcome: OutcomeNotRun, reason: string(frame.ReasonDial)}
	case errors.Is(err, io.ErrUnexpectedEOF):
		return attemptResult{outcome: OutcomeUnknown, reason: string(frame.ReasonPartial), partial: true, connBroken: true}
	case errors.Is(err, context.DeadlineExceeded):
		return attemptResult{outcome: OutcomeUnknown, reason: string(frame.ReasonTimeout)}
	default:
		return attemptResult{outcome: OutcomeUnknown, reason: string(frame.ReasonLost), connBroken: true}
	}
}
