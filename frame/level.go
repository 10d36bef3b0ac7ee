package frame

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxClass is the largest class index.
	MaxClass = 15
	// MaxTries is the largest number of retry permits of one call.
	MaxTries = 16
	// rankPeriod is how long a root id keeps its rank. Rotation spreads
	// refusals over callers instead of hitting the same ids forever.
	rankPeriod = time.Hour
)

// Level is an admission level, class*256 + rank. Calls whose priority is above
// the level are shed; a smaller level sheds more.
type Level uint16

// OpenLevel admits every call.
const OpenLevel = Level(MaxClass<<8 | MaxRank)

// NewLevel returns the level of a class and rank.
func NewLevel(class, rank int) Level { return Level(class<<8 | rank) }

// Class returns the class part.
func (l Level) Class() int { return int(l >> 8) }

// Rank returns the rank part.
func (l Level) Rank() int { return int(l & MaxRank) }

// Admits reports whether a call of the given priority passes the level.
func (l Level) Admits(priority Level) bool { return priority <= l }

// String returns the level as "class.rank".
func (l Level) String() string {
	return strconv.Itoa(l.Class()) + "." + strconv.Itoa(l.Rank())
}

// ParseLevel parses the form that String writes.
func ParseLevel(s string) (Level, error) {
	var class, rank int
	if _, err := fmt.Sscanf(s, "%d.%d", &class, &rank); err != nil {
		return 0, fmt.Errorf("level %q: want class.rank", s)
	}
	if class < 0 || class > MaxClass || rank < 0 || rank > MaxRank {
		return 0, fmt.Errorf("level %q: out of range", s)
	}
	return NewLevel(class, rank), nil
}

// RankOf returns the rank of a root call at the given time. Every node computes
// the same value from the id; only the entry calls it, the rest copy the result.
func RankOf(call ID, now time.Time) int {
	period := uint64(now.UnixNano() / int64(rankPeriod))
	var buf [16]byte
	for i := range 8 {
		buf[i] = byte(uint64(call) >> (8 * i))
		buf[8+i] = byte(period >> (8 * i))
	}
	return int(xxhash.Sum64(buf[:]) & MaxRank)
}
