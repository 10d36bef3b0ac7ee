package peer

import "bytes"

// headMeter measures the head of a request while it is read. It does not parse: it
// finds the empty line that ends the head, so that a body that arrives with the head is
// not counted.
type headMeter struct {
	// length is the number of bytes of the head, lines that of its lines.
	length, lines int
	// lineLength is the length of the line that is being read, without '\r'.
	lineLength int
	// started is set once a line that is not empty was read, complete once the empty line
	// after it was.
	started, complete bool
}

// add measures the next bytes and returns those that follow the head. Bytes that are
// still read after its end are counted: the parser sees the end elsewhere then.
func (m *headMeter) add(p []byte) (rest []byte) {
	if m.complete {
		m.length += len(p)
		m.lines += bytes.Count(p, []byte{'\n'})
		return nil
	}
	for i, b := range p {
		m.length++
		switch b {
		case '\r':
		case '\n':
			m.lines++
			if m.lineLength == 0 && m.started {
				m.complete = true
				return p[i+1:]
			}
			m.started = m.started || m.lineLength > 0
			m.lineLength = 0
		default:
			m.lineLength++
		}
	}
	return nil
}

// memory returns the memory that the head takes, in bytes.
func (m *headMeter) memory() int64 { return headMemory(m.length, m.lines) }

// headMemoryOf returns the memory that bytes take if they are part of a head.
func headMemoryOf(p []byte) int64 { return headMemory(len(p), bytes.Count(p, []byte{'\n'})) }

func headMemory(length, lines int) int64 {
	return int64(length)*headMemoryPerByte + int64(lines)*headMemoryPerField
}
