package frame

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxClass is the largest class index.
	MaxClass = 15
	// MaxPermits is the largest number of retry permits of one call.
	MaxPermits = 16
	// rankPeriod is how long a root id keeps its rank. Ranks change so that
	// shedding does not always affect the same ids.
	rankPeriod = time.Hour
)

// Level is an admission level or a call's priority, class*256 + rank; a smaller
// value is a higher priority. Calls whose priority value is greater than the
// admission level are shed, so a smaller level sheds more.
type Level uint16

// OpenLevel admits every call.
const OpenLevel = Level(MaxClass<<8 | MaxRank)

// NewLevel returns the level of a class and rank.
func NewLevel(class, rank int) Level { return Level(class<<8 | rank) }

// Class returns the class index, 0 to MaxClass.
func (l Level) Class() int { return int(l >> 8) }

// Rank returns the rank within the class, 0 to MaxRank.
func (l Level) Rank() int { return int(l & MaxRank) }

// Admits reports whether the level admits a call of the given priority.
func (l Level) Admits(priority Level) bool { return priority <= l }

// String returns the level as "class.rank".
func (l Level) String() string {
	return strconv.Itoa(l.Class()) + "." + strconv.Itoa(l.Rank())
}

// ParseLevel parses the form that String writes.
func ParseLevel(s string) (Level, error) {
	class, rank, ok := parsePair(s, ".")
	if !ok {
		return 0, fmt.Errorf("level %q: want class.rank", s)
	}
	if class > MaxClass || rank > MaxRank {
		return 0, fmt.Errorf("level %q: out of range", s)
	}
	return NewLevel(class, rank), nil
}

// parsePair parses two integers of at least 0 with sep between them, in the form
// of strconv.Itoa: without signs, leading zeros or further text.
func parsePair(s, sep string) (first, second int, ok bool) {
	a, b, _ := strings.Cut(s, sep)
	first, err1 := strconv.Atoi(a)
	second, err2 := strconv.Atoi(b)
	canonical := strconv.Itoa(first) + sep + strconv.Itoa(second)
	return first, second, err1 == nil && err2 == nil && first >= 0 && second >= 0 && canonical == s
}

// RankOf returns the rank of a root request at the given time; it depends on its
// arguments only. Only the ingress calls it; other nodes copy the result.
func RankOf(rootID ID, now time.Time) int {
	period := uint64(now.UnixNano() / int64(rankPeriod))
	var buf [16]byte
	for i := range 8 {
		buf[i] = byte(uint64(rootID) >> (8 * i))
		buf[8+i] = byte(period >> (8 * i))
	}
	return int(xxhash.Sum64(buf[:]) & MaxRank)
}
