package trial

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// callLoop sends the requests of one caller over persistent connections, which
// last until the process at the other end exits.
func (s *meshSoak) callLoop(ctx context.Context, vm *meshVM, caller int, random *rand.Rand) {
	meanPause := float64(meshMeanPause) * max(float64(s.opts.VMs)/meshBaseVMs, 1)
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
	for i := 0; ctx.Err() == nil; i++ {
		r := requestRecord{id: fmt.Sprintf("%d-%d-%d", vm.index, caller, i), vm: vm.index}
		switch random.IntN(4) {
		case 0:
			r.path, r.unsafe = "/book/x", true
		case 1:
			r.path = "/front/x"
		case 2:
			r.path = "/deep/x"
		default:
			s.mu.Lock()
			r.configVersion = 1 + random.IntN(s.configVersion)
			s.mu.Unlock()
			r.path = fmt.Sprintf("/v%d/x", r.configVersion)
		}
		s.call(ctx, client, vm, r)
		sleep(ctx, time.Duration(random.ExpFloat64()*meanPause))
	}
}

// call sends one request once and records its result.
func (s *meshSoak) call(ctx context.Context, client *http.Client, vm *meshVM, r requestRecord) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), meshCallerTimeout+time.Second)
	defer cancel()
	method, body := http.MethodGet, io.Reader(nil)
	if r.unsafe {
		method, body = http.MethodPost, strings.NewReader("booking "+r.id)
	}
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", vm.ip, meshOutboundPort, r.path), body)
	if err != nil {
		panic(err) // the URL is well-formed
	}
	req.Host = meshHost
	req.Header.Set("X-Request-Id", r.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(meshCallerTimeout.Milliseconds(), 10))
	s.mu.Lock()
	r.nodeStarts = vm.nodeStarts
	s.mu.Unlock()
	r.begin = time.Now()
	resp, err := client.Do(req)
	if err == nil {
		var respBody []byte
		respBody, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.status, r.serverStamp, r.body = resp.StatusCode, resp.Header.Get("X-Server-Stamp"), string(respBody)
	}
	r.err, r.end = err, time.Now()
	s.mu.Lock()
	s.records = append(s.records, r)
	s.mu.Unlock()
}
