package trial

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	// firstPort and lastPort are below the range from which systems take the
	// local ports of outgoing connections, so that a picked port stays free.
	firstPort = 20000
	lastPort  = 32000
)

// ports picks free loopback ports, each once.
type ports struct {
	host string
	next int
}

// newPorts picks a random loopback address in 127.0.0.0/8, so that no other
// fleet or test takes the port of a process while it is down.
func newPorts() *ports {
	host := netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))})
	return &ports{host: host.String(), next: firstPort + rand.IntN(lastPort-firstPort)}
}

// freeAddr returns a free ip:port.
func (p *ports) freeAddr() (string, error) {
	for range lastPort - firstPort {
		p.next++
		if p.next > lastPort {
			p.next = firstPort
		}
		addr := net.JoinHostPort(p.host, strconv.Itoa(p.next))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, l.Close()
	}
	return "", eris.Errorf("no free port from %d to %d", firstPort, lastPort)
}

// setFreeAddrs sets each pointer's target to a free ip:port.
func (p *ports) setFreeAddrs(addrs ...*string) error {
	for _, a := range addrs {
		var err error
		if *a, err = p.freeAddr(); err != nil {
			return err
		}
	}
	return nil
}
