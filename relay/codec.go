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
	// flateWindow is the largest distance of a back-reference in flate, in bytes.
	flateWindow = 32 << 10
	// blockSize is the number of bytes of a document that are compressed with one
	// section of the base as dictionary. Half of the window allows text to move by
	// up to a quarter of the window in either direction.
	blockSize = flateWindow / 2
)

// errMissingBase reports a delta whose base the receiver does not have.
var errMissingBase = errors.New("relay: base revision of the delta is missing")

// Encode returns d compressed: as a delta to base, or in full if base is the zero
// Document.
//
// The data starts with the lengths of the common prefix and suffix. The bytes
// between them are compressed in blocks. The dictionary of each block is the
// section of the base around the same position, because the window of flate is
// only 32 KiB and a VM list is longer.
func Encode(d, base Document) EncodedDocument {
	enc := EncodedDocument{Key: d.key, Rev: d.rev, BaseRev: base.rev, Size: len(d.bytes), Digest: d.digest}
	baseBytes := base.bytes
	prefix := commonPrefix(baseBytes, d.bytes)
	suffix := commonSuffix(baseBytes[prefix:], d.bytes[prefix:])
	enc.Data = binary.AppendUvarint(enc.Data, uint64(prefix))
	enc.Data = binary.AppendUvarint(enc.Data, uint64(suffix))
	middle := d.bytes[prefix : len(d.bytes)-suffix]
	for offset := 0; offset < len(middle); {
		end := blockEnd(offset, len(middle), len(baseBytes))
		compressed := deflate(middle[offset:end], dictionary(baseBytes, prefix, suffix, offset, len(middle)))
		enc.Data = binary.AppendUvarint(enc.Data, uint64(len(compressed)))
		enc.Data = append(enc.Data, compressed...)
		offset = end
	}
	return enc
}

// Decode returns the document that enc was made from. The error is
// errMissingBase if base is not the document that enc is a delta to.
func Decode(enc EncodedDocument, base Document) (Document, error) {
	if enc.Size < 0 || enc.Size > source.MaxValueBytes {
		return Document{}, fmt.Errorf("relay: %s revision %d: size %d is out of range", enc.Key, enc.Rev, enc.Size)
	}
	if enc.BaseRev != base.rev {
		return Document{}, errMissingBase
	}
	src, err := decode(enc, base.bytes)
	if err != nil {
		return Document{}, fmt.Errorf("relay: unpack %s revision %d: %w", enc.Key, enc.Rev, err)
	}
	if xxhash.Sum64(src) != enc.Digest {
		if enc.BaseRev != 0 {
			// The sender's base has the same revision but different bytes.
			return Document{}, errMissingBase
		}
		return Document{}, fmt.Errorf("relay: unpack %s revision %d: digest does not match", enc.Key, enc.Rev)
	}
	return NewDocument(enc.Key, enc.Rev, src), nil
}

func decode(enc EncodedDocument, base []byte) ([]byte, error) {
	in := bytes.NewReader(enc.Data)
	prefix, err := readLength(in, min(len(base), enc.Size))
	if err != nil {
		return nil, err
	}
	suffix, err := readLength(in, min(len(base), enc.Size)-prefix)
	if err != nil {
		return nil, err
	}
	src := make([]byte, enc.Size)
	copy(src, base[:prefix])
	copy(src[enc.Size-suffix:], base[len(base)-suffix:])
	middle := src[prefix : enc.Size-suffix]
	for offset := 0; offset < len(middle); {
		end := blockEnd(offset, len(middle), len(base))
		n, err := readLength(in, in.Len())
		if err != nil {
			return nil, err
		}
		compressed := make([]byte, n)
		if _, err := io.ReadFull(in, compressed); err != nil {
			return nil, err
		}
		r := flate.NewReaderDict(bytes.NewReader(compressed), dictionary(base, prefix, suffix, offset, len(middle)))
		if _, err := io.ReadFull(r, middle[offset:end]); err != nil {
			return nil, err
		}
		offset = end
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

// blockEnd returns the end of the block that starts at offset. Without a base,
// one block covers everything.
func blockEnd(offset, size, baseSize int) int {
	if baseSize == 0 {
		return size
	}
	return min(offset+blockSize, size)
}

// dictionary returns the section of base around the position that corresponds
// to offset in the new middle.
func dictionary(base []byte, prefix, suffix, offset, middleSize int) []byte {
	if len(base) <= flateWindow {
		return base
	}
	baseMiddleSize := len(base) - prefix - suffix
	pos := prefix + int(int64(offset)*int64(baseMiddleSize)/int64(max(middleSize, 1)))
	start := min(max(pos-(flateWindow-blockSize)/2, 0), len(base)-flateWindow)
	return base[start : start+flateWindow]
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
		// Only an invalid level or a failing writer causes an error.
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
