package allotment

import (
	"encoding/binary"
	"errors"
	"math"
)

// errMalformed is the error of a message that can't be decoded.
var errMalformed = errors.New("malformed allotment message")

// messageFormat is the first byte of each message.
const messageFormat = 1

// scope is the relation of the sender of a report to its receiver.
type scope byte

const (
	scopeGroup  scope = iota // a node of the group to the best one of the group
	scopeRegion              // the best one of a group to the best one of the region
	scopePeer                // the best one of a region to that of another region
)

// report tells the counts of the sender and of those that report to it. Rows are sent again with the same rowsNumber until
// they are answered, so that the receiver counts them once.
type report struct {
	from       string // name of the node
	boot       uint64 // random number of the process
	number     uint64 // rises with each report
	rowsNumber uint64 // number of the first report with these rows
	scope      scope
	hot        bool // the next report follows after forwardInterval at most
	nodes      int  // number of nodes whose counts no other receiver expects
	rows       []reportRow
	// known are the limits that another node stated before the sender chose this receiver.
	known answer
}

type reportRow struct {
	tenant tenantID
	tally
}

// push tells limits to a node that reports to the sender.
type push struct {
	from string // name of the node
	answer
}

// answer holds the tenants whose demand is not admitted as a whole.
type answer struct {
	rows []answerRow
}

type answerRow struct {
	tenant tenantID
	limit
}

const (
	fractionUnits = math.MaxUint16 // a fraction of 1
	hotFlag       = 0x10
	maxRows       = 1 << 16 // in one message
	// maxMessageBytes bounds a message: a row has up to 28 bytes.
	maxMessageBytes = 2 << 20
)

func (r *report) encode() []byte {
	flags := byte(r.scope)
	if r.hot {
		flags |= hotFlag
	}
	out := append(make([]byte, 0, 48+11*len(r.rows)), messageFormat, flags)
	out = binary.LittleEndian.AppendUint64(out, r.boot)
	out = binary.AppendUvarint(out, r.number)
	out = binary.AppendUvarint(out, r.number-r.rowsNumber)
	out = binary.AppendUvarint(out, uint64(r.nodes))
	out = binary.AppendUvarint(out, uint64(len(r.from)))
	out = append(out, r.from...)
	out = binary.AppendUvarint(out, uint64(len(r.rows)))
	for _, row := range r.rows {
		out = row.tenant.append(out)
		out = binary.AppendVarint(out, row.admitted)
		out = binary.AppendVarint(out, row.requested)
	}
	return r.known.append(out)
}

func decodeReport(data []byte) (*report, error) {
	d := decoder{data: data}
	format, flags := d.byte(), d.byte()
	r := &report{scope: scope(flags &^ hotFlag), hot: flags&hotFlag != 0, boot: d.uint64(), number: d.uvarint()}
	age := d.uvarint()
	r.rowsNumber = r.number - age
	r.nodes = int(min(d.uvarint(), math.MaxInt32))
	r.from = string(d.bytes(d.uvarint()))
	rows := d.uvarint()
	if d.failed || format != messageFormat || rows > maxRows || r.scope > scopePeer || age > r.number {
		return nil, errMalformed
	}
	for range rows {
		row := reportRow{d.tenantID(), tally{admitted: d.varint(), requested: d.varint()}}
		if d.failed {
			return nil, errMalformed
		}
		r.rows = append(r.rows, row)
	}
	known, err := decodeAnswer(d.data)
	if err != nil {
		return nil, err
	}
	r.known = *known
	return r, nil
}

func (p *push) encode() []byte {
	out := binary.AppendUvarint([]byte{messageFormat}, uint64(len(p.from)))
	return p.answer.append(append(out, p.from...))
}

func decodePush(data []byte) (*push, error) {
	d := decoder{data: data}
	format := d.byte()
	p := &push{from: string(d.bytes(d.uvarint()))}
	if d.failed || format != messageFormat {
		return nil, errMalformed
	}
	stated, err := decodeAnswer(d.data)
	if err != nil {
		return nil, err
	}
	p.answer = *stated
	return p, nil
}

func (a *answer) encode() []byte { return a.append(nil) }

func (a *answer) append(out []byte) []byte {
	out = append(out, messageFormat)
	out = binary.AppendUvarint(out, uint64(len(a.rows)))
	for _, row := range a.rows {
		out = row.tenant.append(out)
		out = binary.LittleEndian.AppendUint16(out, uint16(row.fraction*fractionUnits))
		out = binary.AppendVarint(out, int64(math.Floor(row.tokens)))
		out = binary.AppendUvarint(out, uint64(row.demand))
	}
	return out
}

func decodeAnswer(data []byte) (*answer, error) {
	d := decoder{data: data}
	format, rows := d.byte(), d.uvarint()
	if d.failed || format != messageFormat || rows > maxRows {
		return nil, errMalformed
	}
	a := &answer{}
	for range rows {
		row := answerRow{tenant: d.tenantID()}
		row.fraction = float64(d.uint16()) / fractionUnits
		row.tokens, row.demand = float64(d.varint()), float64(d.uvarint())
		if d.failed {
			return nil, errMalformed
		}
		a.rows = append(a.rows, row)
	}
	return a, nil
}

// decoder reads a message. After a value that the message doesn't hold, failed is set and all values are zero.
type decoder struct {
	data   []byte
	failed bool
}

func (d *decoder) bytes(n uint64) []byte {
	if d.failed || n > uint64(len(d.data)) {
		d.failed = true
		return nil
	}
	taken := d.data[:n]
	d.data = d.data[n:]
	return taken
}

func (d *decoder) byte() byte {
	if b := d.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *decoder) uint16() uint16 {
	if b := d.bytes(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (id tenantID) append(out []byte) []byte {
	for i := range tenantIDBytes {
		out = append(out, byte(id>>(8*i)))
	}
	return out
}

func (d *decoder) tenantID() (id tenantID) {
	for i, b := range d.bytes(tenantIDBytes) {
		id |= tenantID(b) << (8 * i)
	}
	return id
}

func (d *decoder) uint64() uint64 {
	if b := d.bytes(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (d *decoder) uvarint() uint64 {
	value, n := binary.Uvarint(d.data)
	return value * d.advance(n)
}

func (d *decoder) varint() int64 {
	value, n := binary.Varint(d.data)
	return value * int64(d.advance(n))
}

// advance skips n bytes. It returns 1, or 0 if the value of these bytes is invalid.
func (d *decoder) advance(n int) uint64 {
	if n <= 0 {
		d.failed = true
		return 0
	}
	d.bytes(uint64(n))
	return 1
}
