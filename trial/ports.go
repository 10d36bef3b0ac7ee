package trial

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	loopback = "127.0.0.1"
	// firstPort and lastPort lie below the range from which systems take the
	// local ports of outgoing connections, so that a picked port stays free.
	firstPort = 20000
	lastPort  = 32000
)

// ports picks free loopback ports, each once.
type ports struct{ next int }

func newPorts() *ports { return &ports{next: firstPort + rand.IntN(lastPort-firstPort)} }

// address returns a free ip:port.
func (p *ports) address() (string, error) {
	for range lastPort - firstPort {
		p.next++
		if p.next > lastPort {
			p.next = firstPort
		}
		address := net.JoinHostPort(loopback, strconv.Itoa(p.next))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", eris.Errorf("no free port from %d to %d", firstPort, lastPort)
}

// addresses fills each pointer with a free ip:port.
func (p *ports) addresses(to ...*string) error {
	for _, a := range to {
		var err error
		if *a, err = p.address(); err != nil {
			return err
		}
	}
	return nil
}
