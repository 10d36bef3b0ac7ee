package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"dogwoodhead/source"
)

const (
	// watchWait is how long the platform may hold one watch (a long poll), which
	// it counts as one read. A watch that was made while the platform was silent
	// never gets a response and looks like one without news, so watchWait bounds
	// how long the end of an outage goes unnoticed: a change must be active 5 s
	// after it. 198 watches in 22 zones make 132 reads a second.
	watchWait = 1500 * time.Millisecond
	// Backoff of a failed watch. It counts towards the same 5 s; 198 watches
	// make about 400 reads a second then.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// rejectedReadInterval is the mean time between reads of a key whose last
	// revision was rejected. The watch waits for a revision above that one, but a
	// replica that lags may still return an acceptable one below it.
	rejectedReadInterval = 3 * time.Second
	// notFoundBackoff applies to a key that the platform does not have, which is
	// normal for a site without an overlay.
	notFoundBackoff = 5 * time.Second
	// minThrottleBackoff is the shortest backoff after 429, also without Retry-After.
	minThrottleBackoff = 4 * time.Second
	// refreshReadTimeout bounds the reads of a refresh. The platform responds in
	// milliseconds, and the same refresh must have time left to pull from a peer.
	refreshReadTimeout = 200 * time.Millisecond
	// A node that still lacks a document reads again after startReadBackoff plus
	// a random time below startReadJitter. 1,500 such nodes make 250 reads a
	// second for each key.
	startReadBackoff = 3 * time.Second
	startReadJitter  = 6 * time.Second
)

// watchState is the state of the watch of one key.
type watchState struct {
	running   bool
	nextWatch time.Time
	failures  int
	// nextRead is the earliest time of the next read by rereadRejected.
	nextRead time.Time
}

// tickWatches starts the due watches of the keys that this node is a reader of.
func (r *Relay) tickWatches(now time.Time) {
	r.updateMembers()
	for _, key := range r.opts.Store.Keys() {
		w := r.watches[key]
		r.rereadRejected(now, key, w)
		if !r.readerKeys[key] || w.running || now.Before(w.nextWatch) {
			continue
		}
		w.running = true
		r.counters.reads.Inc()
		r.opts.Watch(key, r.opts.Store.HighestSeen(key), watchWait, func(v source.Value, err error) {
			r.handleWatchResult(key, v, err)
		})
	}
}

// rereadRejected reads a key whose last revision was rejected, when that is due.
func (r *Relay) rereadRejected(now time.Time, key string, w *watchState) {
	if !r.readerKeys[key] || now.Before(w.nextRead) || r.opts.Store.HighestSeen(key) <= r.opts.Store.Current(key).rev {
		return
	}
	w.nextRead = now.Add(r.withJitter(rejectedReadInterval))
	r.submit(func(ctx context.Context) { _ = r.readKeys(ctx, []string{key}) })
}

// updateMembers recomputes the keys that this node is a reader of and its local
// and remote peers if the VM list has changed. The caller holds mu.
func (r *Relay) updateMembers() {
	m := r.opts.Members()
	if m == r.lastMembers {
		return
	}
	r.lastMembers = m
	zone := r.opts.Self.VM().Zone()
	for _, key := range r.opts.Store.Keys() {
		readers := vmsByZone(m, key, r.opts.StoresKey)[zone].readers(key, r.opts.ReadersPerZone)
		r.readerKeys[key] = slices.Contains(readers, r.selfName())
	}
	r.localPeers, r.remotePeers = nil, nil
	for v := range m.All() {
		switch {
		case v.Name() == r.selfName():
		case v.Zone() == zone:
			r.localPeers = append(r.localPeers, v.Name())
		default:
			r.remotePeers = append(r.remotePeers, v.Name())
		}
	}
}

// handleWatchResult schedules the next watch and processes the value.
func (r *Relay) handleWatchResult(key string, v source.Value, err error) {
	r.mu.Lock()
	w := r.watches[key]
	w.running = false
	if err == nil || errors.Is(err, source.ErrUnchanged) {
		w.failures = 0
		w.nextWatch = r.opts.Clock.Now()
	} else {
		w.failures++
		w.nextWatch = r.opts.Clock.Now().Add(r.withJitter(backoff(err, w.failures)))
		r.counters.readFailures.Inc()
	}
	r.mu.Unlock()
	if err == nil {
		r.offer(NewDocument(key, v.Rev(), v.Bytes()), "")
	}
}

// backoff returns how long to wait after a number of consecutive failures.
func backoff(err error, failures int) time.Duration {
	var throttled *source.ThrottledError
	if errors.As(err, &throttled) {
		return max(throttled.RetryAfter()*5/4, minThrottleBackoff)
	}
	var notFound *source.NotFoundError
	if errors.As(err, &notFound) {
		return notFoundBackoff
	}
	return min(minBackoff<<min(failures-1, 8), maxBackoff)
}

// tickReads reads the platform without a watch: missing documents after the
// start, and all documents every pollInterval.
func (r *Relay) tickReads(now time.Time) {
	if !now.Before(r.nextPoll) {
		r.nextPoll = now.Add(r.withJitter(pollInterval))
		r.submit(func(ctx context.Context) { _ = r.readKeys(ctx, r.opts.Store.Keys()) })
		return
	}
	if now.Before(r.nextStartRead) {
		return
	}
	if keys := r.missingKeys(); len(keys) > 0 {
		r.nextStartRead = now.Add(startReadBackoff + r.randomBelow(startReadJitter))
		r.submit(func(ctx context.Context) { _ = r.readKeys(ctx, keys) })
	}
}

// missingKeys returns the keys to read after the start: first the VM list, because
// peers provide the rest; then the keys that are still missing and not watched.
func (r *Relay) missingKeys() []string {
	revs := r.opts.Store.Revs()
	if revs.VMs == 0 {
		return []string{KeyVMs}
	}
	var keys []string
	if revs.Base == 0 && !r.readerKeys[KeyBase] {
		keys = append(keys, KeyBase)
	}
	if key := r.opts.Store.overlayKey; revs.Overlay == 0 && !r.overlayChecked && !r.readerKeys[key] {
		keys = append(keys, key)
	}
	return keys
}

// readKeys reads each key once, up to the first error. A key that the platform
// does not have is not an error.
func (r *Relay) readKeys(ctx context.Context, keys []string) error {
	for _, key := range keys {
		r.counters.reads.Inc()
		v, err := r.opts.Read(ctx, key)
		var notFound *source.NotFoundError
		if key == r.opts.Store.overlayKey && (err == nil || errors.As(err, &notFound)) {
			r.mu.Lock()
			r.overlayChecked = true
			r.mu.Unlock()
		}
		switch {
		case err == nil:
			r.offer(NewDocument(key, v.Rev(), v.Bytes()), "")
		case errors.As(err, &notFound):
		default:
			r.counters.readFailures.Inc()
			return err
		}
	}
	return nil
}

// Refresh updates the documents after a pause of the process: from the platform,
// or from a peer if reading the platform fails. It blocks until done.
func (r *Relay) Refresh(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, refreshReadTimeout)
	defer cancel()
	err := r.readKeys(readCtx, r.opts.Store.Keys())
	if err == nil {
		return nil
	}
	r.mu.Lock()
	vm, ok := r.nextRandomPeer()
	r.mu.Unlock()
	if !ok {
		return err
	}
	_, err = r.pullFrom(ctx, vm)
	return err
}
