package relay

import "dogwoodhead/frame"

// Revs holds the revisions of the three documents at one node; 0 for none.
type Revs struct {
	Base    uint64 `json:"base"`
	Overlay uint64 `json:"overlay"`
	VMs     uint64 `json:"vms"`
}

// Pair returns the revision pair of base and overlay.
func (r Revs) Pair() frame.Revision { return frame.NewRevision(r.Base, r.Overlay) }

// Behind reports whether at least one revision of r is lower than that of other.
func (r Revs) Behind(other Revs) bool {
	return r.Base < other.Base || r.Overlay < other.Overlay || r.VMs < other.VMs
}

// Max returns the higher revision of each document.
func (r Revs) Max(other Revs) Revs {
	return Revs{Base: max(r.Base, other.Base), Overlay: max(r.Overlay, other.Overlay), VMs: max(r.VMs, other.VMs)}
}

// with returns r with at least the revision of one document.
func (r Revs) with(key string, rev uint64) Revs {
	switch key {
	case KeyBase:
		r.Base = max(r.Base, rev)
	case KeyVMs:
		r.VMs = max(r.VMs, rev)
	default:
		r.Overlay = max(r.Overlay, rev)
	}
	return r
}

// EncodedDocument is a compressed document, or a delta if the receiver has an
// earlier revision.
type EncodedDocument struct {
	Key string `json:"key"`
	Rev uint64 `json:"rev"`
	// BaseRev is the revision that Data is a delta to; 0 for the full document.
	BaseRev uint64 `json:"against,omitempty"`
	// Size is the length of the decoded document in bytes.
	Size int `json:"size"`
	// Digest is the xxhash64 of the decoded document.
	Digest uint64 `json:"digest"`
	// Data is the output of the delta codec; see Encode.
	Data []byte `json:"data"`
}

// PushRequest sends a document to a neighbour in the revision's tree. The
// receiver computes its neighbours from its own VM list.
type PushRequest struct {
	// From is the sender's VM name.
	From string          `json:"from"`
	Doc  EncodedDocument `json:"doc"`
}

// PushReply is the response to a push.
type PushReply struct {
	// NeedsFull requests the full document: the receiver lacks the delta's base.
	NeedsFull bool `json:"whole,omitempty"`
	// Have is the receiver's revision of the document after the push.
	Have uint64 `json:"have"`
}

// PullRequest requests documents with revisions above the given ones.
type PullRequest struct {
	// From is the sender's VM name.
	From string `json:"from"`
	// ControlAddr is the sender's ip:port, for a receiver whose VM list lacks the sender.
	ControlAddr string `json:"control"`
	// Site is the site of the requested overlay.
	Site string `json:"site"`
	// Have holds the sender's revisions; a receiver that is behind pulls from it.
	Have Revs `json:"have"`
	// Full requests full documents, after a delta did not apply.
	Full bool `json:"whole,omitempty"`
}

// PullReply is the response to a pull.
type PullReply struct {
	Docs []EncodedDocument `json:"docs,omitempty"`
	// More reports that documents were omitted to limit the size of the reply.
	More bool `json:"more,omitempty"`
}
