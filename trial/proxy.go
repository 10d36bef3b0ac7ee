package trial

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkMode is what a proxy does with the bytes that pass it.
type linkMode int32

// Modes of a link.
const (
	linkOpen linkMode = iota
	// linkSlow delays each read by linkDelay.
	linkSlow
	// linkOneWay holds what the side that opened a connection sends.
	linkOneWay
	// linkAnswers holds what the side that was connected to sends.
	linkAnswers
	// linkSilent holds both directions.
	linkSilent
)

const (
	linkDelay = 30 * time.Millisecond
	// linkPoll is how often held bytes look whether the link is open again.
	linkPoll = 10 * time.Millisecond
	// linkBuffer is the size of one read in bytes.
	linkBuffer = 16 << 10
)

// proxy forwards TCP connections between loopback addresses and injects faults.
type proxy struct {
	ln net.Listener
	// dialer connects from the address that the proxy listens on, so that the
	// other side can tell VMs apart.
	dialer net.Dialer
	to     string
	mode   atomic.Int32

	mu    sync.Mutex
	conns map[*net.TCPConn]struct{}
}

func newProxy(from, to string) (*proxy, error) {
	ln, err := net.Listen("tcp", from)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, to: to, conns: make(map[*net.TCPConn]struct{})}
	p.dialer.LocalAddr = &net.TCPAddr{IP: ln.Addr().(*net.TCPAddr).IP}
	go p.accept()
	return p, nil
}

func (p *proxy) set(m linkMode) { p.mode.Store(int32(m)) }

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.forward(c.(*net.TCPConn))
	}
}

func (p *proxy) forward(in *net.TCPConn) {
	out, err := p.dialer.Dial("tcp", p.to)
	if err != nil {
		// A port without a listener resets the connection.
		_ = in.SetLinger(0)
		_ = in.Close()
		return
	}
	o := out.(*net.TCPConn)
	p.add(in, o)
	var wg sync.WaitGroup
	wg.Go(func() { p.pipe(o, in, true) })
	wg.Go(func() { p.pipe(in, o, false) })
	wg.Wait()
	p.remove(in, o)
}

func (p *proxy) add(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *proxy) remove(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// pipe copies one direction until either side ends.
func (p *proxy) pipe(to, from *net.TCPConn, outward bool) {
	buf := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buf)
		p.hold(outward)
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

// hold delays bytes as the mode says.
func (p *proxy) hold(outward bool) {
	for {
		switch m := linkMode(p.mode.Load()); {
		case m == linkSlow:
			time.Sleep(linkDelay)
			return
		case m == linkSilent || m == linkOneWay && outward || m == linkAnswers && !outward:
			time.Sleep(linkPoll)
		default:
			return
		}
	}
}

// reset breaks all open connections.
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
