package relay

// DocumentStatus describes one document for the operator.
type DocumentStatus struct {
	Key string `json:"key"`
	// Rev is the revision in force, 0 where there is none.
	Rev uint64 `json:"rev"`
	// Size is the length in bytes.
	Size int `json:"size"`
	// Refused is the last refused revision and Reason says why; 0 where none was.
	Refused uint64 `json:"refused,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// Reading says that this node watches the document at the platform.
	Reading bool `json:"reading"`
}

// Status describes the distribution of documents at this node.
type Status struct {
	Documents []DocumentStatus `json:"documents"`
	// Counts are the results of documents offered to the store.
	Counts Counts `json:"counts"`
	// Pushes, Pulls and Reads are messages sent and platform reads made, the
	// failed ones included.
	Pushes uint64 `json:"pushes"`
	Pulls  uint64 `json:"pulls"`
	Reads  uint64 `json:"reads"`
	// Dropped is the number of tasks that found the workers' queue full.
	Dropped uint64 `json:"dropped"`
}

// Status returns the current status. The documents are not one snapshot: a
// change between two of them may show.
func (r *Relay) Status() Status {
	s := Status{
		Counts: r.o.Store.Counts(),
		Pushes: r.counts.pushes.Get(), Pulls: r.counts.pulls.Get(),
		Reads: r.counts.reads.Get(), Dropped: r.counts.dropped.Get(),
	}
	for _, key := range r.o.Store.Keys() {
		d, refusal := r.o.Store.Current(key), r.o.Store.Refusal(key)
		s.Documents = append(s.Documents, DocumentStatus{
			Key: key, Rev: d.rev, Size: len(d.bytes), Refused: refusal.Rev(), Reason: refusal.Reason(),
			Reading: r.Reading(key),
		})
	}
	return s
}
