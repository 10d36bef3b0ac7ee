package trial

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkMode is how a proxy treats the bytes that it forwards.
type linkMode int32

// Modes of a link.
const (
	linkOpen linkMode = iota
	// linkSlow delays each read by linkDelay.
	linkSlow
	// linkBlockRequests blocks what the connecting side sends.
	linkBlockRequests
	// linkBlockResponses blocks what the accepting side sends.
	linkBlockResponses
	// linkBlockAll blocks both directions.
	linkBlockAll
)

const (
	linkDelay = 30 * time.Millisecond
	// linkPollInterval is how often a blocked direction rechecks the mode.
	linkPollInterval = 10 * time.Millisecond
	// linkBufferSize is the size of one read in bytes.
	linkBufferSize = 16 << 10
)

// proxy forwards TCP connections between loopback addresses and injects faults.
type proxy struct {
	ln net.Listener
	// dialer connects from the address that the proxy listens on, so that the
	// other side can distinguish VMs.
	dialer net.Dialer
	target string
	mode   atomic.Int32

	mu    sync.Mutex
	conns map[*net.TCPConn]struct{}
}

func newProxy(listen, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, conns: make(map[*net.TCPConn]struct{})}
	p.dialer.LocalAddr = &net.TCPAddr{IP: ln.Addr().(*net.TCPAddr).IP}
	go p.accept()
	return p, nil
}

func (p *proxy) setMode(mode linkMode) { p.mode.Store(int32(mode)) }

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.forward(c.(*net.TCPConn))
	}
}

func (p *proxy) forward(inConn *net.TCPConn) {
	dialed, err := p.dialer.Dial("tcp", p.target)
	if err != nil {
		// As a port without a listener does, reset the connection.
		_ = inConn.SetLinger(0)
		_ = inConn.Close()
		return
	}
	outConn := dialed.(*net.TCPConn)
	p.track(inConn, outConn)
	var wg sync.WaitGroup
	wg.Go(func() { p.pipe(outConn, inConn, true) })
	wg.Go(func() { p.pipe(inConn, outConn, false) })
	wg.Wait()
	p.closeConns(inConn, outConn)
}

func (p *proxy) track(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *proxy) closeConns(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// pipe copies one direction until either side ends.
func (p *proxy) pipe(to, from *net.TCPConn, fromClient bool) {
	buf := make([]byte, linkBufferSize)
	for {
		n, err := from.Read(buf)
		p.delay(fromClient)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			break
		}
	}
	_ = to.SetLinger(0)
	_ = to.Close()
	_ = from.Close()
}

// delay delays or blocks bytes according to the current mode.
func (p *proxy) delay(fromClient bool) {
	for {
		switch mode := linkMode(p.mode.Load()); {
		case mode == linkSlow:
			time.Sleep(linkDelay)
			return
		case mode == linkBlockAll || mode == linkBlockRequests && fromClient || mode == linkBlockResponses && !fromClient:
			time.Sleep(linkPollInterval)
		default:
			return
		}
	}
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.reset()
}
