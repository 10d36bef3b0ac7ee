package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"dogwoodhead/frame"
)

const (
	// macLen is the length of the mac in bytes; 16 cannot be guessed.
	macLen = 16
	// maxKeyLen bounds a key in bytes: a VM name of 64 and four numbers fit.
	maxKeyLen = 192
)

// fields are the parts of an operation key vm/process/expiry/nonce/mac. The
// nonce is the number of the key at its owner.
type fields struct {
	owner frame.Incarnation
	// expiry counts from the owner's start, in whole milliseconds.
	expiry time.Duration
	number uint64
}

// Owner returns the process that issued the key and alone may run the call. The
// error is a *frame.OutcomeError with ReasonKey.
func Owner(key string) (frame.Incarnation, error) {
	f, err := parseKey(key)
	if err != nil {
		return frame.Incarnation{}, err
	}
	return f.owner, nil
}

// plain returns the key without its mac.
func (f fields) plain() string {
	return f.owner.VM() + "/" + f.owner.Process().String() + "/" +
		strconv.FormatInt(f.expiry.Milliseconds(), 10) + "/" + strconv.FormatUint(f.number, 16)
}

// encode returns the key of a call of t.
func (f fields) encode(secret []byte, t frame.Target) string {
	plain := f.plain()
	return plain + "/" + mac(secret, plain, t)
}

// verify reports whether key is what encode made for a call of t.
func (f fields) verify(secret []byte, t frame.Target, key string) bool {
	return hmac.Equal([]byte(key), []byte(f.encode(secret, t)))
}

func mac(secret []byte, plain string, t frame.Target) string {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(plain + "/" + t.String()))
	return hex.EncodeToString(h.Sum(nil)[:macLen])
}

// parseKey parses a key without checking its mac.
func parseKey(key string) (fields, error) {
	bad := frame.Refuse(frame.ReasonKey, "malformed operation key")
	parts := strings.Split(key, "/")
	if len(key) > maxKeyLen || len(parts) != 5 {
		return fields{}, bad
	}
	owner, err := frame.ParseIncarnation(parts[0] + ":" + parts[1])
	if err != nil || !owner.Known() {
		return fields{}, bad
	}
	ms, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || ms < 0 || ms > int64(maxExpiry/time.Millisecond) {
		return fields{}, bad
	}
	number, err := strconv.ParseUint(parts[3], 16, 64)
	if err != nil {
		return fields{}, bad
	}
	return fields{owner: owner, expiry: time.Duration(ms) * time.Millisecond, number: number}, nil
}

// maxExpiry keeps sums of an expiry and a retention within a time.Duration.
const maxExpiry = 100 * 365 * 24 * time.Hour
