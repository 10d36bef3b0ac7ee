package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"dogwoodhead/source"
)

const (
	// watchWait is the wait of one watch; the platform counts a waiting watch
	// as one read.
	watchWait = 30 * time.Second
	// Backoff of a failed watch. The upper bound keeps the node within the 5 s
	// in which a change must be in force after the platform comes back; 198
	// watches in 22 zones make about 130 reads a second then.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// refusedInterval is how often a reader reads a key whose last revision was
	// refused. The watch waits for a revision above that one, and a replica that
	// lags may still have an acceptable one below it.
	refusedInterval = 3 * time.Second
	// missingBackoff applies to a key that the platform does not have, which
	// is no fault where a site has no overlay.
	missingBackoff = 5 * time.Second
	// throttleBackoff applies to 429 without a time to wait.
	throttleBackoff = 4 * time.Second
	// refreshRead bounds the reads of a refresh. The service responds in
	// milliseconds, and a peer has to be asked within the same attempt.
	refreshRead = 200 * time.Millisecond
	// A node that still lacks a document reads again after bootBackoff and a
	// random part of bootSpread. 1,500 such nodes make 250 reads a second for
	// each key.
	bootBackoff = 3 * time.Second
	bootSpread  = 6 * time.Second
)

// watch is the state of the watch of one key.
type watch struct {
	active   bool
	next     time.Time
	failures int
	// nextRead is when the key may be read besides the watch.
	nextRead time.Time
}

// tickWatches starts the watches of the keys that this node reads.
func (r *Relay) tickWatches(now time.Time) {
	r.choose()
	for _, key := range r.o.Store.Keys() {
		w := r.watches[key]
		r.readBelow(now, key, w)
		if !r.reading[key] || w.active || now.Before(w.next) {
			continue
		}
		w.active = true
		r.counts.reads.Inc()
		r.o.Watch(key, r.o.Store.Seen(key), watchWait, func(v source.Value, err error) {
			r.watched(key, v, err)
		})
	}
}

// readBelow reads a key whose last revision was refused.
func (r *Relay) readBelow(now time.Time, key string, w *watch) {
	if !r.reading[key] || now.Before(w.nextRead) || r.o.Store.Seen(key) <= r.o.Store.Current(key).rev {
		return
	}
	w.nextRead = now.Add(r.around(refusedInterval))
	r.submit(func(ctx context.Context) { _ = r.readAll(ctx, []string{key}) })
}

// choose computes whether this node is a reader and whom it may probe, once per
// VM list.
func (r *Relay) choose() {
	m := r.o.Members()
	if m == r.readersOf {
		return
	}
	r.readersOf = m
	zone := r.o.Self.VM().Zone()
	for _, key := range r.o.Store.Keys() {
		names := byZone(m, key, r.o.Scope)[zone].readers(key, r.o.Readers)
		r.reading[key] = slices.Contains(names, r.self())
	}
	r.near, r.others = nil, nil
	for v := range m.All() {
		switch {
		case v.Name() == r.self():
		case v.Zone() == zone:
			r.near = append(r.near, v.Name())
		default:
			r.others = append(r.others, v.Name())
		}
	}
}

// watched takes the result of a watch.
func (r *Relay) watched(key string, v source.Value, err error) {
	r.mu.Lock()
	w := r.watches[key]
	w.active = false
	if err == nil || errors.Is(err, source.ErrUnchanged) {
		w.failures = 0
		w.next = r.o.Clock.Now()
	} else {
		w.failures++
		w.next = r.o.Clock.Now().Add(r.around(backoff(err, w.failures)))
		r.counts.readFailures.Inc()
	}
	r.mu.Unlock()
	if err == nil {
		r.accept(NewDocument(key, v.Rev(), v.Bytes()), "")
	}
}

// backoff returns how long to wait after a number of failures in a row.
func backoff(err error, failures int) time.Duration {
	var throttled *source.ThrottledError
	if errors.As(err, &throttled) {
		return max(throttled.RetryAfter()*5/4, throttleBackoff)
	}
	var missing *source.NotFoundError
	if errors.As(err, &missing) {
		return missingBackoff
	}
	return min(minBackoff<<min(failures-1, 8), maxBackoff)
}

// tickReads reads the platform without a watch: on start for what is missing,
// and rarely for everything.
func (r *Relay) tickReads(now time.Time) {
	if !now.Before(r.nextPoll) {
		r.nextPoll = now.Add(r.around(pollInterval))
		r.submit(func(ctx context.Context) { _ = r.readAll(ctx, r.o.Store.Keys()) })
		return
	}
	if now.Before(r.bootRead) {
		return
	}
	if missing := r.missing(); len(missing) > 0 {
		r.bootRead = now.Add(bootBackoff + r.upTo(bootSpread))
		r.submit(func(ctx context.Context) { _ = r.readAll(ctx, missing) })
	}
}

// missing returns the keys to read on start: the VM list at first, because with
// it the rest comes from peers; then what is still missing and not watched.
func (r *Relay) missing() []string {
	revs := r.o.Store.Revs()
	if revs.VMs == 0 {
		return []string{KeyVMs}
	}
	var out []string
	if revs.Base == 0 && !r.reading[KeyBase] {
		out = append(out, KeyBase)
	}
	if key := r.o.Store.overlay; revs.Overlay == 0 && !r.overlayRead && !r.reading[key] {
		out = append(out, key)
	}
	return out
}

// readAll reads keys once each. A key that the platform does not have is no
// error.
func (r *Relay) readAll(ctx context.Context, keys []string) error {
	for _, key := range keys {
		r.counts.reads.Inc()
		v, err := r.o.Read(ctx, key)
		var missing *source.NotFoundError
		if key == r.o.Store.overlay && (err == nil || errors.As(err, &missing)) {
			r.mu.Lock()
			r.overlayRead = true
			r.mu.Unlock()
		}
		switch {
		case err == nil:
			r.accept(NewDocument(key, v.Rev(), v.Bytes()), "")
		case errors.As(err, &missing):
		default:
			r.counts.readFailures.Inc()
			return err
		}
	}
	return nil
}

// Refresh brings the documents up to date after a pause: from the platform, or
// from a peer when the platform does not answer. It blocks.
func (r *Relay) Refresh(ctx context.Context) error {
	read, cancel := context.WithTimeout(ctx, refreshRead)
	defer cancel()
	err := r.readAll(read, r.o.Store.Keys())
	if err == nil {
		return nil
	}
	r.mu.Lock()
	vm, ok := r.pickPeer()
	r.mu.Unlock()
	if !ok {
		return err
	}
	_, err = r.pullFrom(ctx, vm)
	return err
}
