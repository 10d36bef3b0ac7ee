package admit

import "time"

const (
	// backpressureDelayTarget is the mean queue delay without a change.
	backpressureDelayTarget = 25 * time.Millisecond
	// backpressureGain is the change per tick when the delay is twice the target;
	// backpressureMaxRise and backpressureMaxFall bound the change. The effect is
	// delayed by some ticks, so faster changes would cause oscillation.
	backpressureGain    = 0.03
	backpressureMaxRise = 0.06
	backpressureMaxFall = 0.02
)

// backpressure integrates the queue delay into the fraction of new calls that
// senders should throttle. The gate's mutex guards it.
type backpressure struct {
	// value is 0 to 1.
	value float64
	// delaySum and delayCount are of the queue delays since the last tick.
	delaySum   time.Duration
	delayCount int
}

// recordDelay records the queue delay of a call that left the queue, 0 for one
// that was admitted immediately.
func (b *backpressure) recordDelay(d time.Duration) {
	b.delaySum += d
	b.delayCount++
}

// tick updates the value. Calls that are still queued count with their age.
func (b *backpressure) tick(now time.Time, q *Queue) {
	for _, e := range q.entries {
		b.recordDelay(now.Sub(e.arrived))
	}
	mean := time.Duration(0)
	if b.delayCount > 0 {
		mean = b.delaySum / time.Duration(b.delayCount)
	}
	b.delaySum, b.delayCount = 0, 0
	step := backpressureGain * (float64(mean)/float64(backpressureDelayTarget) - 1)
	b.value = min(max(b.value+min(max(step, -backpressureMaxFall), backpressureMaxRise), 0), 1)
}
