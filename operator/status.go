package operator

// Status is the body of GET /status.
type Status struct {
	// VM, Service, Zone, Region and Site are from the node's settings.
	VM      string `json:"vm"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Site    string `json:"site"`
	// Incarnation names the running process.
	Incarnation string `json:"incarnation"`
	Version     string `json:"version"`
	// Revision is the pair in force, "base.overlay"; "0.0" before the first.
	Revision string `json:"revision"`
	// Control is the mode of the policy in force.
	Control string `json:"control"`
	// Rejected lists documents whose newest revision was not accepted.
	Rejected []Rejected `json:"rejected,omitempty"`
	// VMs is the number of entries of the VM list, and ListRevision its revision.
	VMs          int    `json:"vms"`
	ListRevision uint64 `json:"listRevision"`
	Leaving      bool   `json:"leaving"`
	// Fresh is false while the node, after a pause, has not refreshed its view.
	Fresh bool `json:"fresh"`
	// Backend is the state that the backend server reports.
	Backend string `json:"backend"`
	Gate    Gate   `json:"gate"`
	// Permits is the content of the entry bucket.
	Permits float64 `json:"permits"`
	Peers   []Peer  `json:"peers"`
	// Levels are the admission levels learned from answers that are not open.
	Levels map[string]string `json:"levels,omitempty"`
}

// Rejected is a document revision that was not accepted.
type Rejected struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
}

// Gate is the state of the admission to the backend server.
type Gate struct {
	Limit    int    `json:"limit"`
	Inflight int    `json:"inflight"`
	Queued   int    `json:"queued"`
	Level    string `json:"level"`
	// Typical is the recent typical time of a call, as a Go duration.
	Typical string `json:"typical"`
}

// Peer is what the node knows of another node that it calls.
type Peer struct {
	VM       string `json:"vm"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Load     string `json:"load"`
	Inflight int    `json:"inflight"`
	Leaving  bool   `json:"leaving"`
	Avoided  bool   `json:"avoided"`
	Revision string `json:"revision"`
}

// Explanation is the body of GET /explain: what would happen to a call now.
type Explanation struct {
	Target string `json:"target"`
	Class  string `json:"class"`
	// Verdict is "admit" or "refuse".
	Verdict string `json:"verdict"`
	// Steps are the checks in the order in which a call meets them.
	Steps []Step `json:"steps"`
}

// Step is one check of a call.
type Step struct {
	Check string `json:"check"`
	// Pass is false for the check that would refuse the call.
	Pass   bool   `json:"pass"`
	Detail string `json:"detail"`
}
