package relay

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Document keys that are the same on all nodes.
const (
	// KeyBase is the base configuration.
	KeyBase = "base"
	// KeyVMs is the VM list.
	KeyVMs = "vms"
	// overlayPrefix precedes the site in the key of an overlay.
	overlayPrefix = "overlay/"
)

// OverlayKey returns the key of a site's overlay.
func OverlayKey(site string) string { return overlayPrefix + site }

// IsOverlay reports whether key is the key of an overlay.
func IsOverlay(key string) bool { return strings.HasPrefix(key, overlayPrefix) }

// Document is one revision of a document.
type Document struct {
	key    string
	rev    uint64
	bytes  []byte
	digest uint64
}

// NewDocument returns a document. The caller must not modify src afterwards.
func NewDocument(key string, rev uint64, src []byte) Document {
	return Document{key: key, rev: rev, bytes: src, digest: xxhash.Sum64(src)}
}

// Key returns the key of the document.
func (d Document) Key() string { return d.key }

// Rev returns the revision, 0 for the zero value.
func (d Document) Rev() uint64 { return d.rev }

// Bytes returns the text of the document. The caller must not modify it.
func (d Document) Bytes() []byte { return d.bytes }

// Digest returns the xxhash64 of the bytes.
func (d Document) Digest() uint64 { return d.digest }
