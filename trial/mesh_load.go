package trial

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// meshUploadDivisor is the inverse of the fraction of bookings with a large body,
	// meshUploadBytes about its size: more than nodes buffer. It is sent in pieces with
	// a pause after each.
	meshUploadDivisor = 10
	meshUploadBytes   = 300_000
	meshPieceBytes    = 16_000
	meshPiecePause    = 5 * time.Millisecond
	// meshEarlyLength is the length of an early response in bytes, also more than that.
	meshEarlyLength = 100_000
)

// callLoop sends the requests of one caller over persistent connections, which
// last until the process at the other end exits.
func (s *meshSoak) callLoop(ctx context.Context, vm *meshVM, caller int, random *rand.Rand) {
	meanPause := float64(meshMeanPause) * max(float64(s.opts.VMs)/meshBaseVMs, 1)
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
	for i := 0; ctx.Err() == nil; i++ {
		r := requestRecord{id: fmt.Sprintf("%d-%d-%d", vm.index, caller, i), vm: vm.index, timeout: meshCallerTimeout}
		switch random.IntN(4) {
		case 0:
			if random.IntN(meshUploadDivisor) == 0 {
				r.uploaded = strings.Repeat(r.id+";", meshUploadBytes/(len(r.id)+1))
			}
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
		if r.uploaded != "" {
			s.upload(vm, r)
		} else {
			s.call(ctx, client, vm, r)
		}
		sleep(ctx, time.Duration(random.ExpFloat64()*meanPause))
	}
}

// call sends one request once and records its result.
func (s *meshSoak) call(ctx context.Context, client *http.Client, vm *meshVM, r requestRecord) {
	// The lock is held during planned stops, so waiting for it must not use up time.
	r.nodeStarts = s.nodeStarts(vm)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.timeout+time.Second)
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
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.timeout.Milliseconds(), 10))
	r.begin = time.Now()
	resp, err := client.Do(req)
	s.record(r, resp, err)
}

// nodeStarts returns how often the node of a VM was started.
func (s *meshSoak) nodeStarts(vm *meshVM) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return vm.nodeStarts
}

// record records the result of a request.
func (s *meshSoak) record(r requestRecord, resp *http.Response, err error) {
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.status, r.serverStamp, r.body = resp.StatusCode, resp.Header.Get("X-Server-Stamp"), string(body)
	}
	r.err, r.end = err, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, r)
}

// upload sends a large body in pieces, to its end although the response may come
// before, and records the result.
func (s *meshSoak) upload(vm *meshVM, r requestRecord) {
	r.nodeStarts = s.nodeStarts(vm)
	r.begin = time.Now()
	conn, err := net.Dial("tcp", net.JoinHostPort(vm.ip, strconv.Itoa(meshOutboundPort)))
	if err != nil {
		s.record(r, nil, err)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(r.begin.Add(r.timeout + time.Second))
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		sendPieces(conn, r)
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	s.record(r, resp, err)
	<-sent
}

// sendPieces writes the request of an upload until its end or an error, which the
// reader of the response notices as well.
func sendPieces(conn net.Conn, r requestRecord) {
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n",
		r.path, meshHost, r.id, r.timeout.Milliseconds())
	for rest := r.uploaded; err == nil && rest != ""; {
		piece := rest[:min(len(rest), meshPieceBytes)]
		rest = rest[len(piece):]
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece)
		time.Sleep(meshPiecePause)
	}
	if err == nil {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}
