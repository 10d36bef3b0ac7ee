package mesh

import (
	"time"

	"github.com/sirupsen/logrus"

	"dogwoodhead/catalog"
	"dogwoodhead/peer"
)

// maxLoggedError bounds the text of an error about an entry, in bytes: it can quote
// a number of the entry in full.
const maxLoggedError = 200

// logInvalidEntry logs an entry of the store that another client wrote.
func (n *Node) logInvalidEntry(key string, err error) {
	text := err.Error()
	text = text[:min(len(text), maxLoggedError)]
	n.log.WithFields(logrus.Fields{"key": key, "error": text}).Warn("entry names no backend server")
}

// logStoreState logs that the store was lost (err is not nil) or regained.
func (n *Node) logStoreState(err error) {
	fields := logrus.Fields{"store": n.settings.StoreAddr(), "config": n.view.ConfigVersion(), "list": n.view.Rev()}
	if err != nil {
		fields["error"] = err.Error()
		n.log.WithFields(fields).Warn("store lost")
		return
	}
	addStoreReturn(fields, n.view)
	n.log.WithFields(fields).Info("store connected")
}

// addStoreReturn adds to a log line how long ago the store returned from its last
// outage, if it was away.
func addStoreReturn(fields logrus.Fields, view *catalog.View) {
	if ago, away := view.SinceStoreReturn(); away {
		fields["returned"] = ago.Milliseconds()
	}
}

// logReadingStopped logs that this node leaves reading the store to others.
func (n *Node) logReadingStopped() {
	n.log.WithFields(logrus.Fields{"config": n.view.ConfigVersion(), "list": n.view.Rev()}).Info("store not read")
}

// logFailedStoreCall logs a failed call to the store, with its duration: a call
// that hangs and one that is refused at once have different causes.
func (n *Node) logFailedStoreCall(err error, took, pause time.Duration) {
	n.log.WithFields(logrus.Fields{
		"error": err.Error(), "took": took.Milliseconds(), "pause": pause.Milliseconds(), "config": n.view.ConfigVersion(), "list": n.view.Rev(),
	}).Warn("store call failed")
}

// logDeferredRemoval logs that a server without an entry stays in use for a time.
func (n *Node) logDeferredRemoval(s catalog.Server, left time.Duration) {
	n.log.WithFields(logrus.Fields{"instance": s.ID, "address": s.Addr, "entry": s.Rev, "left": left.Milliseconds()}).Info("removal deferred")
}

// logClosedConn logs a connection of a client that was closed for a limit.
func (n *Node) logClosedConn(c peer.ClosedConn) {
	n.log.WithFields(logrus.Fields{
		"listener": c.Listener(), "remote": c.Remote().String(), "phase": c.Phase(), "open": c.Open(),
	}).Warn("connection closed for a limit")
}
