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

// maxBackoff bounds the wait before a retry.
const maxBackoff = 5 * time.Second

// keyPrefix begins the reason of an attempt that got no operation key.
const keyPrefix = "key-"

// call is one call of one caller with its retries.
type call struct {
	callers *Callers
	class   ClassLoad
	tally   *tally
	token   string
	due     time.Duration // since the start of the run
	// sends is the token of the current attempt.
	sends string
	// refused lists the attempts that were not run.
	refused []int
	key     string
	random  *rand.Rand
}

// attemptResult is what one attempt came to.
type attemptResult struct {
	outcome string
	reason  string
	partial bool
	// cut says that the connection to the entry broke.
	cut bool
	// lost is set where the connection to the entry broke.
	lost *Lost
}

func (c *call) run(ctx context.Context) {
	sent := c.since()
	if c.class.HangUp > 0 && c.random.Float64() < c.class.HangUp {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(c.random.Float64()*float64(c.class.Timeout)/4))
		defer cancel()
	}
	outcome, attempts := c.attempts(ctx)
	c.tally.done(Root{
		Token: c.token, Target: c.class.Target, Outcome: outcome, Attempts: attempts,
		Keyed: c.class.Keyed, Refused: c.refused, Sent: sent, Done: c.since(),
	}, c.due)
}

// since returns the microseconds since the start of the run.
func (c *call) since() int64 { return c.callers.clock.Since(c.callers.start).Microseconds() }

// AttemptToken returns the token that a call sends with its attempt number n,
// from 1. A retry of a keyed call repeats the body, because the key stands for
// it; any other retry has a token of its own, so that runs caused by nodes can
// be told from runs caused by callers.
func AttemptToken(token string, keyed bool, n int) string {
	if keyed || n == 1 {
		return token
	}
	return token + "~" + strconv.Itoa(n)
}

// attempts sends the call until it has a whole answer or no retry is left. The
// outcome covers all attempts: it is only "not run" where each one was.
func (c *call) attempts(ctx context.Context) (outcome string, n int) {
	outcome = OutcomeNotRun
	backoff := c.class.Backoff.D()
	for n = 1; ; n++ {
		c.sends = AttemptToken(c.token, c.class.Keyed, n)
		a := c.attempt(ctx)
		if ctx.Err() != nil {
			a = attemptResult{outcome: OutcomeHungUp}
		}
		c.tally.attempt(a)
		switch a.outcome {
		case OutcomeWhole, OutcomeWrong, OutcomeHungUp:
			return a.outcome, n
		case OutcomeNotRun:
			c.refused = append(c.refused, n)
		case OutcomeUnknown, OutcomeFailed:
			if outcome != OutcomeUnknown {
				outcome = a.outcome
			}
		}
		if n > c.class.Retries {
			return outcome, n
		}
		wait := min(backoff, maxBackoff)
		if !c.callers.sleep(ctx, time.Duration((0.5+c.random.Float64())*float64(wait))) {
			return OutcomeHungUp, n
		}
		backoff *= 2
	}
}

// attempt sends the call once, for a keyed call after it got a key. The time of
// a keyed attempt covers both requests.
func (c *call) attempt(ctx context.Context) attemptResult {
	entry, sent := c.callers.entry(c.class, c.random), c.since()
	a := c.attemptAt(ctx, entry)
	if strings.HasSuffix(a.reason, string(frame.ReasonLost)) || a.partial {
		a.lost = &Lost{Token: c.sends, Entry: entry, Reason: a.reason, Inside: !a.cut, Sent: sent, Done: c.since()}
	}
	return a
}

func (c *call) attemptAt(ctx context.Context, entry string) attemptResult {
	if c.class.Keyed && c.key == "" {
		if a := c.getKey(ctx, entry); a.outcome != OutcomeWhole {
			return a
		}
	}
	resp, body, err := c.post(ctx, "http://"+entry+c.path("/call/"))
	if err != nil {
		a := failure(err)
		if a.reason == string(frame.ReasonDial) {
			c.callers.refuse(entry)
		}
		return a
	}
	if c.callers.sc.Direct {
		return c.judge(resp, body, frame.Answered.String())
	}
	return c.judge(resp, body, resp.Header.Get(frame.HeaderOutcome))
}

func (c *call) path(prefix string) string {
	if !c.callers.sc.Direct {
		return prefix + c.class.Target
	}
	_, operation, _ := strings.Cut(c.class.Target, "/")
	return "/" + operation
}

// post sends one request and reads its whole answer, with the callers'
// distance on the way there and back.
func (c *call) post(ctx context.Context, url string) (*http.Response, []byte, error) {
	delay := c.class.Delay.D()
	ctx, cancel := context.WithTimeout(ctx, c.class.Timeout.D()+2*delay+answerGrace)
	defer cancel()
	c.callers.sleep(ctx, delay)
	ask, err := json.Marshal(Ask{Token: c.sends})
	if err != nil {
		return nil, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(ask))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(frame.HeaderTimeout, c.class.Timeout.D().String())
	req.Header.Set(frame.HeaderCaller, c.class.Name)
	req.Header.Set(frame.HeaderRequest, c.token)
	if c.key != "" {
		req.Header.Set(frame.HeaderKey, c.key)
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

// getKey asks for an operation key. Nothing runs in this step, so every failure
// is "not run".
func (c *call) getKey(ctx context.Context, entry string) attemptResult {
	resp, body, err := c.post(ctx, "http://"+entry+c.path("/key/"))
	if err != nil {
		a := failure(err)
		if a.reason == string(frame.ReasonDial) {
			c.callers.refuse(entry)
		}
		return attemptResult{outcome: OutcomeNotRun, reason: keyPrefix + a.reason, cut: a.cut}
	}
	if resp.StatusCode != http.StatusOK {
		return attemptResult{outcome: OutcomeNotRun, reason: keyPrefix + resp.Header.Get(frame.HeaderReason)}
	}
	if c.key = keyOf(resp.Header, body); c.key == "" {
		return attemptResult{outcome: OutcomeNotRun, reason: keyPrefix + "empty"}
	}
	return attemptResult{outcome: OutcomeWhole}
}

// keyOf returns the key of an answer: the header, a JSON field "key", or the
// body as text.
func keyOf(h http.Header, body []byte) string {
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

// judge decides what an answer that was read to its end means.
func (c *call) judge(resp *http.Response, body []byte, outcome string) attemptResult {
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
	if err := CheckAnswer(c.callers.sc.Graph, c.class.Target, c.sends, resp.Header, body, c.callers.sc.Direct); err != nil {
		return attemptResult{outcome: OutcomeWrong, reason: err.Error()}
	}
	return attemptResult{outcome: OutcomeWhole}
}

// failure decides what an attempt without an answer means. Only a failed dial
// proves that nothing was sent.
func failure(err error) attemptResult {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return attemptResult{outcome: OutcomeNotRun, reason: string(frame.ReasonDial)}
	case errors.Is(err, io.ErrUnexpectedEOF):
		return attemptResult{outcome: OutcomeUnknown, reason: string(frame.ReasonPartial), partial: true, cut: true}
	case errors.Is(err, context.DeadlineExceeded):
		return attemptResult{outcome: OutcomeUnknown, reason: string(frame.ReasonTimeout)}
	default:
		return attemptResult{outcome: OutcomeUnknown, reason: string(frame.ReasonLost), cut: true}
	}
}
