package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	healthPath = "/health"
	heartbeat  = 1500 * time.Millisecond
	slots      = 9
	queue      = 18
)

// run is one request that a worker began to work on.
type run struct {
	at                         time.Time
	worker, id, method, target string
	caller                     []string // values of Acacialock-Caller-Service
	body                       string
}

// worker is a stand-in of an application worker. It speaks HTTP/1.1 on its own connections, so that it can also send what a
// worker in trouble sends.
type worker struct {
	id, service, zone, addr string
	listener                net.Listener
	born                    int64
	serviceTime             time.Duration
	running                 atomic.Int64
	slot                    chan struct{}
	checkIn                 string // host:port of the node beside it

	// beforeRun, unless nil, is called with the connection when a request has arrived and before it runs. afterAnswer, unless
	// nil, is called when a complete answer was written.
	beforeRun   func(conn net.Conn, r *http.Request)
	afterAnswer func(conn net.Conn, r *http.Request)
	spoiler     *spoiler // nil: the worker is sound

	mu   sync.Mutex
	runs []run
}

func newWorker(id, service, zone string, serviceTime time.Duration) (*worker, error) {
	listener, err := net.Listen("tcp", freeAddr())
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, zone: zone, addr: listener.Addr().String(), listener: listener, born: time.Now().UnixMilli(),
		serviceTime: serviceTime, slot: make(chan struct{}, slots),
	}
	return w, nil
}

// serve accepts connections and checks in.
func (w *worker) serve() {
	go func() {
		for {
			conn, err := w.listener.Accept()
			if err != nil {
				return
			}
			go w.serveConn(conn)
		}
	}()
	go func() {
		for sequence := 1; ; sequence++ {
			w.sendCheckIn(sequence)
			time.Sleep(heartbeat)
		}
	}()
}

func (w *worker) sendCheckIn(sequence int) {
	body, _ := json.Marshal(map[string]any{
		"Service": w.service, "Address": w.addr, "Zone": w.zone, "Version": "v1", "Slots": slots, "State": "ready",
		"ColdRemaining": "0ms", "Sequence": sequence, "born": w.born,
	})
	request, _ := http.NewRequest(http.MethodPut, "http://"+w.checkIn+"/instances/"+w.id, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

func (w *worker) load() string {
	return fmt.Sprintf("%d,0,%d,100", min(w.running.Load(), slots), slots)
}

func (w *worker) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == healthPath {
			w.write(conn, 200, "Acacialock-Instance-Id: "+w.id+"\r\n", "")
			continue
		}
		id := r.Header.Get("Acacialock-Request-Id")
		switch expected := r.Header.Get("Acacialock-Expect-Instance"); {
		case expected != "" && expected != w.id:
			w.write(conn, 421, "Acacialock-Instance-Id: "+w.id+"\r\n", "")
			continue
		case id == "":
			w.write(conn, 400, "Acacialock-Not-Executed: 1\r\n", "")
			continue
		case w.running.Load() >= slots+queue:
			w.write(conn, 503, "Acacialock-Not-Executed: 1\r\nAcacialock-Request-Id: "+id+"\r\n", "")
			continue
		}
		if w.beforeRun != nil {
			w.beforeRun(conn, r)
		}
		w.running.Add(1)
		w.slot <- struct{}{}
		w.mu.Lock()
		w.runs = append(w.runs, run{
			at: time.Now(), worker: w.id, id: id, method: r.Method, target: r.RequestURI,
			caller: r.Header.Values("Acacialock-Caller-Service"), body: string(body),
		})
		w.mu.Unlock()
		time.Sleep(w.serviceTime)
		<-w.slot
		w.running.Add(-1)
		w.write(conn, 200, "Acacialock-Request-Id: "+id+"\r\nAcacialock-Response-Signature: "+signature(w.id, id)+"\r\n",
			"answer of "+w.id+" to "+id+"\n")
		if w.afterAnswer != nil {
			w.afterAnswer(conn, r)
		}
	}
}

func signature(worker, id string) string { return fmt.Sprintf("%x", worker+"."+id) }

// write sends an answer with the header lines that end with CRLF each.
func (w *worker) write(conn net.Conn, status int, header, body string) {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n%sAcacialock-Server-Load: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), header, w.load(), len(body), body)
	_, _ = io.WriteString(conn, text.String())
}

func (w *worker) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}
