package deployment

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Host is the host of all routes.
const Host = "shop.example"

// Attempt is one attempt of a consumer and how it ended. Status is 0 if the consumer got no complete answer.
type Attempt struct {
	ID, Method, Path, Body string
	Deadline               time.Duration
	Header                 string // further header lines, each with its line end

	SentAt, EndedAt time.Time
	Status          int
	Signed          bool
	Answer          string
	Err             error
}

// Conn is a consumer's kept connection to the node of its machine. It carries one attempt at a time and repeats nothing.
type Conn struct {
	record *Record
	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a consumer's connection to the node of a machine.
func Dial(m *Machine) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", m.Outbound, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{record: m.deployment.Record, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }

// Do sends the attempt and waits for its answer until the deadline. It returns whether the connection can be used again.
func (c *Conn) Do(a *Attempt) bool {
	a.SentAt = time.Now()
	_ = c.conn.SetDeadline(a.SentAt.Add(a.Deadline))
	c.record.Logf("sent  %s %s %s", a.ID, a.Method, a.Path)
	reusable := false
	if a.Err = c.send(a); a.Err == nil {
		reusable, a.Err = c.receive(a)
	}
	a.EndedAt = time.Now()
	if a.Err != nil {
		a.Status = 0
		c.record.Logf("ended %s without a complete answer after %v: %v", a.ID, a.EndedAt.Sub(a.SentAt).Round(time.Millisecond), a.Err)
		return false
	}
	c.record.Logf("ended %s with %d after %v", a.ID, a.Status, a.EndedAt.Sub(a.SentAt).Round(time.Millisecond))
	return reusable
}

func (c *Conn) send(a *Attempt) error {
	length := ""
	if a.Body != "" || a.Method == http.MethodPost {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(a.Body))
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAcacialock-Request-Id: %s\r\nAcacialock-Deadline-Ms: %d\r\n%s%s\r\n%s",
		a.Method, a.Path, Host, a.ID, a.Deadline.Milliseconds(), a.Header, length, a.Body)
	_, err := io.WriteString(c.conn, text)
	return err
}

func (c *Conn) receive(a *Attempt) (reusable bool, err error) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: a.Method})
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	var answer strings.Builder
	if _, err := io.Copy(&answer, response.Body); err != nil {
		return false, err
	}
	a.Status, a.Answer = response.StatusCode, answer.String()
	a.Signed = response.Header.Get("Acacialock-Response-Signature") != ""
	return !response.Close, nil
}

// Send sends the attempt on a new connection.
func Send(m *Machine, a *Attempt) {
	c, err := Dial(m)
	if err != nil {
		a.SentAt, a.EndedAt, a.Err = time.Now(), time.Now(), err
		m.deployment.Record.Logf("ended %s without a connection: %v", a.ID, err)
		return
	}
	defer c.Close()
	c.Do(a)
}
