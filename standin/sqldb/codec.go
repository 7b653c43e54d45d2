package sqldb

import (
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// stamp is the form in which times are stored.
const stamp = "2006-01-02 15:04:05.999999Z07:00"

// Codec converts values between Go and the protocol. It must not be used
// concurrently.
type Codec struct{ m *pgtype.Map }

// NewCodec returns a codec for PostgreSQL's built-in types.
func NewCodec() *Codec { return &Codec{m: pgtype.NewMap()} }

// Encode returns v in the format (0 text, 1 binary) of the type oid, nil for
// NULL.
func (c *Codec) Encode(oid uint32, format int16, v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	b, err := c.m.Encode(oid, format, fit(oid, v), nil)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindInvalidValue, Code: "22P03", Text: err.Error()}
	}
	return b, nil
}

// fit turns a value as SQLite has it into one that the type's codec takes.
func fit(oid uint32, v any) any {
	switch oid {
	case pgtype.BoolOID:
		if i, ok := v.(int64); ok {
			return i != 0
		}
	case pgtype.TextOID, pgtype.VarcharOID:
		return Text(v)
	case pgtype.Int2OID, pgtype.Int4OID, pgtype.Int8OID:
		if f, ok := v.(float64); ok && f == float64(int64(f)) {
			return int64(f)
		}
		if b, ok := v.(bool); ok {
			return bit(b)
		}
	case pgtype.Float4OID, pgtype.Float8OID:
		if i, ok := v.(int64); ok {
			return float64(i)
		}
	case pgtype.TimestampOID, pgtype.TimestamptzOID, pgtype.DateOID:
		if s, ok := v.(string); ok {
			if t, ok := readTime(s); ok {
				return t
			}
		}
	}
	return v
}

func bit(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func readTime(s string) (time.Time, bool) {
	for _, layout := range []string{stamp, time.RFC3339Nano, "2006-01-02 15:04:05.999999", time.DateOnly} {
		if t, err := time.Parse(layout, s); err == nil {
			return t, true
		}
	}
	return time.Time{}, false
}

// Text returns a value's text, "" for nil.
func Text(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return v
	case []byte:
		return string(v)
	case bool:
		return strconv.FormatBool(v)
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	case time.Time:
		return v.UTC().Format(stamp)
	}
	return fmt.Sprint(v)
}

// Decode reads a parameter of type oid in a format (0 text, 1 binary); nil is
// NULL. Times become text, so that a log entry holds only plain values.
func (c *Codec) Decode(oid uint32, format int16, src []byte) (any, error) {
	if src == nil {
		return nil, nil
	}
	v, err := c.decode(oid, format, src)
	if err != nil {
		return nil, &Error{Op: "decode", Kind: KindInvalidValue, Code: "22P02", Text: err.Error()}
	}
	return v, nil
}

func (c *Codec) decode(oid uint32, format int16, src []byte) (any, error) {
	switch oid {
	case pgtype.Int2OID, pgtype.Int4OID, pgtype.Int8OID:
		return scanAs[int64](c, oid, format, src)
	case pgtype.Float4OID, pgtype.Float8OID, pgtype.NumericOID:
		return scanAs[float64](c, oid, format, src)
	case pgtype.BoolOID:
		return scanAs[bool](c, oid, format, src)
	case pgtype.ByteaOID:
		return scanAs[[]byte](c, oid, format, src)
	case pgtype.TimestampOID, pgtype.TimestamptzOID, pgtype.DateOID:
		t, err := scanAs[time.Time](c, oid, format, src)
		return Text(t), err
	}
	if format == pgtype.BinaryFormatCode && oid != pgtype.TextOID && oid != pgtype.VarcharOID && oid != 0 {
		return nil, fmt.Errorf("binary parameters of type %d are not supported", oid)
	}
	return string(src), nil
}

func scanAs[T any](c *Codec, oid uint32, format int16, src []byte) (T, error) {
	var v T
	err := c.m.Scan(oid, format, src, &v)
	return v, err
}
