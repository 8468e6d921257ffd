package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as in the settings of the processes.
const (
	recordBytes = 262144
	callBytes   = 2 << 20
	// answerTime is how long the store takes for an answer.
	answerTime = 3 * time.Millisecond
	// keptAppends is how many appends of a producer are recognized when repeated.
	keptAppends = 5
	pageItems   = 500
	pageBytes   = 1 << 20
)

// store is a stand-in of the platform's metadata store: keyed topics with one
// partition each.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

type topic struct {
	records   []record
	newest    map[string]int
	producers map[string]*producer
	appended  chan struct{}
}

type record struct {
	key   string
	value []byte
}

type producer struct {
	epoch, last int64
	recent      []sentAppend
}

type sentAppend struct{ seq, offset int64 }

func newStore() *store { return &store{topics: map[string]*topic{}} }

// topic returns a topic, which is created on first use. The caller holds the lock.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, producers: map[string]*producer{}, appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put writes a record as the operator does.
func (s *store) put(topicName, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topicName).add([]record{{key, data}})
}

// add appends records. The caller holds the lock.
func (t *topic) add(records []record) int64 {
	offset := len(t.records)
	for _, r := range records {
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = len(t.records)
		}
		t.records = append(t.records, r)
	}
	close(t.appended)
	t.appended = make(chan struct{})
	return int64(offset)
}

// check returns the offset of an earlier append with the same number, or why the append
// is refused.
func (t *topic) check(name string, epoch, seq int64) (repeatOf int64, refusal map[string]any) {
	p := t.producers[name]
	if p == nil || epoch > p.epoch {
		t.producers[name] = &producer{epoch: epoch, last: seq - 1}
		return -1, nil
	}
	if epoch < p.epoch {
		return -1, map[string]any{"reason": "fenced"}
	}
	for _, a := range p.recent {
		if a.seq == seq {
			return a.offset, nil
		}
	}
	if seq != p.last+1 {
		return -1, map[string]any{"reason": "seq", "seq": p.last + 1}
	}
	return -1, nil
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.append)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("GET /-/log-newest", s.listNewest)
	return mux
}

func number(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0 // a number that is left out counts as 0
	}
	return n
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := splitRecords(body)
	if !ok {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	t := s.topic(query.Get("topic"))
	name, seq := query.Get("producer"), number(r, "seq")
	if name != "" {
		repeatOf, refusal := t.check(name, number(r, "epoch"), seq)
		if refusal != nil {
			reply(w, http.StatusConflict, refusal)
			return
		}
		if repeatOf >= 0 {
			reply(w, http.StatusOK, map[string]any{"offset": repeatOf, "end": len(t.records)})
			return
		}
	}
	offset := t.add(records)
	if name != "" {
		p := t.producers[name]
		p.last, p.recent = seq, append(p.recent, sentAppend{seq, offset})
		p.recent = p.recent[max(0, len(p.recent)-keptAppends):]
	}
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end": len(t.records)})
}

// splitRecords returns the records of an append, and whether they keep the limits.
func splitRecords(body []byte) ([]record, bool) {
	var records []record
	if len(body) > callBytes {
		return nil, false
	}
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if size > len(body) || size > recordBytes || size < 1+int(body[0]) {
			return nil, false
		}
		end := 1 + int(body[0])
		records = append(records, record{string(body[1:end]), slices.Clone(body[end:size])})
		body = body[size:]
	}
	return records, true
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, wait := int(number(r, "from")), time.Duration(number(r, "waitMs"))*time.Millisecond
	limit := int(number(r, "maxSize")) << 10
	if limit == 0 {
		limit = pageBytes
	}
	time.Sleep(answerTime)
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		records, end, appended := t.records, len(t.records), t.appended
		s.mu.Unlock()
		if from < end || wait <= 0 {
			writePage(w, records, from, limit)
			return
		}
		select {
		case <-appended:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// writePage answers a read. This store keeps all records, so the first retained offset
// is 0.
func writePage(w http.ResponseWriter, records []record, from, limit int) {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for i := from; i < len(records); i++ {
		r := records[i]
		if size := 1 + len(r.key) + len(r.value); i == from || len(body)+size < limit {
			body = binary.BigEndian.AppendUint32(body, uint32(size))
			body = append(append(append(body, byte(len(r.key))), r.key...), r.value...)
			continue
		}
		break
	}
	_, _ = w.Write(body) // the caller may have gone
}

func (s *store) listNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	var keys []string
	for key := range t.newest {
		if key > r.URL.Query().Get("dependsOn") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size := []map[string]any{}, 0
	for _, key := range keys {
		value := t.records[t.newest[key]].value
		size += len(value)
		if len(items) == pageItems || len(items) > 0 && size > pageBytes {
			break
		}
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": t.newest[key]})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(items) < len(keys), "end": len(t.records)})
}
