package level

import (
	"math"
	"slices"
	"time"

	"dogwoodhead/frame"
)

const (
	// votes is the number of recent answers that are kept per operation.
	votes = 16
	// votesPerServer bounds those of one backend server. A server that is
	// overloaded refuses fast and would otherwise outvote the others.
	votesPerServer = 4
	// voteHalfLife is the age difference at which a vote counts half.
	voteHalfLife = 250 * time.Millisecond
	// quorum is the part of the weight that must be at or below a level for it
	// to apply. It is above a half, so that half of the servers being
	// overloaded does not shed for all; routing moves calls to the others.
	quorum = 0.6
	// fresh is how long a level holds without answers; after it the level
	// rises by riseRanks per riseEvery, because nobody says that the overload
	// goes on, and is forgotten after expiry.
	fresh     = time.Second
	riseRanks = 64
	riseEvery = 100 * time.Millisecond
	expiry    = 5 * time.Second
)

// vote is the level in one answer.
type vote struct {
	server string
	level  frame.Level
	at     time.Time
}

// row is what is known of one operation.
type row struct {
	// votes is ordered from the oldest to the newest.
	votes []vote
	// level is what quorum makes of votes.
	level frame.Level
}

// last returns the time of the newest vote.
func (r *row) last() time.Time { return r.votes[len(r.votes)-1].at }

// add takes a vote; it replaces the server's oldest one where the server has
// all of its votes, else the oldest of all where the row is full.
func (r *row) add(v vote) {
	first, own := -1, 0
	for i, o := range r.votes {
		if v.server != "" && o.server == v.server {
			own++
			if first < 0 {
				first = i
			}
		}
	}
	switch {
	case own >= votesPerServer:
		r.votes = slices.Delete(r.votes, first, first+1)
	case len(r.votes) >= votes:
		r.votes = slices.Delete(r.votes, 0, 1)
	}
	r.votes = append(r.votes, v)
	r.level = r.combine(v.at)
}

// combine returns the smallest level that more than quorum of the weight does
// not exceed.
func (r *row) combine(now time.Time) frame.Level {
	type weighted struct {
		level  frame.Level
		weight float64
	}
	var buf [votes]weighted
	list := buf[:0]
	total := 0.0
	for _, v := range r.votes {
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

// at returns the level aged to now.
func (r *row) at(now time.Time) frame.Level {
	age := now.Sub(r.last())
	switch {
	case age <= fresh:
		return r.level
	case age >= expiry:
		return frame.OpenLevel
	}
	raised := int(r.level) + riseRanks*int((age-fresh)/riseEvery)
	return frame.Level(min(raised, int(frame.OpenLevel)))
}
