package relay

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Keys of the documents that are the same for all nodes.
const (
	// KeyBase is the base configuration.
	KeyBase = "base"
	// KeyVMs is the VM list.
	KeyVMs = "vms"
	// overlayPrefix precedes the site in the key of its overlay.
	overlayPrefix = "overlay/"
)

// OverlayKey returns the key of a site's overlay.
func OverlayKey(site string) string { return overlayPrefix + site }

// IsOverlay reports whether key names an overlay.
func IsOverlay(key string) bool { return strings.HasPrefix(key, overlayPrefix) }

// Document is one revision of a document.
type Document struct {
	key    string
	rev    uint64
	bytes  []byte
	digest uint64
}

// NewDocument returns a document. The bytes must not be changed afterwards.
func NewDocument(key string, rev uint64, src []byte) Document {
	return Document{key: key, rev: rev, bytes: src, digest: xxhash.Sum64(src)}
}

// Key returns the key.
func (d Document) Key() string { return d.key }

// Rev returns the revision, 0 for the zero value.
func (d Document) Rev() uint64 { return d.rev }

// Bytes returns the document; the reader must not change it.
func (d Document) Bytes() []byte { return d.bytes }

// Digest returns the xxhash64 of the bytes.
func (d Document) Digest() uint64 { return d.digest }
