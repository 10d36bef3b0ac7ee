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
	// macLen is the length of the MAC in bytes; 16 cannot be guessed.
	macLen = 16
	// maxKeyLen is the longest key in bytes: a VM name of 64 and four numbers fit.
	maxKeyLen = 192
)

// keyFields are the fields of an operation key vm/process/expiry/nonce/mac. The
// nonce is the sequence number of the key at its owner, in hexadecimal.
type keyFields struct {
	owner frame.Incarnation
	// expiry is the time since the owner's start, in whole milliseconds.
	expiry time.Duration
	number uint64
}

// Owner returns the process that issued the key, the only one that may run the
// call. The error is a *frame.OutcomeError with ReasonKey.
func Owner(key string) (frame.Incarnation, error) {
	f, err := parseKey(key)
	if err != nil {
		return frame.Incarnation{}, err
	}
	return f.owner, nil
}

// encode returns the key of a call to the target.
func (f keyFields) encode(secret []byte, target frame.Target) string {
	payload := f.owner.VM() + "/" + f.owner.Process().String() + "/" +
		strconv.FormatInt(f.expiry.Milliseconds(), 10) + "/" + strconv.FormatUint(f.number, 16)
	return payload + "/" + computeMAC(secret, payload, target)
}

// verify reports whether the key was encoded for the target with this secret.
// The MAC covers the text as received, so another spelling of the same numbers
// is invalid.
func verify(secret []byte, key string, target frame.Target) bool {
	separator := strings.LastIndexByte(key, '/')
	return separator >= 0 && hmac.Equal([]byte(key[separator+1:]), []byte(computeMAC(secret, key[:separator], target)))
}

func computeMAC(secret []byte, payload string, target frame.Target) string {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(payload + "/" + target.String()))
	return hex.EncodeToString(h.Sum(nil)[:macLen])
}

// parseKey parses a key without verifying its MAC.
func parseKey(key string) (keyFields, error) {
	malformed := frame.NotRunError(frame.ReasonKey, "malformed operation key")
	parts := strings.Split(key, "/")
	if len(key) > maxKeyLen || len(parts) != 5 {
		return keyFields{}, malformed
	}
	owner, err := frame.ParseIncarnation(parts[0] + ":" + parts[1])
	if err != nil || !owner.Known() {
		return keyFields{}, malformed
	}
	ms, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || ms < 0 || ms > int64(maxExpiry/time.Millisecond) {
		return keyFields{}, malformed
	}
	number, err := strconv.ParseUint(parts[3], 16, 64)
	if err != nil {
		return keyFields{}, malformed
	}
	return keyFields{owner: owner, expiry: time.Duration(ms) * time.Millisecond, number: number}, nil
}

// maxExpiry prevents expiry plus retention from overflowing a time.Duration.
const maxExpiry = 100 * 365 * 24 * time.Hour
