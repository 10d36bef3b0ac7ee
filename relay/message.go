package relay

import "dogwoodhead/frame"

// Revs holds the revisions of the three documents of one node.
type Revs struct {
	Base    uint64 `json:"base"`
	Overlay uint64 `json:"overlay"`
	VMs     uint64 `json:"vms"`
}

// Pair returns the revision pair.
func (r Revs) Pair() frame.Revision { return frame.NewRevision(r.Base, r.Overlay) }

// Behind reports whether at least one part of r is lower than that of o.
func (r Revs) Behind(o Revs) bool {
	return r.Base < o.Base || r.Overlay < o.Overlay || r.VMs < o.VMs
}

// Max returns the higher one of each part.
func (r Revs) Max(o Revs) Revs {
	return Revs{Base: max(r.Base, o.Base), Overlay: max(r.Overlay, o.Overlay), VMs: max(r.VMs, o.VMs)}
}

// Parcel is a document as it travels: compressed, and against an earlier
// revision where the receiver has that one.
type Parcel struct {
	Key string `json:"key"`
	Rev uint64 `json:"rev"`
	// Against is the revision that Data is a delta to; 0 for the whole document.
	Against uint64 `json:"against,omitempty"`
	// Size is the length of the document in bytes.
	Size int `json:"size"`
	// Digest is the xxhash64 of the document.
	Digest uint64 `json:"digest"`
	// Data is the output of the delta codec.
	Data []byte `json:"data"`
}

// PushRequest hands a document to a neighbour in the revision's tree. The
// receiver computes its own part of the tree from its VM list.
type PushRequest struct {
	// From is the sender's VM name.
	From string `json:"from"`
	Doc  Parcel `json:"doc"`
}

// PushReply answers a push.
type PushReply struct {
	// Whole asks for the whole document: the receiver lacks the base of the delta.
	Whole bool `json:"whole,omitempty"`
	// Have is the receiver's revision of the document after the push.
	Have uint64 `json:"have"`
}

// PullRequest asks for documents above the given revisions.
type PullRequest struct {
	// From is the sender's VM name.
	From string `json:"from"`
	// Control is the sender's ip:port, for a receiver whose VM list lacks the sender.
	Control string `json:"control"`
	// Site names the overlay that is asked for.
	Site string `json:"site"`
	// Have holds the sender's revisions; the receiver pulls in turn where it is behind.
	Have Revs `json:"have"`
	// Whole asks for whole documents, after a delta did not apply.
	Whole bool `json:"whole,omitempty"`
}

// PullReply answers a pull.
type PullReply struct {
	Docs []Parcel `json:"docs,omitempty"`
	// More says that documents were left out to keep the reply small.
	More bool `json:"more,omitempty"`
}
