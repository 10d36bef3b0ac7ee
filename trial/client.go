package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// requestTimeout bounds one request to a control endpoint.
const requestTimeout = 10 * time.Second

func request(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrapf(err, "%s %s", method, url)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "%s %s", method, url)
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, eris.Wrapf(err, "%s %s", method, url)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("%s %s: %s: %.200s", method, url, resp.Status, respBody)
	}
	return respBody, nil
}

func post(ctx context.Context, url string, body []byte) error {
	_, err := request(ctx, http.MethodPost, url, body)
	return err
}

func getJSON(ctx context.Context, url string, v any) error {
	respBody, err := request(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return eris.Wrapf(json.Unmarshal(respBody, v), "GET %s", url)
}
