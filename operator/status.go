package operator

// Status is the body of GET /status.
type Status struct {
	// VM, Service, Zone, Region and Site are from the node's settings.
	VM      string `json:"vm"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Site    string `json:"site"`
	// Incarnation identifies the running process.
	Incarnation string `json:"incarnation"`
	Version     string `json:"version"`
	// Revision is that of the active pair, "base.overlay"; "0.0" before the first.
	Revision string `json:"revision"`
	// ControlMode is the control mode of the active policy.
	ControlMode string `json:"control"`
	// Rejected lists documents whose newest revision was rejected.
	Rejected []Rejected `json:"rejected,omitempty"`
	// VMCount is the number of entries of the VM list, ListRevision its revision.
	VMCount      int    `json:"vms"`
	ListRevision uint64 `json:"listRevision"`
	Leaving      bool   `json:"leaving"`
	// Fresh is false after a pause until VM list and configuration are refreshed.
	Fresh bool `json:"fresh"`
	// BackendState is the state that the backend server reports.
	BackendState string `json:"backend"`
	Gate         Gate   `json:"gate"`
	// Permits is the number of retry permits in the ingress permit bucket.
	Permits float64 `json:"permits"`
	Peers   []Peer  `json:"peers"`
	// AdmissionLevels are the levels received per operation, without open ones.
	AdmissionLevels map[string]string `json:"levels,omitempty"`
}

// Rejected is a document revision that was rejected.
type Rejected struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
}

// Gate is the state of the admission gate in front of the backend server.
type Gate struct {
	Limit    int    `json:"limit"`
	Inflight int    `json:"inflight"`
	Queued   int    `json:"queued"`
	Level    string `json:"level"`
	// TypicalSelfTime is the recent self time of a call, as a Go duration.
	TypicalSelfTime string `json:"typical"`
}

// Peer is the known state of another node that this one calls.
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

// Explanation is the body of GET /explain: how a call would be handled now.
type Explanation struct {
	Target string `json:"target"`
	Class  string `json:"class"`
	// Decision is "admit" or "refuse".
	Decision string `json:"verdict"`
	// Steps are the checks in the order in which a call passes them.
	Steps []Step `json:"steps"`
}

// Step is one check of a call.
type Step struct {
	Check string `json:"check"`
	// Passed is false for a check that would refuse the call.
	Passed bool   `json:"pass"`
	Detail string `json:"detail"`
}
