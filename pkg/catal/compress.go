package catal

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
)

// maxDecompressedBytes bounds the text that Decompress returns. It is a multiple of
// MaxDocumentBytes, as documents that are converted from other formats may be larger.
const maxDecompressedBytes = 8 * MaxDocumentBytes

var errDecompressedSize = errors.New("the document is too large")

// Compress returns the text of a document in gzip format. The many routes of a large
// document repeat their fields; it shrinks to about a tenth.
func Compress(doc []byte) []byte {
	var b bytes.Buffer
	w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed) // the level is valid, and writes to a buffer succeed
	_, _ = w.Write(doc)
	_ = w.Close()
	return b.Bytes()
}

// Decompress is the inverse of Compress. It returns an *Error of kind KindSyntax for other
// input.
func Decompress(data []byte) ([]byte, error) {
	const op = "decompress"
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, &Error{Op: op, Kind: KindSyntax, Err: err}
	}
	doc, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err == nil && len(doc) > maxDecompressedBytes {
		err = errDecompressedSize
	}
	if err != nil {
		return nil, &Error{Op: op, Kind: KindSyntax, Err: err}
	}
	return doc, nil
}
