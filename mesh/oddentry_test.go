package mesh

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dogwoodhead/standin"
)

// entryOf returns the list entry of a backend server with some values as written.
func entryOf(addr, born, slots, sequence, coldLeft string) string {
	return fmt.Sprintf(`{"address":%q,"born":%s,"info":{"service":"one","version":"v1","zone":"zone-a","slots":%s},`+
		`"status":{"state":"ready","sequence":%s,"cold-left-ms":%s}}`, addr, born, slots, sequence, coldLeft)
}

// Guards against an entry of another writer ending the nodes that read the list, or
// keeping them from following it, or counting as a backend server.
func TestOddEntries(t *testing.T) {
	const addr, huge, tooLarge = "127.0.0.1:9", "9223372036854775807", "1" + "000000000000000000000000000000"
	deep := strings.Repeat(`{"info":`, 200_000)
	entries := map[string]string{
		"nested objects":       deep,
		"nested lists":         strings.Repeat("[", 200_000),
		"nested unknown field": `{"later":` + strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000) + "}",
		"slots too large":      entryOf(addr, "1", tooLarge, "1", "0"),
		"slots huge":           entryOf(addr, "1", huge, "1", "0"),
		"slots exponent":       entryOf(addr, "1", "1e400", "1", "0"),
		"born too large":       entryOf(addr, tooLarge, "1", "1", "0"),
		"born huge":            entryOf(addr, huge, "1", "1", "0"),
		"born negative":        entryOf(addr, "-1", "1", "1", "0"),
		"sequence too large":   entryOf(addr, "1", "1", tooLarge, "0"),
		"cold too large":       entryOf(addr, "1", "1", "1", "1e400"),
		"cold huge":            entryOf(addr, "1", "1", "1", "1e300"),
		"port out of range":    entryOf("127.0.0.1:65536", "1", "1", "1", "0"),
		"port too large":       entryOf("127.0.0.1:"+tooLarge, "1", "1", "1", "0"),
		"port zero":            entryOf("127.0.0.1:0", "1", "1", "1", "0"),
		"port negative":        entryOf("127.0.0.1:-1", "1", "1", "1", "0"),
		"long number":          entryOf(addr, "1", strings.Repeat("9", 100_000), "1", "0"),
		"no bytes":             "",
		"no text":              "\xff\xfe\x00",
	}
	f := newFleet(t)
	shop := f.add(standin.AppOptions{ID: "i-shop", Service: "shop", Slots: 10})
	f.add(standin.AppOptions{ID: "i-1", Service: "one", Slots: 10})
	f.store.Put("servers/i-before", []byte(deep))
	version := 1
	f.applyConfig(version, routeTo("one", "/x/", "unsafe"))
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		entry := entries[name]
		f.store.Put("servers/i-odd", []byte(entry))
		version++
		// waitForVersion also checks that the list has the two backend servers only.
		f.applyConfig(version, routeTo("one", fmt.Sprintf("/%d/", version), "unsafe"))
		r := shop.send(callerRequest{path: fmt.Sprintf("/%d/", version), id: fmt.Sprint("after ", version)})
		require.Equal(t, http.StatusOK, r.status, name)
	}
	require.Less(t, len(shop.log.String()), 50_000, "an entry is not logged in full")
	shop.node.grace.Store(int64(time.Second))
	shop.stop()
	require.NoError(t, <-shop.done)
	shop.start()
	f.waitForVersion(version)
}
