package relay

// DocumentStatus is the status of one document for the operator.
type DocumentStatus struct {
	Key string `json:"key"`
	// Rev is the active revision, 0 for none.
	Rev uint64 `json:"rev"`
	// Size is the length in bytes.
	Size int `json:"size"`
	// RejectedRev is the last rejected revision, 0 for none; RejectionReason is the
	// error of its check.
	RejectedRev     uint64 `json:"refused,omitempty"`
	RejectionReason string `json:"reason,omitempty"`
	// IsReader reports whether this node watches the document at the platform.
	IsReader bool `json:"reading"`
}

// Status is the status of the distribution of documents at this node.
type Status struct {
	Documents []DocumentStatus `json:"documents"`
	// Counts are the totals of the results of Store.Offer.
	Counts Counts `json:"counts"`
	// Pushes and Pulls are requests sent, PlatformReads are reads and watches of
	// the platform; all include failed ones.
	Pushes        uint64 `json:"pushes"`
	Pulls         uint64 `json:"pulls"`
	PlatformReads uint64 `json:"reads"`
	// DroppedTasks counts tasks dropped because the workers' queue was full.
	DroppedTasks uint64 `json:"dropped"`
}

// Status returns the current status. The documents are not an atomic snapshot:
// one may change while others are read.
func (r *Relay) Status() Status {
	s := Status{
		Counts: r.opts.Store.Counts(),
		Pushes: r.counters.pushes.Get(), Pulls: r.counters.pulls.Get(),
		PlatformReads: r.counters.reads.Get(), DroppedTasks: r.counters.droppedTasks.Get(),
	}
	for _, key := range r.opts.Store.Keys() {
		d, rejection := r.opts.Store.Current(key), r.opts.Store.Rejection(key)
		s.Documents = append(s.Documents, DocumentStatus{
			Key: key, Rev: d.rev, Size: len(d.bytes), RejectedRev: rejection.Rev(), RejectionReason: rejection.Reason(),
			IsReader: r.IsReader(key),
		})
	}
	return s
}
