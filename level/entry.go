package level

import (
	"math"
	"slices"
	"time"

	"dogwoodhead/frame"
)

const (
	// maxVotes is the number of recent votes that are kept per operation.
	maxVotes = 16
	// maxVotesPerServer bounds those of one backend server. An overloaded server
	// refuses quickly and would otherwise outvote the others.
	maxVotesPerServer = 4
	// voteHalfLife is the half-life of a vote's weight.
	voteHalfLife = 250 * time.Millisecond
	// quorum is the fraction of the weight that must be at or below a level for
	// the level to apply. It is above a half, so that nothing is shed while only
	// half of the servers are overloaded; routing moves calls to the others.
	quorum = 0.6
	// levelHoldTime is how long a level applies unchanged without new votes.
	// After it the level rises by riseRanks per riseEvery, because the overload
	// may have ended, and it is open from levelExpiry on.
	levelHoldTime = time.Second
	riseRanks     = 64
	riseEvery     = 100 * time.Millisecond
	levelExpiry   = 5 * time.Second
)

// vote is the level in one response or refusal.
type vote struct {
	server string
	level  frame.Level
	at     time.Time
}

// entry holds the recent votes on one operation.
type entry struct {
	// votes is not empty, and ordered from the oldest to the newest.
	votes []vote
	// level is the quorumLevel of votes at the newest vote.
	level frame.Level
}

// updatedAt returns the time of the newest vote.
func (e *entry) updatedAt() time.Time { return e.votes[len(e.votes)-1].at }

// addVote adds a vote. It replaces the server's oldest one if the server has
// maxVotesPerServer, else the oldest of all if there are maxVotes.
func (e *entry) addVote(v vote) {
	oldest, fromServer := -1, 0
	for i, existing := range e.votes {
		if v.server != "" && existing.server == v.server {
			fromServer++
			if oldest < 0 {
				oldest = i
			}
		}
	}
	switch {
	case fromServer >= maxVotesPerServer:
		e.votes = slices.Delete(e.votes, oldest, oldest+1)
	case len(e.votes) >= maxVotes:
		e.votes = slices.Delete(e.votes, 0, 1)
	}
	e.votes = append(e.votes, v)
	e.level = e.quorumLevel(v.at)
}

// quorumLevel returns the lowest level such that the votes at or below it have
// more than quorum of the weight.
func (e *entry) quorumLevel(now time.Time) frame.Level {
	type weighted struct {
		level  frame.Level
		weight float64
	}
	var buf [maxVotes]weighted
	list := buf[:0]
	total := 0.0
	for _, v := range e.votes {
		w := math.Exp2(-float64(now.Sub(v.at)) / float64(voteHalfLife))
		list = append(list, weighted{v.level, w})
		total += w
	}
	slices.SortFunc(list, func(a, b weighted) int { return int(a.level) - int(b.level) })
	sum := 0.0
	for _, w := range list {
		sum += w.weight
		if sum > total*quorum {
			return w.level
		}
	}
	return list[len(list)-1].level
}

// at returns the level at the given time, raised by its age.
func (e *entry) at(now time.Time) frame.Level {
	age := now.Sub(e.updatedAt())
	switch {
	case age <= levelHoldTime:
		return e.level
	case age >= levelExpiry:
		return frame.OpenLevel
	}
	raised := int(e.level) + riseRanks*int((age-levelHoldTime)/riseEvery)
	return frame.Level(min(raised, int(frame.OpenLevel)))
}
