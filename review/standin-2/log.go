package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"knapweedspur/platform/platformemulator"
)

// maxNewestBytes is how much of the newest records one answer holds, unless a single record
// is larger.
const maxNewestBytes = 1 << 20

// logHandler serves the platform's log: the project's own stand-in, with the limits that
// the pages set for the size of an answer.
func logHandler(log *platformemulator.LogServer) http.Handler {
	router := http.NewServeMux()
	router.Handle("/", log.Handler())
	router.HandleFunc("GET /-/log-read", func(rw http.ResponseWriter, r *http.Request) { serveRead(log, rw, r) })
	router.HandleFunc("GET /-/log-newest", func(rw http.ResponseWriter, r *http.Request) { serveNewest(log, rw, r) })
	return router
}

func queryInt(r *http.Request, name string, missing int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return missing
	}
	return n
}

func serveRead(log *platformemulator.LogServer, rw http.ResponseWriter, r *http.Request) {
	from, limit := queryInt(r, "from", 0), int(queryInt(r, "maxSize", 1024))<<10
	page, err := log.Stream(r.URL.Query().Get("topic")).Read(r.Context(), from, time.Duration(queryInt(r, "waitMs", 0))*time.Millisecond)
	if err != nil {
		rw.WriteHeader(http.StatusServiceUnavailable) // nothing is ever dropped here
		return
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(page.Head))
	body = binary.BigEndian.AppendUint64(body, 0)
	for i := range page.Records {
		record := &page.Records[i]
		size := 1 + len(record.Key) + len(record.Value)
		if i > 0 && len(body)+size > limit {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(size))
		body = append(append(append(body, byte(len(record.Key))), record.Key...), record.Value...)
	}
	_, _ = rw.Write(body) // the reader may be gone
}

func serveNewest(log *platformemulator.LogServer, rw http.ResponseWriter, r *http.Request) {
	page, err := log.Stream(r.URL.Query().Get("topic")).Newest(r.Context(), r.URL.Query().Get("dependsOn"))
	if err != nil {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	items, size, more := []map[string]any{}, 0, page.More
	for i := range page.Records {
		record := &page.Records[i]
		if size += len(record.Key) + len(record.Value); i > 0 && size > maxNewestBytes {
			more = true
			break
		}
		items = append(items, map[string]any{"key": record.Key, "value": base64.StdEncoding.EncodeToString(record.Value), "offset": record.Offset})
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"items": items, "hasMore": more, "end": page.Head}) // the reader may be gone
}
