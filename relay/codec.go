package relay

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"

	"dogwoodhead/source"
)

const (
	// window is how far back flate refers to its dictionary, in bytes.
	window = 32 << 10
	// block is how much of a document is compressed against one part of its
	// previous revision. Half of the window leaves room for text that moved by
	// up to a quarter of the window either way.
	block = window / 2
)

// errBase reports a delta whose base the receiver does not have.
var errBase = errors.New("relay: the base of the delta is missing")

// Pack compresses a document against an earlier revision, whole where that one
// is the zero Document.
//
// The data starts with the lengths of the common prefix and suffix. What lies
// between is compressed in blocks, each with the part of the earlier revision
// around the same position as dictionary, because flate looks back 32 KiB only
// and a VM list is longer.
func Pack(d, against Document) Parcel {
	p := Parcel{Key: d.key, Rev: d.rev, Against: against.rev, Size: len(d.bytes), Digest: d.digest}
	old := against.bytes
	prefix := commonPrefix(old, d.bytes)
	suffix := commonSuffix(old[prefix:], d.bytes[prefix:])
	p.Data = binary.AppendUvarint(p.Data, uint64(prefix))
	p.Data = binary.AppendUvarint(p.Data, uint64(suffix))
	middle := d.bytes[prefix : len(d.bytes)-suffix]
	for at := 0; at < len(middle); {
		end := blockEnd(at, len(middle), len(old))
		out := deflate(middle[at:end], dictionary(old, prefix, suffix, at, len(middle)))
		p.Data = binary.AppendUvarint(p.Data, uint64(len(out)))
		p.Data = append(p.Data, out...)
		at = end
	}
	return p
}

// Unpack restores the document of a parcel. The error is errBase where against
// is not what the parcel was compressed against.
func Unpack(p Parcel, against Document) (Document, error) {
	if p.Size < 0 || p.Size > source.MaxValueBytes {
		return Document{}, fmt.Errorf("relay: %s revision %d: size %d is out of range", p.Key, p.Rev, p.Size)
	}
	if p.Against != against.rev {
		return Document{}, errBase
	}
	src, err := unpack(p, against.bytes)
	if err != nil {
		return Document{}, fmt.Errorf("relay: unpack %s revision %d: %w", p.Key, p.Rev, err)
	}
	if xxhash.Sum64(src) != p.Digest {
		if p.Against != 0 {
			// The sender's base has the same revision and other bytes.
			return Document{}, errBase
		}
		return Document{}, fmt.Errorf("relay: unpack %s revision %d: digest does not match", p.Key, p.Rev)
	}
	return NewDocument(p.Key, p.Rev, src), nil
}

func unpack(p Parcel, old []byte) ([]byte, error) {
	in := bytes.NewReader(p.Data)
	prefix, err := readLength(in, min(len(old), p.Size))
	if err != nil {
		return nil, err
	}
	suffix, err := readLength(in, min(len(old), p.Size)-prefix)
	if err != nil {
		return nil, err
	}
	src := make([]byte, p.Size)
	copy(src, old[:prefix])
	copy(src[p.Size-suffix:], old[len(old)-suffix:])
	middle := src[prefix : p.Size-suffix]
	for at := 0; at < len(middle); {
		end := blockEnd(at, len(middle), len(old))
		n, err := readLength(in, in.Len())
		if err != nil {
			return nil, err
		}
		part := make([]byte, n)
		if _, err := io.ReadFull(in, part); err != nil {
			return nil, err
		}
		r := flate.NewReaderDict(bytes.NewReader(part), dictionary(old, prefix, suffix, at, len(middle)))
		if _, err := io.ReadFull(r, middle[at:end]); err != nil {
			return nil, err
		}
		at = end
	}
	return src, nil
}

func readLength(in *bytes.Reader, limit int) (int, error) {
	n, err := binary.ReadUvarint(in)
	if err != nil {
		return 0, err
	}
	if limit < 0 || n > uint64(limit) {
		return 0, fmt.Errorf("length %d is above %d", n, limit)
	}
	return int(n), nil
}

// blockEnd returns the end of the block that starts at at. Without an earlier
// revision one block spans all.
func blockEnd(at, size, old int) int {
	if old == 0 {
		return size
	}
	return min(at+block, size)
}

// dictionary returns the part of old around the position that corresponds to
// at in the new middle.
func dictionary(old []byte, prefix, suffix, at, size int) []byte {
	if len(old) <= window {
		return old
	}
	span := len(old) - prefix - suffix
	pos := prefix + int(int64(at)*int64(span)/int64(max(size, 1)))
	start := min(max(pos-(window-block)/2, 0), len(old)-window)
	return old[start : start+window]
}

func deflate(src, dict []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriterDict(&out, flate.BestCompression, dict)
	if err == nil {
		_, err = w.Write(src)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		// Only an invalid level or a failing writer gives an error.
		panic(fmt.Sprintf("relay: deflate: %v", err))
	}
	return out.Bytes()
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}
