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

// callLoop sends the requests of one caller over connections that it keeps
// until the process at the other end is gone.
func (s *meshSoak) callLoop(ctx context.Context, vm *meshVM, caller int, random *rand.Rand) {
	pace := float64(meshPace) * max(float64(s.o.VMs)/meshUsual, 1)
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
	for i := 0; ctx.Err() == nil; i++ {
		r := record{id: fmt.Sprintf("%d-%d-%d", vm.index, caller, i), vm: vm.index}
		switch random.IntN(4) {
		case 0:
			r.path, r.unsafe = "/book/x", true
		case 1:
			r.path = "/front/x"
		case 2:
			r.path = "/deep/x"
		default:
			s.mu.Lock()
			r.version = 1 + random.IntN(s.version)
			s.mu.Unlock()
			r.path = fmt.Sprintf("/v%d/x", r.version)
		}
		s.call(ctx, client, vm, r)
		pause(ctx, time.Duration(random.ExpFloat64()*pace))
	}
}

// call sends one request once and records what its caller saw.
func (s *meshSoak) call(ctx context.Context, client *http.Client, vm *meshVM, r record) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), meshDeadline+time.Second)
	defer cancel()
	method, body := http.MethodGet, io.Reader(nil)
	if r.unsafe {
		method, body = http.MethodPost, strings.NewReader("booking "+r.id)
	}
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", vm.ip, meshOutboundPort, r.path), body)
	if err != nil {
		panic(err) // the address is well-formed
	}
	req.Host = meshHost
	req.Header.Set("X-Request-Id", r.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(meshDeadline.Milliseconds(), 10))
	s.mu.Lock()
	r.starts = vm.starts
	s.mu.Unlock()
	r.begin = time.Now()
	resp, err := client.Do(req)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.status, r.stamp, r.body = resp.StatusCode, resp.Header.Get("X-Server-Stamp"), string(text)
	}
	r.err, r.end = err, time.Now()
	s.mu.Lock()
	s.records = append(s.records, r)
	s.mu.Unlock()
}
