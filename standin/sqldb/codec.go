package sqldb

import (
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// timeLayout is the format of stored times.
const timeLayout = "2006-01-02 15:04:05.999999Z07:00"

// Codec converts values between Go and the formats of the protocol. It must not
// be used concurrently.
type Codec struct{ m *pgtype.Map }

// NewCodec returns a codec for PostgreSQL's built-in types.
func NewCodec() *Codec { return &Codec{m: pgtype.NewMap()} }

// Encode returns v encoded as type oid in a format (0 text, 1 binary), nil for
// NULL.
func (c *Codec) Encode(oid uint32, format int16, v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	b, err := c.m.Encode(oid, format, convertForEncoding(oid, v), nil)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindInvalidValue, Code: "22P03", Text: err.Error()}
	}
	return b, nil
}

// convertForEncoding converts a value returned by SQLite to one that the type's
// codec accepts.
func convertForEncoding(oid uint32, v any) any {
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
			return boolToInt(b)
		}
	case pgtype.Float4OID, pgtype.Float8OID:
		if i, ok := v.(int64); ok {
			return float64(i)
		}
	case pgtype.TimestampOID, pgtype.TimestamptzOID, pgtype.DateOID:
		if s, ok := v.(string); ok {
			if t, ok := parseTime(s); ok {
				return t
			}
		}
	}
	return v
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func parseTime(s string) (time.Time, bool) {
	for _, layout := range []string{timeLayout, time.RFC3339Nano, "2006-01-02 15:04:05.999999", time.DateOnly} {
		if t, err := time.Parse(layout, s); err == nil {
			return t, true
		}
	}
	return time.Time{}, false
}

// Text returns the text form of a value, "" for nil.
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
		return v.UTC().Format(timeLayout)
	}
	return fmt.Sprint(v)
}

// Decode decodes a parameter of type oid in a format (0 text, 1 binary); nil is
// NULL. Times become text, so that log entries hold only basic types.
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
