package admit

import "time"

const (
	// strainDelay is the mean queue delay at which the strain stays as it is.
	strainDelay = 25 * time.Millisecond
	// strainGain is the change of the strain per tick where the delay is twice
	// the target; strainRise and strainFall bound it. Answers take some ticks to
	// show an effect, so faster changes make it oscillate.
	strainGain = 0.03
	strainRise = 0.06
	strainFall = 0.02
)

// strain integrates the queue delay into the part of new work that senders
// should hold back. The gate's mutex guards it.
type strain struct {
	// value is 0 to 1.
	value float64
	// sum and count are of the queue delays since the last tick.
	sum   time.Duration
	count int
}

// waited records the queue delay of a call that left the queue, or was
// admitted without waiting.
func (s *strain) waited(d time.Duration) {
	s.sum += d
	s.count++
}

// tick adapts the value. The calls that still wait count with their age.
func (s *strain) tick(now time.Time, q *Queue) {
	for _, e := range q.entries {
		s.waited(now.Sub(e.arrived))
	}
	mean := time.Duration(0)
	if s.count > 0 {
		mean = s.sum / time.Duration(s.count)
	}
	s.sum, s.count = 0, 0
	step := strainGain * (float64(mean)/float64(strainDelay) - 1)
	s.value = min(max(s.value+min(max(step, -strainFall), strainRise), 0), 1)
}
