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

// encode returns the key of a call of t.
func (f fields) encode(secret []byte, t frame.Target) string {
	plain := f.owner.VM() + "/" + f.owner.Process().String() + "/" +
		strconv.FormatInt(f.expiry.Milliseconds(), 10) + "/" + strconv.FormatUint(f.number, 16)
	return plain + "/" + mac(secret, plain, t)
}

// verify reports whether encode made the key for a call of t with this secret.
// The mac covers the text as presented, so another spelling of the same numbers
// does not pass.
func verify(secret []byte, key string, t frame.Target) bool {
	cut := strings.LastIndexByte(key, '/')
	return cut >= 0 && hmac.Equal([]byte(key[cut+1:]), []byte(mac(secret, key[:cut], t)))
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
